"""Compare ways to keep to the backoffs that endpoints request.

Usage:
  endpoint_backoffs [--days N]
  endpoint_backoffs -h | --help

Options:
  --days N   Simulated days with different seeds [default: 20].
  -h --help  Show this text.

Endpoints reject requests, either all of them during an outage or those beyond
a full queue, and request a backoff from the entry each time. For each way:
how many requests are served in time, how many requests endpoints reject, and
the most that return in any tenth of a second, as a multiple of the usual. No
time passes; no process is started.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import functools
import random
import sys

from docopt import docopt
from loguru import logger

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state import CongestionWindows
from burdockdrum.passthrough.state import RequestedBackoffs
from scripts.experiment.passed.schedule import Schedule

ENDPOINTS = 3
SLOTS = 8
QUEUE = 4
RUN_SECONDS = 0.2
ENTRIES = 6
BACKOFF_SECONDS = 3.0
SHARING_SECONDS = 0.5
DEADLINE_SECONDS = 6.0
# Callers wait for up to this fraction of the time that they have left.
MAX_WAIT_FRACTION = 1 / 3
DAY_SECONDS = 30.0
OUTAGE_BEGIN = 10.0
OUTAGE_SECONDS = 4.0
INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class Way:
    """One way to keep to backoffs.

    ``keeps`` says whether an entry keeps to them, ``shares`` whether the
    other entries do as well. ``spread`` is the fraction of a backoff over
    which refused requests return after its end, and ``has_window`` whether a
    congestion window limits the requests after a backoff.
    """

    keeps: bool = True
    shares: bool = False
    spread: float = 0.0
    has_window: bool = False


@dataclass(frozen=True, kw_only=True)
class Day:
    """A day: the load as a part of the capacity, and who has an outage.

    ``failing`` is the number of endpoints that reject every request during
    the outage.
    """

    load: float
    failing: int


WAYS = {
    "not kept": Way(keeps=False),
    "own": Way(),
    "own, spread 1": Way(spread=1.0),
    "own, window": Way(has_window=True),
    "own, spread 1/2, window": Way(spread=0.5, has_window=True),
    "own, spread 1, window": Way(spread=1.0, has_window=True),
    "all entries, spread 1": Way(shares=True, spread=1.0),
    "all entries, spread 1, window": Way(
        shares=True, spread=1.0, has_window=True
    ),
}
DAYS = {
    "one of three rejects for 4 s, load 0.5": Day(load=0.5, failing=1),
    "all reject for 4 s, load 0.5": Day(load=0.5, failing=3),
    "all reject for 4 s, load 0.9": Day(load=0.9, failing=3),
    "full queues only, load 1.1": Day(load=1.1, failing=0),
}


@dataclass(kw_only=True)
class Endpoint:
    """An endpoint with slots and a queue."""

    schedule: Schedule
    fails: bool
    running: int = 0
    waiting: collections.deque[Callable[[], None]] = field(
        default_factory=collections.deque
    )

    def send(self, finish: Callable[[], None]) -> bool:
        """Accept a request, or reject it."""
        now = self.schedule.now
        is_out = OUTAGE_BEGIN <= now < OUTAGE_BEGIN + OUTAGE_SECONDS
        if (self.fails and is_out) or len(self.waiting) >= QUEUE:
            return False
        self.waiting.append(finish)
        self._start()
        return True

    def _start(self) -> None:
        while self.waiting and self.running < SLOTS:
            self.running += 1
            finish = self.waiting.popleft()
            self.schedule.after(
                RUN_SECONDS, functools.partial(self._end, finish)
            )

    def _end(self, finish: Callable[[], None]) -> None:
        self.running -= 1
        finish()
        self._start()


class World:
    """Entries before endpoints, and the callers' requests."""

    def __init__(self, *, way: Way, day: Day, seed: int) -> None:
        """Create a day that has not begun."""
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.way = way
        self.endpoints = {
            f"e{number}": Endpoint(
                schedule=self.schedule, fails=number < day.failing
            )
            for number in range(ENDPOINTS)
        }
        self.backoffs = [
            RequestedBackoffs(
                clock=self.schedule,
                metrics=Metrics(),
                read_endpoints=lambda: self.endpoints,
            )
            for _ in range(ENTRIES)
        ]
        self.windows = [
            CongestionWindows(clock=self.schedule) for _ in range(ENTRIES)
        ]
        self.in_flight: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.requests_per_second = day.load * ENDPOINTS * SLOTS / RUN_SECONDS
        self.total = self.served = self.rejected = 0
        self.returned_at: list[float] = []

    def run(self) -> None:
        """Simulate the day."""
        at = 0.0
        while at < DAY_SECONDS:
            at += self.rng.expovariate(self.requests_per_second)
            deadline = at + DEADLINE_SECONDS
            self.total += 1
            self.schedule.at(at, functools.partial(self._call, deadline))
        self.schedule.run(DAY_SECONDS + DEADLINE_SECONDS)

    def _call(self, deadline: float) -> None:
        """Let a caller send a request to some entry."""
        if self.schedule.now >= deadline:
            return
        entry = self.rng.randrange(ENTRIES)
        tried: set[str] = set()
        for _ in range(2):
            chosen = self._choose(entry, tried)
            if chosen is None:
                break
            tried.add(chosen)
            finish = functools.partial(self._finish, entry, chosen, deadline)
            if self.endpoints[chosen].send(finish):
                self.in_flight[entry, chosen] += 1
                return
            self.rejected += 1
            self._back_off(entry, chosen)
        self._refuse(entry, deadline)

    def _choose(self, entry: int, tried: set[str]) -> str | None:
        """Return the least loaded endpoint that wants requests."""
        names = [
            name
            for name in self.endpoints
            if name not in tried and self._may_send(entry, name)
        ]
        if not names:
            return None

        def load(name: str) -> tuple[int, float]:
            endpoint = self.endpoints[name]
            return (
                endpoint.running + len(endpoint.waiting),
                self.rng.random(),
            )

        return min(names, key=load)

    def _may_send(self, entry: int, name: str) -> bool:
        if self.way.keeps and self.backoffs[entry].is_active(name):
            return False
        window = self.windows[entry].size_of(name)
        return window is None or self.in_flight[entry, name] < window

    def _back_off(self, entry: int, name: str) -> None:
        if self.way.has_window and not self.backoffs[entry].is_active(name):
            self.windows[entry].reduce(name, self.in_flight[entry, name])
        value = [b"%g" % BACKOFF_SECONDS]
        self.backoffs[entry].observe(name, value, request_id=None)
        if self.way.shares:
            value = [b"%g" % (BACKOFF_SECONDS - SHARING_SECONDS)]
            for backoffs in self.backoffs:
                self.schedule.after(
                    SHARING_SECONDS,
                    functools.partial(
                        backoffs.observe, name, value, request_id=None
                    ),
                )

    def _refuse(self, entry: int, deadline: float) -> None:
        seconds = 0.5
        left = [
            self.backoffs[entry].seconds_left(name) for name in self.endpoints
        ]
        if self.way.keeps and all(left):
            spread = BACKOFF_SECONDS * self.way.spread
            seconds = min(left) + self.rng.uniform(0, spread)
        longest = (deadline - self.schedule.now) * MAX_WAIT_FRACTION
        return_at = self.schedule.now + min(seconds, longest)
        self.returned_at.append(return_at)
        if longest > INTERVAL_SECONDS:
            self.schedule.at(
                return_at, functools.partial(self._call, deadline)
            )

    def _finish(self, entry: int, name: str, deadline: float) -> None:
        self.in_flight[entry, name] -= 1
        self.windows[entry].record_accepted(name)
        if self.schedule.now <= deadline:
            self.served += 1

    def busiest_return(self) -> float:
        """Return the most returns in an interval, as a multiple of usual."""
        counts = collections.Counter(
            int(at / INTERVAL_SECONDS) for at in self.returned_at
        )
        usual = self.requests_per_second * INTERVAL_SECONDS
        return max(counts.values(), default=0) / usual


def main(argv: list[str]) -> int:
    """Print a line for each kind of day and each way."""
    arguments = docopt(__doc__ or "", argv)
    logger.remove()
    days = int(arguments["--days"])
    for day_name, day in DAYS.items():
        print(day_name)
        for way_name, way in WAYS.items():
            worlds = [
                World(way=way, day=day, seed=seed) for seed in range(days)
            ]
            for world in worlds:
                world.run()
            total = sum(world.total for world in worlds)
            served = sum(world.served for world in worlds) / total
            rejected = sum(world.rejected for world in worlds) / total
            busiest = sum(map(World.busiest_return, worlds)) / days
            print(
                f"  {way_name}: served {served:.1%}, rejected by endpoints "
                f"{rejected:.1%}, busiest return {busiest:.1f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
