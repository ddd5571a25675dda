"""Checks how often endpoints crash under the requests that they reject."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True)
class RejectionCrash:
    """An endpoint of a service crashed, as it rejected some requests."""

    time: float
    service: str
    request_ids: tuple[str, ...]


@dataclass(kw_only=True)
class RejectionHistory:
    """The crashes of endpoints that announce that they are brittle.

    ``entry_by_request`` is the entry that each request was sent to, and
    ``excused`` are the intervals in which an entry's requests don't count.
    """

    crashes: list[RejectionCrash] = field(default_factory=list)
    entry_by_request: dict[str, str] = field(default_factory=dict)
    excused: list[tuple[str, float, float]] = field(default_factory=list)

    def record_crash(
        self, time: float, service: str, request_ids: Sequence[str]
    ) -> None:
        """Record a crash and the rejections that led to it."""
        self.crashes.append(
            RejectionCrash(
                time=time, service=service, request_ids=tuple(request_ids)
            )
        )

    def check(
        self, *, endpoints_by_service: dict[str, int], since: float
    ) -> list[str]:
        """Return a sentence for each service whose endpoints crash too often.

        :param endpoints_by_service: how many each service has
        :param since: from when on crashes count
        """
        violations = []
        for service, endpoints in endpoints_by_service.items():
            counted = [
                crash
                for crash in self.crashes
                if crash.service == service
                and crash.time >= since
                and self._is_counted(crash)
            ]
            allowed = 2 + endpoints / 10
            if len(counted) > allowed:
                violations.append(
                    f"brittle endpoints of {service!r} crashed {len(counted)} "
                    f"times, {allowed:g} are tolerated"
                )
        return violations

    def _is_counted(self, crash: RejectionCrash) -> bool:
        """Return whether most rejected requests came from sound entries."""
        sound = sum(
            not self._is_excused(request_id, crash.time)
            for request_id in crash.request_ids
        )
        return sound * 2 > len(crash.request_ids)

    def _is_excused(self, request_id: str, at: float) -> bool:
        entry = self.entry_by_request.get(request_id)
        return any(
            entry == name and begin <= at <= end
            for name, begin, end in self.excused
        )
