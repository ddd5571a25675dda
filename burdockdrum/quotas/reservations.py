"""The fraction of a limit that is reserved for unreachable sources.

An unreachable source may still be serving behind a network partition. Each
side then keeps to its fraction of the limit, so that the sides together
don't exceed it. A fraction is half the one observed before the partition,
and half an equal part, as demand may have moved since.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Three lost messages in a row, and the delay between two regions.
UNREACHABLE_TIMEOUT_SECONDS = 1.0
# After a start, other sources get this long to report before any fraction
# is reserved for them; a VM that has started finds them within this time.
STARTUP_GRACE_SECONDS = 3.0
# A source that is unreachable for so long is considered removed.
EXPIRY_SECONDS = 600.0
# A source that never reported may be a data centre without entries.
NEVER_HEARD_EXPIRY_SECONDS = 60.0
OBSERVED_WEIGHT = 0.5


@dataclass(frozen=True, kw_only=True)
class _Source:
    """When a source becomes unreachable, and its fractions of limits."""

    unreachable_at: float
    expires_at: float
    equal_fraction: float
    fraction_by_team: dict[str, float] | None = None

    def fraction(self, team: str) -> float:
        if self.fraction_by_team is None:
            return self.equal_fraction
        observed = self.fraction_by_team.get(team, 0.0)
        return (
            OBSERVED_WEIGHT * observed
            + (1 - OBSERVED_WEIGHT) * self.equal_fraction
        )


class ReservedFractions:
    """The fractions of limits that are reserved if a source is unreachable."""

    def __init__(self, *, names: Iterable[str], now: float) -> None:
        """Expect a first report from each source."""
        names = list(names)
        self._source_by_name: dict[str, _Source] = {}
        for name in names:
            self.expect(name, now, equal_fraction=1 / (len(names) + 1))

    def expect(self, name: str, now: float, *, equal_fraction: float) -> None:
        """Expect a first report from a source.

        :param equal_fraction: its fraction if all sources were equal
        """
        self._source_by_name[name] = _Source(
            unreachable_at=now + STARTUP_GRACE_SECONDS,
            expires_at=now + NEVER_HEARD_EXPIRY_SECONDS,
            equal_fraction=equal_fraction,
        )

    def record(
        self,
        name: str,
        fraction_by_team: dict[str, float],
        now: float,
        *,
        equal_fraction: float,
    ) -> None:
        """Record a report from a source.

        :param fraction_by_team: the source's fraction of each team's demand
        :param equal_fraction: its fraction if all sources were equal
        """
        self._source_by_name[name] = _Source(
            unreachable_at=now + UNREACHABLE_TIMEOUT_SECONDS,
            expires_at=now + EXPIRY_SECONDS,
            equal_fraction=equal_fraction,
            fraction_by_team=fraction_by_team,
        )

    def fraction(self, team: str, now: float) -> float:
        """Return the fraction of a limit reserved for unreachable sources."""
        total = sum(
            source.fraction(team)
            for source in self._source_by_name.values()
            if source.unreachable_at < now < source.expires_at
        )
        return min(1.0, total)
