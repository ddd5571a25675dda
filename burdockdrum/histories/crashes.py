"""Checks how often a request that crashes endpoints is sent to endpoints."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True)
class CrashingArrival:
    """A request that crashes endpoints arrived at one, at a time."""

    time: float
    target: str


@dataclass(kw_only=True)
class CrashHistory:
    """What crashing requests did to endpoints.

    ``excused`` are intervals of which the arrivals don't count.
    """

    arrived: list[CrashingArrival] = field(default_factory=list)
    crashed: list[CrashingArrival] = field(default_factory=list)
    excused: list[tuple[float, float]] = field(default_factory=list)

    def count_crashes(self) -> dict[str, int]:
        """Return how many endpoints ended under each request."""
        return collections.Counter(crash.target for crash in self.crashed)

    def check(
        self, *, max_crashes: int, learning_seconds: float, max_arrivals: int
    ) -> list[str]:
        """Return a sentence for each request that arrived too often.

        :param max_crashes: after which the request must be rejected
        :param learning_seconds: until all entry VMs must do so
        :param max_arrivals: how many further ones are allowed
        """
        violations = []
        for target, count in self.count_crashes().items():
            if count < max_crashes:
                continue
            times = sorted(c.time for c in self.crashed if c.target == target)
            since = times[max_crashes - 1] + learning_seconds
            late = list(self._arrivals_after(target, since))
            if len(late) > max_arrivals:
                violations.append(
                    f"{target!r} arrived {len(late)} times later than "
                    f"{learning_seconds:g} s after {max_crashes} endpoints "
                    f"had ended; {count} ended in all"
                )
        return violations

    def _arrivals_after(self, target: str, since: float) -> Iterable[float]:
        for arrival in self.arrived:
            if arrival.target != target or arrival.time <= since:
                continue
            if not any(a <= arrival.time <= b for a, b in self.excused):
                yield arrival.time
