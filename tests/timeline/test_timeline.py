"""Tests of the timeline and its hybrid logical clock."""

import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import merge
from burdockdrum.timeline import Stamp
from burdockdrum.timeline import Timeline


def make_timeline(process: str, offset: float, capacity: int = 100):
    clock = HybridClock(clock=VirtualClock(wall_offset=offset))
    return Timeline(
        process=process, incarnation=1, clock=clock, capacity=capacity
    )


class TimelineTest(unittest.TestCase):
    """Ordering, retention and filters of events."""

    def test_effect_follows_cause_despite_clock_skew(self):
        # The sender's wall clock is 10 s ahead of the receiver's: ordered by
        # wall time alone, the receipt would precede the sending.
        async def main():
            sender = make_timeline("sender", 10.0)
            receiver = make_timeline("receiver", 0.0)
            cause = sender.record("request.forwarded", request_id="r")
            receiver.clock.observe(cause.stamp)
            effect = receiver.record("request.received", request_id="r")
            self.assertEqual([cause, effect], merge([effect, cause]))

        run_virtual(main())

    def test_stamp_far_ahead_does_not_advance_the_clock(self):
        async def main():
            timeline = make_timeline("vm", 0.0)
            now = timeline.record("a").stamp
            timeline.clock.observe(Stamp(now.wall_ms + 3_600_000, 0))
            after = timeline.record("b").stamp
            self.assertEqual(now.wall_ms, after.wall_ms)
            self.assertGreater(after, now)

        run_virtual(main())

    def test_oldest_events_are_dropped_first(self):
        async def main():
            timeline = make_timeline("vm", 0.0, capacity=2)
            for name in ("a", "b", "c"):
                timeline.record(name)
            names = [event.name for event in timeline.events()]
            self.assertEqual(["b", "c"], names)

        run_virtual(main())

    def test_filters_combine(self):
        async def main():
            timeline = make_timeline("vm", 0.0)
            timeline.record("request.received", request_id="r1")
            wanted = timeline.record("request.answered", request_id="r1")
            timeline.record("request.answered", request_id="r2")
            timeline.record("configuration.in_force", revision=3)
            found = timeline.events(prefix="request.a", request_id="r1")
            self.assertEqual([wanted], found)
            [event] = timeline.events(revision=3)
            self.assertEqual("configuration.in_force", event.name)

        run_virtual(main())
