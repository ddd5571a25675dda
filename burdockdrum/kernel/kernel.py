"""The service container.

It builds services on demand from factories, so that packages, embedders and
tests can register or replace one service without knowing the others.
"""

import asyncio
from collections.abc import Callable
import inspect
from typing import Any
from typing import TypeVar

from burdockdrum.kernel.supervisor import Supervisor

ServiceT = TypeVar("ServiceT")
Factory = Callable[["Kernel"], Any]


class ServiceError(Exception):
    """A service is missing, has the wrong type or depends on itself."""


class Kernel:
    """A container of named services, each built on its first lookup.

    A factory receives the kernel and looks up its dependencies by name.
    Services with a coroutine ``run`` run until the kernel stops; those with
    a coroutine ``close`` are closed in the reverse order of construction.

    A service whose ``run`` may begin again after an error sets
    ``is_restartable``. The error of any other service stops the kernel.
    """

    def __init__(self) -> None:
        """Create a kernel without services."""
        self._factories_by_name: dict[str, Factory] = {}
        self._services_by_name: dict[str, Any] = {}
        self._building: list[str] = []

    def add(self, name: str, factory: Factory) -> None:
        """Register a factory, replacing any of that name not built yet.

        :raises ServiceError: if the service is already built
        """
        if name in self._services_by_name:
            raise ServiceError(f"service {name!r} is already built")
        self._factories_by_name[name] = factory

    def provide(self, name: str, service: object) -> None:
        """Register an existing object as a service."""
        self.add(name, lambda kernel: service)

    def has(self, name: str) -> bool:
        """Return whether a service of that name is registered."""
        return name in self._factories_by_name

    def find(self, name: str, expected: type[ServiceT]) -> ServiceT:
        """Return the service of that name, building it if needed.

        :raises ServiceError: if it is missing, depends on itself, or is not
            of the expected type
        """
        if name not in self._services_by_name:
            self._services_by_name[name] = self._build(name)
        service = self._services_by_name[name]
        # Protocols are not checked: embedders supply their own ports.
        is_protocol = getattr(expected, "_is_protocol", False)
        if not is_protocol and not isinstance(service, expected):
            raise ServiceError(
                f"service {name!r} is a {type(service).__name__}, "
                f"not a {expected.__name__}"
            )
        return service  # type: ignore[no-any-return]

    async def run(self) -> None:
        """Build all services and run them until cancelled.

        A failing service that is not restartable stops the others; its error
        is raised in an exception group.
        """
        for name in list(self._factories_by_name):
            self.find(name, object)
        try:
            async with asyncio.TaskGroup() as group:
                for name, service in self._services_by_name.items():
                    run = getattr(service, "run", None)
                    if inspect.iscoroutinefunction(run):
                        group.create_task(
                            self._run_service(name, service), name=name
                        )
        finally:
            await self._close()

    async def _run_service(self, name: str, service: Any) -> None:
        if getattr(service, "is_restartable", False):
            supervisor = self.find("supervisor", Supervisor)
            await supervisor.supervise(name, service.run)
        else:
            await service.run()

    async def _close(self) -> None:
        for service in reversed(list(self._services_by_name.values())):
            close = getattr(service, "close", None)
            if inspect.iscoroutinefunction(close):
                await close()

    def _build(self, name: str) -> Any:
        if name not in self._factories_by_name:
            raise ServiceError(f"no service is registered as {name!r}")
        if name in self._building:
            chain = " -> ".join([*self._building, name])
            raise ServiceError(f"circular dependency of services: {chain}")
        self._building.append(name)
        try:
            return self._factories_by_name[name](self)
        finally:
            self._building.pop()
