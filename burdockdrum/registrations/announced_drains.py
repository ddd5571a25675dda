"""Endpoints that announced to drain, as an entry knows them.

An entry reports a drain to each control VM whose registration of the endpoint
doesn't have it, so that it reaches all entries whatever check-ins say.
"""

from collections.abc import Container
from collections.abc import Mapping
from dataclasses import replace

from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.model import RegisteredEndpoint


class AnnouncedDrains:
    """The incarnations that drain; none of them accepts requests again."""

    def __init__(self, *, memory_seconds: float) -> None:
        """Create it without any.

        :param memory_seconds: how long an incarnation is remembered that is
            no longer registered
        """
        self._memory_seconds = memory_seconds
        self._registered_at_by_id: dict[str, float] = {}

    def add(self, endpoint_id: str, now: float) -> bool:
        """Add an incarnation; return whether it is new."""
        is_new = endpoint_id not in self._registered_at_by_id
        self._registered_at_by_id[endpoint_id] = now
        return is_new

    def apply(self, endpoint: RegisteredEndpoint) -> RegisteredEndpoint:
        """Return an endpoint, draining if it announced that."""
        if endpoint.endpoint_id not in self._registered_at_by_id:
            return endpoint
        return replace(
            endpoint,
            state=RegistrationState.DRAINING,
            is_drain_announced=True,
        )

    def list_unknown(
        self, copies_by_id: Mapping[str, RegisteredEndpoint]
    ) -> list[str]:
        """Return the incarnations whose drain a control VM doesn't know.

        :param copies_by_id: the registrations of the control VM
        """
        copies = map(copies_by_id.get, self._registered_at_by_id)
        return [
            copy.endpoint_id
            for copy in copies
            if copy is not None and not copy.is_drain_announced
        ]

    def prune(self, registered: Container[str], now: float) -> None:
        """Forget incarnations that have not been registered for a while."""
        for endpoint_id, at in list(self._registered_at_by_id.items()):
            if endpoint_id in registered:
                self._registered_at_by_id[endpoint_id] = now
            elif now - at > self._memory_seconds:
                del self._registered_at_by_id[endpoint_id]
