"""Limits shared by all entry VMs, enforced without communication.

Each entry VM takes a conservative share of the limit, computed from the
number of entry VMs that may be alive.
"""

from collections.abc import Callable
import random

from burdockdrum.ports import Clock

# Part of a limit that is used: entry VMs disagree on their number while some
# start or are partitioned.
SAFE_FRACTION = 0.7
# Entry VMs that send to an endpoint in slow start. Each may send a request at
# once, which comes on top of its share of the rate in that second, and the
# endpoint tolerates 1.5 times its rate plus three requests in a second.
SLOW_START_SENDERS = 3
# Endpoints tolerate a number of requests in any period of this length.
LIMIT_PERIOD_SECONDS = 1.0
# Part of the limit that is used where the senders are not known: how many
# first requests come in the same second is up to chance.
UNCOORDINATED_FRACTION = 0.35
# Floor of a rate, as a rate of 0 would close an endpoint for good.
MIN_REQUESTS_PER_SECOND = 0.01
MAX_TRACKED_ENDPOINTS = 4096
# Keeps the choice of senders apart from that of holders of a rate limit.
SLOW_START_KEY = "slow-start:"


class SlowStartGate:
    """Rate limit for requests to endpoints in slow start.

    A few entry VMs, chosen by the endpoint's id, send requests. Each sends one
    and then waits for its share of the rate. An entry VM that doesn't know
    which are chosen takes an equal share instead. The first requests are then
    staggered at random, as all of them at once would exceed the rate.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        is_chosen: Callable[[str, int], bool | None] = lambda *_: None,
    ) -> None:
        """Create a gate without recorded requests.

        :param is_chosen: returns whether this entry VM is among a number of
            them that a key selects, None if unknown; unknown by default
        """
        self._is_chosen = is_chosen
        self._clock = clock
        self._rng = rng
        self._next_at_by_id: dict[str, float] = {}
        self._started_at = clock.monotonic()

    def is_open(self, endpoint_id: str, rate: float, entries: int) -> bool:
        """Return whether a request may be sent now.

        The first one is not sent in the first second of this entry VM, whose
        former process may have sent one just before.

        :param rate: requests per second, over all entry VMs
        :param entries: number of entry VMs that may send to the endpoint
        """
        now = self._clock.monotonic()
        is_sender = self._is_sender(endpoint_id)
        if is_sender is False:
            return False
        next_at = self._next_at_by_id.get(endpoint_id)
        if next_at is not None:
            return now >= next_at
        if is_sender or entries <= SLOW_START_SENDERS:
            return now >= self._started_at + LIMIT_PERIOD_SECONDS
        next_at = now + self._rng.uniform(
            0, _interval_seconds(rate, entries, UNCOORDINATED_FRACTION)
        )
        self._next_at_by_id[endpoint_id] = next_at
        return now >= next_at

    def acquire(self, endpoint_id: str, rate: float, entries: int) -> bool:
        """Record a request if the gate is open, which closes it for a while.

        :returns: whether the request may be sent
        """
        if not self.is_open(endpoint_id, rate, entries):
            return False
        now = self._clock.monotonic()
        senders, fraction = entries, UNCOORDINATED_FRACTION
        if entries <= SLOW_START_SENDERS or self._is_sender(endpoint_id):
            senders = min(entries, SLOW_START_SENDERS)
            fraction = SAFE_FRACTION
        self._next_at_by_id[endpoint_id] = now + _interval_seconds(
            rate, senders, fraction
        )
        if len(self._next_at_by_id) > MAX_TRACKED_ENDPOINTS:
            self._next_at_by_id = {
                name: at
                for name, at in self._next_at_by_id.items()
                if at > now
            }
        return True

    def seconds_until_open(self, endpoint_id: str) -> float:
        """Return for how long the gate stays closed, 0 if that is unknown."""
        next_at = self._next_at_by_id.get(endpoint_id, 0.0)
        return max(0.0, next_at - self._clock.monotonic())

    def _is_sender(self, endpoint_id: str) -> bool | None:
        """Return whether this entry VM sends requests, None if unknown."""
        return self._is_chosen(
            SLOW_START_KEY + endpoint_id, SLOW_START_SENDERS
        )


def _interval_seconds(rate: float, entries: int, fraction: float) -> float:
    return max(1, entries) / max(rate * fraction, MIN_REQUESTS_PER_SECOND)
