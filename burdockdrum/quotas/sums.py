"""Totals of the usage that several sources have reported.

The last report of a source counts as its current rate; without a newer one
it decays, so that a source that is gone stops counting.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.quotas.decaying import decay
from burdockdrum.quotas.messages import TeamUsage

# How long a report counts in full, and the time constant of its decay after.
REPORT_VALID_SECONDS = 1.0
STALE_DECAY_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class Usage:
    """A team's usage and demand per second."""

    used: float = 0.0
    requested: float = 0.0

    def plus(self, other: "Usage") -> "Usage":
        """Return the sum of both."""
        return Usage(
            used=self.used + other.used,
            requested=self.requested + other.requested,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Return the difference, at least 0."""
        return Usage(
            used=max(0.0, self.used - other.used),
            requested=max(0.0, self.requested - other.requested),
        )


NO_USAGE = Usage()


def merge(first: dict[str, Usage], second: Mapping[str, Usage]) -> None:
    """Add the usage in the second mapping to the first, by team."""
    for team, usage in second.items():
        first[team] = first.get(team, NO_USAGE).plus(usage)


@dataclass(frozen=True, kw_only=True)
class _SourceReport:
    received_at: float
    usage_by_team: dict[str, Usage]


class UsageSums:
    """The last report of each source, and totals over the sources."""

    def __init__(self) -> None:
        """Create totals without sources."""
        self._report_by_source: dict[str, _SourceReport] = {}

    def record(
        self, source: str, usages: Iterable[TeamUsage], now: float
    ) -> None:
        """Replace the report of a source."""
        self._report_by_source[source] = _SourceReport(
            received_at=now,
            usage_by_team={
                usage.team: Usage(used=usage.used, requested=usage.requested)
                for usage in usages
            },
        )

    def ages(self, now: float) -> list[float]:
        """Return the age of each source's report in seconds."""
        return [
            now - report.received_at
            for report in self._report_by_source.values()
        ]

    def forget_before(self, oldest: float) -> None:
        """Remove sources whose report is older than ``oldest``."""
        for source, report in list(self._report_by_source.items()):
            if report.received_at < oldest:
                del self._report_by_source[source]

    def total(
        self, now: float, since: float = float("-inf")
    ) -> dict[str, Usage]:
        """Return the total by team of reports not older than ``since``."""
        totals: dict[str, Usage] = {}
        for source, report in self._report_by_source.items():
            if report.received_at >= since:
                merge(totals, self.read(source, now))
        return totals

    def read(self, source: str, now: float) -> Mapping[str, Usage]:
        """Return the usage of a source by team, decayed to ``now``."""
        report = self._report_by_source.get(source)
        if report is None:
            return {}
        stale_seconds = now - report.received_at - REPORT_VALID_SECONDS
        if stale_seconds <= 0:
            return report.usage_by_team
        return {
            team: Usage(
                used=decay(usage.used, stale_seconds, STALE_DECAY_SECONDS),
                requested=decay(
                    usage.requested, stale_seconds, STALE_DECAY_SECONDS
                ),
            )
            for team, usage in report.usage_by_team.items()
        }
