"""Tests of the limits that entries keep without communication."""

import random
import unittest

from burdockdrum.passthrough.state import SlowStartGate
from tests.passthrough.fakes import ManualClock

RATE_PER_SECOND = 3.3
MAX_IN_A_SECOND = 1.5 * RATE_PER_SECOND + 3
ENTRIES = 2
SECONDS = 3


class RestartedGateTest(unittest.TestCase):
    """Entries that send as often as they may, and start again and again."""

    def play(self, restart_seconds):
        """Return when requests were sent, in hundredths of a second."""
        clock = ManualClock()
        gates = [None] * ENTRIES
        sent = []
        for tick in range(100 * SECONDS):
            for number in range(ENTRIES):
                if tick % int(100 * restart_seconds) == 0:
                    gates[number] = SlowStartGate(
                        clock=clock, rng=random.Random(number)
                    )
                if gates[number].acquire("e", RATE_PER_SECOND, ENTRIES):
                    sent.append(tick)
            clock.now += 0.01
        return sent

    def test_entries_that_restart_keep_to_slow_start(self):
        # Guards against a request of each start of an entry, which doesn't
        # know what its former process has just sent.
        for restart_seconds in (0.2, 0.25, 0.5, 1.5):
            with self.subTest(restart_seconds):
                sent = self.play(restart_seconds)
                most = max(
                    sum(begin <= tick < begin + 100 for tick in sent)
                    for begin in range(100 * SECONDS)
                )
                self.assertLessEqual(most, MAX_IN_A_SECOND)

    def test_entry_that_runs_sends_to_endpoints_in_slow_start(self):
        self.assertGreater(len(self.play(SECONDS)), ENTRIES)
