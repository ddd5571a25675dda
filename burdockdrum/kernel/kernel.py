"""The registry that builds services on demand and runs them."""

import asyncio
from collections.abc import Callable
import inspect
from typing import Any
from typing import TypeVar

T = TypeVar("T")
Factory = Callable[["Kernel"], Any]


class ServiceError(Exception):
    """A service is missing, of another type, or needs itself."""


class Kernel:
    """Services by name, built when first asked for.

    A factory receives the kernel and finds what it needs by name. Services
    with a coroutine ``run`` are run until the kernel stops; those with a
    coroutine ``close`` are closed in the reverse order of their building.
    """

    def __init__(self) -> None:
        """Create a kernel without services."""
        self._factories_by_name: dict[str, Factory] = {}
        self._services_by_name: dict[str, Any] = {}
        self._building: list[str] = []

    def add(self, name: str, factory: Factory) -> None:
        """Name a service; a later call replaces one not yet built.

        :raises ServiceError: if the service has been built already
        """
        if name in self._services_by_name:
            raise ServiceError(f"service {name!r} is already built")
        self._factories_by_name[name] = factory

    def provide(self, name: str, service: object) -> None:
        """Name a service that exists already."""
        self.add(name, lambda kernel: service)

    def has(self, name: str) -> bool:
        """Say whether a service of that name was added."""
        return name in self._factories_by_name

    def find(self, name: str, expected: type[T]) -> T:
        """Return the service of that name, building it if needed.

        :raises ServiceError: if it is missing, needs itself to be built, or
            is not of the expected type
        """
        if name not in self._services_by_name:
            self._services_by_name[name] = self._build(name)
        service = self._services_by_name[name]
        # Protocol classes are not checked: embedders supply their own ports.
        is_protocol = getattr(expected, "_is_protocol", False)
        if not is_protocol and not isinstance(service, expected):
            raise ServiceError(
                f"service {name!r} is a {type(service).__name__}, "
                f"not a {expected.__name__}"
            )
        return service  # type: ignore[no-any-return]

    async def run(self) -> None:
        """Build every service and run them until cancelled.

        One service that fails stops the others; its error is raised in an
        exception group.
        """
        for name in list(self._factories_by_name):
            self.find(name, object)
        try:
            async with asyncio.TaskGroup() as group:
                for name, service in self._services_by_name.items():
                    run = getattr(service, "run", None)
                    if inspect.iscoroutinefunction(run):
                        group.create_task(run(), name=name)
        finally:
            await self._close()

    async def _close(self) -> None:
        for service in reversed(list(self._services_by_name.values())):
            close = getattr(service, "close", None)
            if inspect.iscoroutinefunction(close):
                await close()

    def _build(self, name: str) -> Any:
        if name not in self._factories_by_name:
            raise ServiceError(f"no service is named {name!r}")
        if name in self._building:
            chain = " -> ".join([*self._building, name])
            raise ServiceError(f"services need each other: {chain}")
        self._building.append(name)
        try:
            return self._factories_by_name[name](self)
        finally:
            self._building.pop()
