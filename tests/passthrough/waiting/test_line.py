"""Tests of the order and the bounds of the waiting line."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockdrum.passthrough.waiting.line import MAX_ASKED
from burdockdrum.passthrough.waiting.line import REQUEST_OVERHEAD_BYTES
from burdockdrum.passthrough.waiting.line import WaitingLine
from burdockdrum.passthrough.waiting.line import WaitingRequest
from tests.drawing import draw

ROOM = 5
SERVICE = "model"


def make_waiting(rank=0, until=10.0, **fields):
    """Return a waiting request without a body."""
    return WaitingRequest(
        service=SERVICE,
        rank=rank,
        arrived_at=0.0,
        until=until,
        work=0.1,
        **fields,
    )


def make_line():
    """Return a line with room for a few requests."""
    return WaitingLine(max_bytes=ROOM * REQUEST_OVERHEAD_BYTES)


EXAMPLES = 100

requests = st.lists(
    st.builds(
        make_waiting,
        rank=st.integers(0, 3),
        until=st.floats(1.0, 5.0),
        order=st.sampled_from([0.0, 1.0]),
    ),
    max_size=20,
)


class PropertiesTest(unittest.TestCase):
    """What holds for any sequence of requests."""

    @draw(EXAMPLES)
    @given(requests)
    def test_memory_is_bounded_and_the_most_urgent_stay(self, arriving):
        line, left = make_line(), []
        for request in arriving:
            displaced = line.add(request)
            left += [request] if displaced is None else displaced
            waiting = list(line.in_order(SERVICE))
            self.assertLessEqual(len(waiting), ROOM)
            self.assertEqual(
                len(waiting) * REQUEST_OVERHEAD_BYTES, line.held_bytes
            )
            if left and waiting:
                most_urgent = min(other.rank for other in left)
                self.assertLessEqual(waiting[0].rank, most_urgent)
        self.assertEqual(len(arriving), len(line) + len(left))

    @draw(EXAMPLES)
    @given(requests)
    def test_sent_in_order_of_rank_share_and_time(self, arriving):
        line = WaitingLine()
        for request in arriving:
            line.add(request)
        sent = []
        while line.has(SERVICE):
            sent.append(line.take_ready(SERVICE, lambda request: True))
        keys = [(r.rank, r.order, r.until) for r in sent]
        self.assertEqual(sorted(keys), keys)

    @draw(EXAMPLES)
    @given(requests, st.floats(0.0, 6.0))
    def test_nothing_waits_beyond_its_time(self, arriving, now):
        line = WaitingLine()
        for request in arriving:
            line.add(request)
        overdue = line.take_overdue(SERVICE, now)
        self.assertTrue(all(request.until <= now for request in overdue))
        waiting = line.in_order(SERVICE)
        self.assertTrue(all(request.until > now for request in waiting))


class WorkConservingTest(unittest.TestCase):
    """Capacity is used although the first request may not use it."""

    def test_request_behind_the_first_is_sent(self):
        line = WaitingLine()
        first, second = make_waiting(rank=0), make_waiting(rank=1)
        line.add(first)
        line.add(second)
        sent = line.take_ready(SERVICE, lambda request: request is second)
        self.assertIs(second, sent)
        self.assertEqual([first], list(line.in_order(SERVICE)))

    def test_few_requests_are_asked_for_in_one_check(self):
        # Each costs a rating of all endpoints.
        line, asked = WaitingLine(), []
        for _ in range(3 * MAX_ASKED):
            line.add(make_waiting())
        line.take_ready(SERVICE, asked.append)
        self.assertEqual(MAX_ASKED, len(asked))


if __name__ == "__main__":
    unittest.main()
