"""A region of entries that share one engine, in virtual time."""

import random

from burdockdrum.fairness import FairShares
from burdockdrum.registrations import sum_work
from burdockdrum.registrations import WorkKey
from tests.passthrough.fakes import ManualClock

STEP_SECONDS = 0.02
REPORT_STEPS = 10
REQUEST_WORK = 0.01
# The queue, in seconds, from which on the engine is short, and its limit.
SHORT_SECONDS = 0.25
LIMIT_SECONDS = 1.0


class FakeRegion:
    """Entries that report to each other, and one engine with a queue.

    ``demand_by_team`` is in engines, that is in seconds of work per second.
    """

    def __init__(self, *, entries=4, seed=1, engine=None, weights=None):
        """Create entries without work."""
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.weights = weights or {}
        self.engine = engine if engine is not None else []
        self.reports = {number: {} for number in range(entries)}
        # Pairs of entries that don't hear each other.
        self.cut = set()
        self.shares = [self.make_entry(number) for number in range(entries)]
        self.demand_by_team = {}
        self.sent, self.refused = {}, {}
        self.steps = 0

    def make_entry(self, number):
        """Return an entry without state."""

        def read_others_work():
            return sum_work(
                *(
                    work
                    for other, work in self.reports.items()
                    if other != number and (number, other) not in self.cut
                )
            )

        return FairShares(
            clock=self.clock,
            rng=random.Random(number),
            read_others_work=read_others_work,
            read_weight=self.weights.get,
        )

    def play(self, seconds):
        """Send the demands for a time; count from its start."""
        self.sent, self.refused = {}, {}
        for _ in range(round(seconds / STEP_SECONDS)):
            self._step()

    def refused_fraction(self, team):
        """Return which fraction of a team's requests was refused."""
        return self.refused.get(team, 0) / self.sent[team]

    def _step(self):
        for team, demand in self.demand_by_team.items():
            wanted = demand * STEP_SECONDS / REQUEST_WORK
            count = int(wanted) + (self.rng.random() < wanted % 1)
            for _ in range(count):
                self._send(team, self.rng.randrange(len(self.shares)))
        for _ in range(round(STEP_SECONDS / REQUEST_WORK)):
            if self.engine:
                shares, key = self.engine.pop(0)
                shares.record_served(key, REQUEST_WORK)
        self.clock.now += STEP_SECONDS
        self.steps += 1
        if self.steps % REPORT_STEPS == 0:
            for number, shares in enumerate(self.shares):
                self.reports[number] = shares.read_own_work()

    def _send(self, team, number):
        shares = self.shares[number]
        key = WorkKey("s", 0, team)
        self.sent[team] = self.sent.get(team, 0) + 1
        shares.record_request(key, REQUEST_WORK)
        queue = len(self.engine) * REQUEST_WORK
        is_refused = queue > LIMIT_SECONDS
        if queue > SHORT_SECONDS and not shares.admits(key, REQUEST_WORK):
            is_refused = True
        if is_refused:
            self.refused[team] = self.refused.get(team, 0) + 1
        else:
            self.engine.append((shares, key))
