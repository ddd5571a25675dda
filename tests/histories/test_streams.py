"""Tests of the checker of streams."""

import unittest

from burdockdrum.histories.streams import MIN_STREAMS
from burdockdrum.histories.streams import ReceivedEvent
from burdockdrum.histories.streams import StreamHistory
from burdockdrum.histories.streams import StreamTry


def make_try(*events, resumes=None, counts=True):
    """Return a try that brought events, as (number, version)."""
    return StreamTry(
        request_id="r",
        entry="e",
        resumes=resumes,
        events=[ReceivedEvent(number=n, version=v) for n, v in events],
        counts=counts,
    )


class StreamHistoryTest(unittest.TestCase):
    """What is found in the streams of a run."""

    def check(self, *streams):
        """Return what is violated."""
        return StreamHistory(streams=list(streams)).check()

    def test_two_versions_are_found_in_one_try_and_over_several(self):
        mixed = [make_try((1, "v1"), (2, "v2"))]
        taken_up = [make_try((1, "v1")), make_try((2, "v2"), resumes="r")]
        sound = [make_try((1, "v1")), make_try((2, "v1"), resumes="r")]
        self.assertEqual(2, len(self.check(mixed, taken_up, sound)))

    def test_missing_and_repeated_events_are_found(self):
        self.assertTrue(self.check([make_try((1, "v1"), (3, "v1"))]))
        self.assertTrue(self.check([make_try((1, "v1"), (1, "v1"))]))

    def test_streams_that_rarely_go_on_are_found(self):
        # Guards against refusing instead of knowing the version.
        refused = [make_try((1, "v1")), make_try(resumes="r")]
        self.assertTrue(self.check(*[refused] * MIN_STREAMS))
        excused = [make_try((1, "v1")), make_try(resumes="r", counts=False)]
        self.assertFalse(self.check(*[excused] * MIN_STREAMS))
