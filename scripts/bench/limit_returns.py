"""Compare what callers are told that a rate limit of an endpoint refuses.

Usage:
  limit_returns [--seconds N] [--seed N]
  limit_returns -h | --help

Options:
  --seconds N  Simulated seconds of demand [default: 120].
  --seed N     Seed of the demand [default: 1].
  -h --help    Show this text.

Callers ask for a multiple of the limit. A refused one comes back at the time
that it is told, but waits for no more than a part of the time that it has.
For each way: the part of the limit that is used, how long the callers that
are served have waited, how many calls are refused for each that is served,
and the longest time told. No time passes; no process is started.
"""

from collections.abc import Callable
import functools
import random
import statistics
import sys

from docopt import docopt
from loguru import logger

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state import EndpointLimits
from scripts.bench.endpoint_limits import ENDPOINT
from scripts.bench.endpoint_limits import ENDPOINT_ID
from scripts.experiment.passed.schedule import Schedule

LIMITS_PER_SECOND = (0.3, 3.0, 20.0)
DEMAND_FACTORS = (1.2, 4.0)
DEADLINE_SECONDS = 10.0
MAX_WAIT_FRACTIONS = (1 / 3, 1.0)
MIN_SECONDS_LEFT = 0.2
CONSTANT_SECONDS = 3.0

# Returns the seconds to tell a caller that has so many left.
Tell = Callable[[EndpointLimits, random.Random, float], float]


def tell_reserved_capped(
    limits: EndpointLimits, rng: random.Random, left: float
) -> float:
    """Reserve a time for every caller, and tell at most a constant."""
    reserved = limits.reserve_return(ENDPOINT_ID, float("inf"))
    return min(CONSTANT_SECONDS, reserved)


def tell_reserved(
    limits: EndpointLimits, rng: random.Random, left: float
) -> float:
    """Reserve a time that the caller can keep, and tell it."""
    return limits.reserve_return(ENDPOINT_ID, left)


def tell_next_spread(
    limits: EndpointLimits, rng: random.Random, left: float
) -> float:
    """Reserve nothing; tell the next free time, spread."""
    return limits.seconds_until_capacity(ENDPOINT_ID) * rng.uniform(1.0, 2.0)


WAYS: dict[str, Tell] = {
    "reserved for all, 3 s at most": tell_reserved_capped,
    "reserved if in time": tell_reserved,
    "next free time, spread": tell_next_spread,
}


class World:
    """One holder of a limit, and callers."""

    def __init__(
        self, *, tell: Tell, limit: float, wait_fraction: float, seed: int
    ) -> None:
        """Create a simulation that has not begun."""
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.tell = tell
        self.wait_fraction = wait_fraction
        self.limits = EndpointLimits(
            clock=self.schedule,
            metrics=Metrics(),
            read_endpoints=lambda: {ENDPOINT_ID: ENDPOINT},
        )
        self.limits.observe(
            ENDPOINT, [b"%g" % limit], sent_at=self.schedule.now
        )
        self.waits: list[float] = []
        self.refused = 0
        self.longest_told = 0.0

    def run(self, demand_per_second: float, seconds: float) -> None:
        """Simulate callers that arrive at random."""
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(demand_per_second)
            self.schedule.at(at, functools.partial(self._call, at))
        self.schedule.run(seconds)

    def _call(self, began_at: float) -> None:
        now = self.schedule.now
        if self.limits.has_capacity(ENDPOINT_ID):
            self.limits.record_sent(ENDPOINT_ID)
            self.waits.append(now - began_at)
            return
        self.refused += 1
        left = began_at + DEADLINE_SECONDS - now
        told = self.tell(self.limits, self.rng, left)
        self.longest_told = max(self.longest_told, told)
        wait = min(told, left * self.wait_fraction)
        if left - wait > MIN_SECONDS_LEFT:
            self.schedule.after(wait, functools.partial(self._call, began_at))


def main(argv: list[str]) -> int:
    """Print a line for each limit, demand, patience and way."""
    arguments = docopt(__doc__ or "", argv)
    logger.remove()
    seconds, seed = float(arguments["--seconds"]), int(arguments["--seed"])
    for limit in LIMITS_PER_SECOND:
        for factor in DEMAND_FACTORS:
            for fraction in MAX_WAIT_FRACTIONS:
                print(
                    f"{limit:g} a second, demand {factor:g} times, callers "
                    f"wait for {fraction:.0%} of their time"
                )
                for name, tell in WAYS.items():
                    world = World(
                        tell=tell,
                        limit=limit,
                        wait_fraction=fraction,
                        seed=seed,
                    )
                    world.run(limit * factor, seconds)
                    served = len(world.waits)
                    print(
                        f"  {name}: used {served / (limit * seconds):.0%}, "
                        f"mean wait {statistics.fmean(world.waits):.2f} s, "
                        f"{world.refused / served:.1f} refusals for each, "
                        f"longest told {world.longest_told:.1f} s"
                    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
