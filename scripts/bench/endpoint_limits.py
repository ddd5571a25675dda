"""Compare ways to divide an endpoint's rate limit among entries.

Usage:
  endpoint_limits [--seconds N] [--seed N]
  endpoint_limits -h | --help

Options:
  --seconds N  Simulated seconds of demand [default: 120].
  --seed N     Seed of the demand [default: 1].
  -h --help    Show this text.

Requests come at random to all entries alike, after a time without any. For
each way: the part of the limit that is used while four times as much is
asked for, and the most requests in any four seconds. Shows a line for each
number of entries and each limit. No time passes; no process is started.
"""

from collections.abc import Callable
import random
import sys

from docopt import docopt
from loguru import logger

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import SlowStartGate
from burdockdrum.registrations.limit_shares import LimitShares
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.model import RegisteredEndpoint

ENTRY_COUNTS = (2, 6, 30)
LIMITS_PER_SECOND = (1.0, 3.0, 20.0)
DEMAND_FACTOR = 4.0
WINDOW_SECONDS = 4.0
IDLE_SECONDS = 30.0
ROSTER_INTERVAL_SECONDS = 0.5
ENDPOINT_ID = "endpoint"
CONTROL_ID = "control"
ENDPOINT = RegisteredEndpoint(
    endpoint_id=ENDPOINT_ID,
    service="s",
    address="a:80",
    data_centre="d",
    slots=8,
    sequence=1,
    state=RegistrationState.READY,
    slow_start_until=0.0,
    ends_at=None,
)


class SimulatedClock:
    """A clock that the simulation sets."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Let simulated time pass."""
        self.now += seconds


# Returns whether an entry sends a request now.
Decide = Callable[[], bool]


def make_gated(
    clock: SimulatedClock, rng: random.Random, limit: float, entries: int
) -> list[Decide]:
    """Return entries with equal shares, as for slow starts."""

    def make() -> Decide:
        gate = SlowStartGate(clock=clock, rng=rng)

        def decide() -> bool:
            if not gate.is_open(ENDPOINT_ID, limit, entries):
                return False
            gate.acquire(ENDPOINT_ID, limit, entries)
            return True

        return decide

    return [make() for _ in range(entries)]


def make_whole(
    clock: SimulatedClock, rng: random.Random, limit: float, entries: int
) -> list[Decide]:
    """Return entries that each keep to the whole limit."""
    return [
        _make_limited(clock, limit, lambda endpoint_id, rate: rate)
        for _ in range(entries)
    ]


def make_holders(
    clock: SimulatedClock, rng: random.Random, limit: float, entries: int
) -> list[Decide]:
    """Return entries of which a few hold shares."""
    entry_ids = frozenset(f"entry-{number}" for number in range(entries))
    return [
        _make_limited(clock, limit, _make_shares(clock, name, entry_ids))
        for name in sorted(entry_ids)
    ]


def make_permitted(
    clock: SimulatedClock, rng: random.Random, limit: float, entries: int
) -> list[Decide]:
    """Return entries that ask a holder for a permit, without a delay."""
    decisions = make_holders(clock, rng, limit, entries)

    def make(own: Decide) -> Decide:
        def decide() -> bool:
            return own() or any(decide() for decide in decisions)

        return decide

    return [make(own) for own in decisions]


def _make_shares(
    clock: SimulatedClock, own_id: str, entry_ids: frozenset[str]
) -> Callable[[str, float], float | None]:
    shares = LimitShares(
        clock=clock,
        own_id=own_id,
        read_control_ids=lambda: frozenset({CONTROL_ID}),
        read_entry_count=lambda: len(entry_ids),
    )
    confirmed_at = float("-inf")

    def read_share(endpoint_id: str, limit: float) -> float | None:
        nonlocal confirmed_at
        while clock.now - confirmed_at > ROSTER_INTERVAL_SECONDS:
            confirmed_at = max(
                confirmed_at + ROSTER_INTERVAL_SECONDS,
                clock.now - IDLE_SECONDS,
            )
            _confirm(clock, shares, entry_ids, confirmed_at)
        return shares.share_of(endpoint_id, limit)

    return read_share


def _confirm(
    clock: SimulatedClock,
    shares: LimitShares,
    entry_ids: frozenset[str],
    at: float,
) -> None:
    """Confirm the roster at an earlier time."""
    now, clock.now = clock.now, at
    shares.record(CONTROL_ID, dict.fromkeys(entry_ids, ""), at)
    clock.now = now


def _make_limited(
    clock: SimulatedClock,
    limit: float,
    read_share: Callable[[str, float], float | None],
) -> Decide:
    limits = EndpointLimits(
        clock=clock,
        metrics=Metrics(),
        read_endpoints=lambda: {ENDPOINT_ID: ENDPOINT},
        read_share=read_share,
    )
    limits.observe(ENDPOINT, [b"%g" % limit], sent_at=clock.now)

    def decide() -> bool:
        if not limits.has_capacity(ENDPOINT_ID):
            return False
        limits.record_sent(ENDPOINT_ID)
        return True

    return decide


WAYS = {
    "equal shares": make_gated,
    "whole limit each": make_whole,
    "holders": make_holders,
    "holders and permits": make_permitted,
}


def simulate(
    make: Callable[..., list[Decide]],
    *,
    limit: float,
    entries: int,
    seconds: float,
    seed: int,
) -> list[float]:
    """Return when requests were sent."""
    clock, rng = SimulatedClock(), random.Random(seed)
    decisions = make(clock, rng, limit, entries)
    clock.now = IDLE_SECONDS
    end = IDLE_SECONDS + seconds
    sent_at = []
    while clock.now < end:
        clock.now += rng.expovariate(limit * DEMAND_FACTOR)
        if rng.choice(decisions)():
            sent_at.append(clock.now)
    return sent_at


def busiest_window(times: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in times)
        for first in times
    )


def main(argv: list[str]) -> int:
    """Print a line for each number of entries and each limit."""
    arguments = docopt(__doc__ or "", argv)
    logger.remove()
    seconds, seed = float(arguments["--seconds"]), int(arguments["--seed"])
    for entries in ENTRY_COUNTS:
        for limit in LIMITS_PER_SECOND:
            parts = []
            for name, make in WAYS.items():
                times = simulate(
                    make,
                    limit=limit,
                    entries=entries,
                    seconds=seconds,
                    seed=seed,
                )
                used = len(times) / (limit * seconds)
                parts.append(f"{name} {used:.0%}, {busiest_window(times)}")
            print(
                f"{entries} entries, {limit:g} a second "
                f"({limit * WINDOW_SECONDS:g} in 4 s): {'; '.join(parts)}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
