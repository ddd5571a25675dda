"""Tests of endpoints that restart under the same id."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from loguru import logger

from burdockdrum.registrations import follower as follower_module
from burdockdrum.registrations import make_incarnation_id
from burdockdrum.registrations import Registration
from burdockdrum.registrations import RegistrationState
from burdockdrum.registrations import RegistrationTable
from tests.registrations.test_book import HERE
from tests.registrations.test_book import SteppedClock
from tests.registrations.test_following import play


def make(
    incarnation, *, sequence=1, state="ready", name="e1", address="e1:80"
):
    return Registration(
        endpoint_id=make_incarnation_id(name, incarnation),
        service="s",
        address=address,
        data_centre="dc",
        slots=4,
        sequence=sequence,
        state=RegistrationState(state),
        name=name,
        incarnation=incarnation,
    )


class RestartTableTest(unittest.TestCase):
    """Several incarnations of an endpoint at one control VM."""

    def setUp(self):
        self.clock = SteppedClock()
        self.table = RegistrationTable(clock=self.clock)

    def states(self):
        changes = self.table.changes_after(0, HERE)
        return {r.endpoint_id: r.state.value for r in changes}

    def test_new_incarnation_ends_the_former_one(self):
        # The sequence of the restarted endpoint begins at one again. By the
        # sequence alone, its check-ins would be ignored as late.
        self.table.apply(make(1000, sequence=40))
        self.assertTrue(self.table.apply(make(2000, sequence=1)))
        self.assertEqual(
            {"e1@1000": "gone", "e1@2000": "ready"}, self.states()
        )

    def test_late_check_in_of_the_former_incarnation_is_ignored(self):
        self.table.apply(make(1000, sequence=40))
        self.table.apply(make(2000, sequence=1))
        before = self.table.serial
        self.assertFalse(self.table.apply(make(1000, sequence=41)))
        self.assertFalse(
            self.table.apply(make(1000, sequence=42, state="leaving"))
        )
        self.assertEqual(before, self.table.serial)

    def test_older_incarnation_that_arrives_second_is_ignored(self):
        self.table.apply(make(2000))
        self.assertFalse(self.table.apply(make(1000, sequence=40)))
        self.assertEqual({"e1@2000": "ready"}, self.states())

    def test_endpoint_may_restart_after_its_end(self):
        self.table.apply(make(1000))
        self.table.end("e1")
        self.assertFalse(self.table.apply(make(1000, sequence=2)))
        self.assertTrue(self.table.apply(make(2000)))
        self.assertEqual(
            {"e1@1000": "gone", "e1@2000": "ready"}, self.states()
        )

    def test_end_of_the_former_incarnation_keeps_the_new_one(self):
        self.table.apply(make(1000))
        self.table.apply(make(2000))
        self.table.end("e1", 1000)
        self.assertEqual("ready", self.states()["e1@2000"])

    def test_incarnation_without_start_time_counts_as_older(self):
        self.table.apply(make(1000, sequence=3))
        self.assertFalse(self.table.apply(make(0, sequence=4)))
        self.assertEqual({"e1@1000": "ready"}, self.states())

    def test_new_incarnation_may_begin_at_any_sequence(self):
        # Its first check-ins were lost, and its sequence is above that of the
        # former incarnation.
        self.table.apply(make(1000, sequence=2))
        self.assertTrue(self.table.apply(make(2000, sequence=5)))
        self.assertEqual("ready", self.states()["e1@2000"])

    @settings(max_examples=200, deadline=None)
    @given(strategies.randoms(use_true_random=False))
    def test_every_order_of_arrival_ends_with_the_newest(self, rng):
        # Three incarnations, the last of which drains; their check-ins arrive
        # in any order, some of them twice.
        check_ins = [
            make(incarnation, sequence=sequence)
            for incarnation in (1000, 2000, 3000)
            for sequence in range(1, 4)
        ]
        check_ins.append(make(3000, sequence=4, state="leaving"))
        arriving = check_ins + rng.sample(check_ins, 5)
        rng.shuffle(arriving)
        for registration in arriving:
            self.table.apply(registration)
        states = self.states()
        self.assertEqual("leaving", states.pop("e1@3000"))
        self.assertLessEqual(set(states.values()), {"gone"})
        self.setUp()


class RestartFollowingTest(unittest.TestCase):
    """Incarnations that entries receive from several control VMs."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_new_incarnation_at_another_control_vm(self):
        # The former incarnation is still ready at a; the new one checks in
        # at b. Entries must drop the former one and notify listeners of it.
        async def check(world):
            world.tables["a"].apply(make(1000, sequence=40))
            await asyncio.sleep(0.5)
            ended = []
            follower = world.followers["x"]
            follower.restart_listeners.append(ended.append)
            world.tables["b"].apply(make(2000))
            await asyncio.sleep(0.2)
            self.assertEqual({"e1@2000"}, set(follower.endpoints_by_id))
            self.assertEqual(["e1@1000"], ended)
            world.tables["a"].apply(make(1000, sequence=41))
            await asyncio.sleep(1.0)
            self.assertEqual({"e1@2000"}, set(follower.endpoints_by_id))
            endpoint = follower.endpoints_by_id["e1@2000"]
            self.assertEqual("e1", endpoint.reported_id)

        play(check)

    def test_late_check_in_does_not_revive_an_ended_endpoint(self):
        # Guards against requests to an endpoint that has gone, after the end
        # of another one has been forgotten.
        async def check(world):
            table, follower = world.tables["a"], world.followers["x"]
            table.apply(make(1000, name="e2", address="e2:80"))
            await asyncio.sleep(0.5)
            table.end("e2")
            await asyncio.sleep(follower_module.TOMBSTONE_SECONDS - 10.0)
            table.apply(make(2000))
            await asyncio.sleep(0.5)
            table.end("e1")
            await asyncio.sleep(20.0)
            world.tables["b"].apply(make(1000, sequence=41))
            await asyncio.sleep(0.5)
            self.assertEqual({}, follower.endpoints_by_id)

        play(check)

    def test_end_reported_where_no_incarnation_is_known(self):
        # The end is reported at b, which does not know the endpoint, without
        # an incarnation. It must not apply to later incarnations.
        async def check(world):
            world.tables["a"].apply(make(1000))
            await asyncio.sleep(0.5)
            world.tables["b"].end("e1")
            await asyncio.sleep(0.2)
            follower = world.followers["x"]
            self.assertEqual({}, follower.endpoints_by_id)
            await world.stop("x")
            await world.start("x")
            await asyncio.sleep(1)
            follower = world.followers["x"]
            self.assertEqual({}, follower.endpoints_by_id)
            world.tables["a"].apply(make(2000))
            await asyncio.sleep(0.5)
            self.assertEqual({"e1@2000"}, set(follower.endpoints_by_id))

        play(check)
