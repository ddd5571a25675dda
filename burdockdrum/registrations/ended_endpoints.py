"""The endpoints that ended lately, which late messages must not revive."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.registrations.incarnations import LatestIncarnations
from burdockdrum.registrations.messages import Registration


@dataclass(frozen=True, kw_only=True)
class _End:
    """When an incarnation of an endpoint ended."""

    name: str
    at: float


class EndedEndpoints:
    """Ended incarnations, and the latest one of each endpoint."""

    def __init__(self, *, memory_seconds: float) -> None:
        """Start without endpoints.

        :param memory_seconds: how long the end of an endpoint is remembered
        """
        self._memory_seconds = memory_seconds
        self._ends_by_id: dict[str, _End] = {}
        # When ends of endpoints without a known incarnation arrived.
        self._unmatched_ends_by_name: dict[str, float] = {}
        self._incarnations = LatestIncarnations()

    def __contains__(self, endpoint_id: str) -> bool:
        """Return whether an incarnation has ended."""
        return endpoint_id in self._ends_by_id

    def add(self, endpoint_id: str, name: str, now: float) -> None:
        """Record the end of an incarnation.

        :param name: the id that the endpoint reports
        """
        self._ends_by_id[endpoint_id] = _End(name=name, at=now)

    def add_unmatched(self, name: str, now: float) -> None:
        """Record the end of an endpoint of which no incarnation is known."""
        self._unmatched_ends_by_name[name] = now

    def admits(self, registration: Registration, now: float) -> bool:
        """Return whether a registration is of an endpoint that goes on."""
        name, incarnation = registration.reported_id, registration.incarnation
        if self._incarnations.is_outdated(name, incarnation):
            return False
        if self._unmatched_ends_by_name.pop(name, None) is None:
            return True
        # Another control VM already reported the end of this endpoint.
        self._incarnations.observe(name, incarnation)
        self.add(registration.endpoint_id, name, now)
        return False

    def observe(self, registration: Registration) -> bool:
        """Record a registration; return whether it replaces another one."""
        return self._incarnations.observe(
            registration.reported_id, registration.incarnation
        )

    def prune(self, live_names: Iterable[str], now: float) -> None:
        """Forget old ends, and incarnations of what has no end either.

        :param live_names: the reported ids of the registered endpoints
        """
        since = now - self._memory_seconds
        for name, at in list(self._unmatched_ends_by_name.items()):
            if at < since:
                del self._unmatched_ends_by_name[name]
        forgotten = [
            endpoint_id
            for endpoint_id, end in self._ends_by_id.items()
            if end.at < since
        ]
        for endpoint_id in forgotten:
            del self._ends_by_id[endpoint_id]
        if forgotten:
            ended_names = {end.name for end in self._ends_by_id.values()}
            self._incarnations.retain(ended_names.union(live_names))
