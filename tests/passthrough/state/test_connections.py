"""Tests of the division of endpoints' connections among entries."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.state.connections import equal_share
from burdockdrum.passthrough.state.connections import max_idle_connections
from burdockdrum.passthrough.state.connections import may_add_connection
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.resources import Backend
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt

SERVICE = Backend(name="model", max_connections=40)


class ShareTest(unittest.TestCase):
    """The bounds of one entry among several."""

    @given(
        maximum=strategies.integers(1, 500), entries=strategies.integers(1, 90)
    )
    def test_equal_shares_fit_in_the_maximum(self, maximum, entries):
        backend = Backend(name="s", max_connections=maximum)
        share = equal_share(backend, entries)
        self.assertGreaterEqual(share, 1)
        self.assertLessEqual(share * entries, max(maximum, entries))

    @given(
        maximum=strategies.integers(1, 500),
        entries=strategies.integers(1, 90),
        slots=strategies.integers(1, 64),
    )
    def test_idle_connections_leave_room_for_the_slots(
        self, maximum, entries, slots
    ):
        backend = Backend(name="s", max_connections=maximum)
        idle = max_idle_connections(backend, slots, entries) * entries
        if idle:
            self.assertLess(idle + slots, maximum)

    def test_share_is_exceeded_only_while_others_use_little(self):
        self.assertTrue(may_add_connection(SERVICE, 6, 5, 35))
        self.assertTrue(may_add_connection(SERVICE, 6, 6, 13))
        self.assertFalse(may_add_connection(SERVICE, 6, 6, 14))


class SelectionTest(unittest.TestCase):
    """An endpoint that this and other entries send to."""

    def setUp(self):
        self.world = FleetHarness("a", "b")
        self.world.fleet.entries = 6

    def send(self, number):
        for _ in range(number):
            self.world.fleet.record_sent(
                self.world.choose(
                    make_prompt(0), backend=SERVICE, tried=["b"]
                ),
                SERVICE,
                make_prompt(0),
                0,
            )

    def test_endpoint_at_its_share_is_skipped(self):
        self.send(6)
        self.world.others["a"] = Load.from_ranks([RankLoad(0, 30, 0, 0)])
        choice = self.world.choose(make_prompt(0), backend=SERVICE)
        self.assertEqual("b", choice.endpoint.endpoint_id)
        self.assertIsNone(
            self.world.choose(make_prompt(0), backend=SERVICE, tried=["b"])
        )

    def test_endpoint_that_others_use_little_takes_more(self):
        # Guards against an entry that can't use an endpoint because other
        # entries, which send little, have shares as well.
        self.send(12)
