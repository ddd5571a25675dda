"""Decide which team is refused where the engines of a service are short.

Every entry computes the same shares from the work that all entries of its
region record, so that no entry has a share of its own and no request waits
for a message.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
import random
import statistics

from burdockdrum.fairness.credit import spend_credit
from burdockdrum.fairness.division import divide_work
from burdockdrum.fairness.division import TeamShare
from burdockdrum.ports import Clock
from burdockdrum.quotas import DecayingSum
from burdockdrum.registrations import sum_work
from burdockdrum.registrations import Work
from burdockdrum.registrations import WorkByKey
from burdockdrum.registrations import WorkKey

# Work is averaged over this time. Longer, a sudden flood is noticed later;
# shorter, a few requests at once make a small team exceed its share.
WORK_DECAY_SECONDS = 2.0
# The shares are computed again after this time, not for each request.
SHARES_VALID_SECONDS = 0.05
# A team is within its share while the excess is so many times the square root
# of the number of requests in it, as it may be by chance.
CHANCE_FACTOR = 2.0
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 5.0
# Spreads the retries of callers that are refused at the same time.
RETRY_SPREAD_FACTOR = 1.5
MICROSECONDS = 1_000_000
_NO_SHARE = TeamShare(requested=0.0, served=0.0, share=0.0)


@dataclass(kw_only=True, slots=True)
class _RecordedWork:
    requested: DecayingSum
    served: DecayingSum

    def read(self, now: float) -> Work:
        return Work(
            requested=_rate(self.requested.read(now)),
            served=_rate(self.served.read(now)),
        )


class FairShares:
    """Max-min fair shares of engine time among the teams of a rank."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        read_others_work: Callable[[], WorkByKey] = dict,
        read_weight: Callable[[str], float | None] = lambda team: None,
    ) -> None:
        """Start without work.

        :param read_others_work: returns the work that the other entries of
            the region recorded
        :param read_weight: returns what the configuration grants a team,
            None if nothing is said of it
        """
        self._clock = clock
        self._rng = rng
        self._read_others_work = read_others_work
        self._read_weight = read_weight
        self._work_by_key: dict[WorkKey, _RecordedWork] = {}
        self._credit_by_key: dict[WorkKey, float] = {}
        self._shares: dict[WorkKey, TeamShare] = {}
        self._computed_at = float("-inf")

    def record_request(self, key: WorkKey, work: float) -> None:
        """Record a request that this entry serves or refuses.

        :param work: in seconds of an engine
        """
        now = self._clock.monotonic()
        self._find_work(key, now).requested.add(work, now)

    def record_served(self, key: WorkKey, work: float) -> None:
        """Record that an endpoint of this region serves a request."""
        now = self._clock.monotonic()
        self._find_work(key, now).served.add(work, now)

    def admitted_fraction(self, key: WorkKey) -> float:
        """Return the fraction of a team's requests that its share covers."""
        return self.share_of(key).admitted_fraction

    def admits(
        self, key: WorkKey, work: float, queue_fraction: float = 0.0
    ) -> bool:
        """Return whether a request is within its team's share.

        A team above its share spends a credit; call it once a request. It
        gets less than its share as queues become full, since those are filled
        by what it was served beyond its share.

        :param work: of the request, in seconds of an engine
        :param queue_fraction: queue at the best endpoint, as a fraction of
            what the request may queue
        """
        share = self.share_of(key)
        fraction = share.admitted_fraction
        if fraction >= 1.0 or _is_by_chance(share, work):
            self._credit_by_key.pop(key, None)
            return True
        credit = self._credit_by_key.get(key)
        if credit is None:
            # Entries that begin together must not admit in step.
            credit = self._rng.random()
        # All of the share while the queue is as short as the team may join.
        room = max(0.0, 1.0 - queue_fraction) / (1.0 - fraction)
        is_admitted, credit = spend_credit(credit, fraction * min(1.0, room))
        self._credit_by_key[key] = credit
        return is_admitted

    def seconds_until_admitted(self, key: WorkKey) -> float:
        """Return when a refused request is likely to be admitted.

        It is the time in which the share serves what the team requested
        beyond it lately, spread so that callers don't return together.
        """
        fraction = self.admitted_fraction(key)
        spread = self._rng.uniform(1.0, RETRY_SPREAD_FACTOR)
        if fraction <= 0:
            return MAX_RETRY_SECONDS * spread
        wait = WORK_DECAY_SECONDS * (1 / fraction - 1)
        limited = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        return limited * spread

    def share_of(self, key: WorkKey) -> TeamShare:
        """Return the share of a team, as of at most a moment ago."""
        return self._read_shares().get(key, _NO_SHARE)

    def read_own_work(self) -> WorkByKey:
        """Return the work that this entry recorded, without idle teams."""
        now = self._clock.monotonic()
        work_by_key = {}
        for key, recorded in list(self._work_by_key.items()):
            work = recorded.read(now)
            if work.requested:
                work_by_key[key] = work
            else:
                del self._work_by_key[key]
                self._credit_by_key.pop(key, None)
        return work_by_key

    def _find_work(self, key: WorkKey, now: float) -> _RecordedWork:
        recorded = self._work_by_key.get(key)
        if recorded is None:
            recorded = self._work_by_key[key] = _RecordedWork(
                requested=DecayingSum(seconds=WORK_DECAY_SECONDS, now=now),
                served=DecayingSum(seconds=WORK_DECAY_SECONDS, now=now),
            )
        return recorded

    def _read_shares(self) -> dict[WorkKey, TeamShare]:
        now = self._clock.monotonic()
        if now - self._computed_at > SHARES_VALID_SECONDS:
            work = sum_work(self._read_others_work(), self.read_own_work())
            self._shares = divide_work(work, self._find_weights(work))
            self._computed_at = now
        return self._shares

    def _find_weights(self, work_by_key: WorkByKey) -> dict[str, float]:
        """Return the weights of teams; the mean where none is granted."""
        granted = {
            key.team: self._read_weight(key.team) for key in work_by_key
        }
        known = [weight for weight in granted.values() if weight]
        mean = statistics.fmean(known) if known else 1.0
        return {team: weight or mean for team, weight in granted.items()}


def _is_by_chance(share: TeamShare, work: float) -> bool:
    """Return whether a team may exceed its share by chance.

    :param work: of a request of the team, in seconds of an engine
    """
    if work <= 0:
        return True
    window = WORK_DECAY_SECONDS / MICROSECONDS
    excess = (share.requested - share.share) * window
    requests = max(1.0, share.share * window / work)
    return excess <= work * math.sqrt(requests) * CHANCE_FACTOR


def _rate(decaying_sum: float) -> int:
    """Return a sum of seconds as microseconds of an engine per second."""
    return round(decaying_sum / WORK_DECAY_SECONDS * MICROSECONDS)
