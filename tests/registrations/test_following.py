"""Tests of entries that receive registrations from several control VMs."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Registration
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.registrations import RegistrationPublisher
from burdockdrum.registrations import RegistrationState
from burdockdrum.registrations import RegistrationTable
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock

REGIONS = {"dc": "here", "far": "there"}


def make(endpoint_id, *, sequence=1, state="ready", data_centre="dc"):
    return Registration(
        endpoint_id=endpoint_id,
        service="s",
        address=f"{endpoint_id}:80",
        data_centre=data_centre,
        slots=4,
        sequence=sequence,
        state=RegistrationState(state),
    )


class World:
    """Control VMs a and b, entries x and y of one region."""

    def __init__(self, seed=1):
        """Create VMs that are not started."""
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.network = FakeNetwork(rng=random.Random(seed))
        self.network.set_default(delay=0.055)
        self.tables = {}
        self.followers = {}
        self.tasks = {}
        self.addresses = {n: f"tcp://{n}:1" for n in "ab"}
        self.incarnation = 0
        # The load report by entry, None if another entry reports for it.
        self.reports = {}
        self.metrics_by_name = {}

    async def start(self, name):
        """Start or restart a VM with empty state."""
        self.incarnation += 1
        metrics = Metrics()
        address = f"tcp://{name}:1"
        peers = Peers(
            identity=VmIdentity(
                vm_id=name,
                incarnation=self.incarnation,
                region="here",
                data_centre="dc",
                control_address=address,
                http_address="",
            ),
            mailbox=await self.network.host(name).open(address),
            clock=self.clock,
            hybrid_clock=HybridClock(clock=self.clock),
            rng=self.rng,
            authenticator=PayloadAuthenticator(secret=b"s"),
            metrics=metrics,
        )
        if name in self.addresses:
            table = self.tables[name] = RegistrationTable(clock=self.clock)
            service = RegistrationPublisher(
                peers=peers,
                clock=self.clock,
                table=table,
                regions_by_data_centre=REGIONS,
                read_revision=lambda: 0,
            )
        else:
            service = self.followers[name] = RegistrationFollower(
                peers=peers,
                clock=self.clock,
                rng=self.rng,
                control_addresses=lambda: self.addresses,
                read_report=lambda: self.reports.get(name, {}),
            )
        self.metrics_by_name[name] = metrics
        self.tasks[name] = asyncio.create_task(self._run(peers, service))

    async def stop(self, name):
        """Stop a VM."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.wait({task})

    async def _run(self, peers, service):
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(peers.run())
                group.create_task(service.run())
        finally:
            await peers.close()

    def frames(self, name):
        """Return how many frames a VM has sent and received."""
        lines = self.metrics_by_name[name].text().splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.startswith("burdockdrum_peer_frames_total{")
        )


def play(test, more=()):
    async def main():
        world = World()
        world.reports = dict.fromkeys(more)
        for name in [*"abxy", *more]:
            await world.start(name)
        await asyncio.sleep(1)
        await test(world)
        for name in list(world.tasks):
            await world.stop(name)

    run_virtual(main())


class FollowingTest(unittest.TestCase):
    """The view that entries have of endpoints."""

    def test_drain_notice_reaches_every_entry_at_once(self):
        # An entry that learns of it late would still route requests to a
        # draining endpoint.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            world.tables["a"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertTrue(follower.endpoints_by_id["e1"].is_draining)

        play(check)

    def test_lost_notice_is_resent(self):
        # The drain notice is lost on its way to one entry.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            world.network.cut(["a"], ["x"])
            world.tables["a"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.4)
            world.network.heal(["a"], ["x"])
            await asyncio.sleep(1.0)
            self.assertTrue(
                world.followers["x"].endpoints_by_id["e1"].is_draining
            )

        play(check)

    def test_drain_notice_takes_precedence_over_unreachable(self):
        # The endpoint checks in at a, then drains at b. At a it only becomes
        # unreachable, which must not hide the notice.
        async def check(world):
            world.tables["a"].apply(make("e1", sequence=1))
            world.tables["b"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(6)
            self.assertTrue(
                world.followers["x"].endpoints_by_id["e1"].is_draining
            )

        play(check)

    def test_check_in_of_another_writer_elsewhere_is_not_believed(self):
        # Guards against a check-in under an endpoint's id, at a control VM
        # that does not hear the endpoint, that outranks its own.
        async def check(world):
            async def check_in(seconds):
                for _ in range(int(seconds / 1.2)):
                    check_in.sequence += 1
                    world.tables["a"].apply(
                        make("e1", sequence=check_in.sequence)
                    )
                    await asyncio.sleep(1.2)

            check_in.sequence = 0
            await check_in(2.4)
            for state in ("ready", "leaving"):
                other = make("e1", sequence=5_000_000, state=state)
                other = msgspec.structs.replace(other, service="other")
                world.tables["b"].apply(other)
                await check_in(42.0)
                for name in "xy":
                    endpoint = world.followers[name].endpoints_by_id["e1"]
                    self.assertEqual("s", endpoint.service)
                    self.assertFalse(endpoint.is_draining)
                    self.assertFalse(endpoint.is_unreachable)

        play(check)

    def test_end_reported_at_control_vm_that_does_not_know_the_endpoint(self):
        # The endpoint checked in at a and reports its end at b. Entries must
        # not use it any more, though a still lists it as ready.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            world.tables["b"].end("e1")
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertNotIn("e1", follower.endpoints_by_id)
            world.tables["a"].apply(make("e1", sequence=2))
            await world.stop("x")
            await world.start("x")
            await asyncio.sleep(1)
            self.assertNotIn("e1", world.followers["x"].endpoints_by_id)

        play(check)

    def test_restart_of_control_vm_keeps_endpoints_for_a_grace_period(self):
        # Otherwise a control VM with an empty table would remove all its
        # endpoints; those that don't check in again are removed later.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            world.tables["a"].apply(make("e2"))
            await asyncio.sleep(0.5)
            await world.stop("a")
            await world.start("a")
            await asyncio.sleep(1)
            follower = world.followers["x"]
            self.assertEqual({"e1", "e2"}, set(follower.endpoints_by_id))
            world.tables["b"].apply(make("e1", sequence=2))
            await asyncio.sleep(7)
            self.assertEqual({"e1"}, set(follower.endpoints_by_id))

        play(check)

    def test_replaced_control_vm_does_not_keep_endpoints(self):
        # Guards against requests to an endpoint that has gone, because a
        # control VM that was replaced cannot say so any more.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            await world.stop("a")
            del world.addresses["a"]
            world.addresses["c"] = "tcp://c:1"
            await world.start("c")
            await asyncio.sleep(1.0)
            world.tables["b"].apply(make("e1", sequence=2))
            await asyncio.sleep(1.0)
            follower = world.followers["x"]
            self.assertEqual({"e1"}, set(follower.endpoints_by_id))
            await asyncio.sleep(120.0)
            self.assertEqual({}, follower.endpoints_by_id)

        play(check)

    def test_replaced_control_vm_keeps_endpoints_during_a_cut(self):
        # Guards against an entry that loses endpoints which check in at a
        # control VM that it cannot reach.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            world.network.cut(["b"], ["x"])
            await world.stop("a")
            del world.addresses["a"]
            world.addresses["c"] = "tcp://c:1"
            await world.start("c")
            await asyncio.sleep(60.0)
            follower = world.followers["x"]
            self.assertEqual({"e1"}, set(follower.endpoints_by_id))
            world.network.heal(["b"], ["x"])
            await asyncio.sleep(10.0)
            self.assertEqual({}, follower.endpoints_by_id)

        play(check)

    def test_endpoints_are_kept_while_no_control_vm_is_reachable(self):
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            world.network.cut(["a", "b"], ["x"])
            await asyncio.sleep(20)
            self.assertIn("e1", world.followers["x"].endpoints_by_id)
            self.assertFalse(world.followers["x"].has_recent_update(3))

        play(check)

    def test_capacities_of_all_control_vms_are_added_up(self):
        # Each control VM knows some of another region's endpoints. With the
        # report of only one, an entry would reject requests that the region
        # has capacity for.
        async def check(world):
            world.tables["a"].apply(make("f1", data_centre="far"))
            world.tables["b"].apply(make("f2", data_centre="far"))
            await asyncio.sleep(1)
            for _ in range(10):
                await asyncio.sleep(0.11)
                (capacity,) = world.followers["x"].capacities
                self.assertEqual((2, 8), (capacity.endpoints, capacity.slots))

        play(check)

    def test_entries_count_each_other(self):
        async def check(world):
            await asyncio.sleep(1)
            self.assertEqual(2, world.followers["x"].region_entries)
            # A stopped one still counts for a while: it may be partitioned.
            await world.stop("y")
            await asyncio.sleep(5)
            self.assertEqual(2, world.followers["x"].region_entries)

        play(check)


class ManyEntriesTest(unittest.TestCase):
    """A hundred entries, most of which don't report loads themselves."""

    NAMES = tuple(f"e{number}" for number in range(100))

    def test_entries_poll_rarely_but_receive_changes_at_once(self):
        # Each entry polls a control VM only every two seconds or so; a drain
        # notice must not wait for that.
        async def check(world):
            await asyncio.sleep(5)
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            before = world.frames("e5"), world.frames("a")
            await asyncio.sleep(4)
            polled = world.frames("e5") - before[0]
            self.assertLess(polled / 4, 2.5)
            self.assertLess((world.frames("a") - before[1]) / 4, 110)
            world.tables["a"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertTrue(follower.endpoints_by_id["e1"].is_draining)

        play(check, self.NAMES)

    def test_lost_notice_is_resent_before_the_next_poll(self):
        # A notice lost with a connection must be resent without waiting for
        # the entry's next poll.
        async def check(world):
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(5)
            world.network.cut(["a"], ["e5"])
            world.tables["a"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            world.network.heal(["a"], ["e5"])
            await asyncio.sleep(1.0)
            endpoint = world.followers["e5"].endpoints_by_id["e1"]
            self.assertTrue(endpoint.is_draining)

        play(check, self.NAMES)

    def test_acknowledged_change_is_not_resent(self):
        async def check(world):
            await asyncio.sleep(8)
            world.tables["a"].apply(make("e1"))
            await asyncio.sleep(0.5)
            before = world.frames("a")
            await asyncio.sleep(4)
            usual = world.frames("a") - before
            world.tables["a"].apply(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(4)
            # A notice to each of 102 entries, and its acknowledgement.
            sent = world.frames("a") - before - 2 * usual
            self.assertLess(abs(sent - 204), 0.1 * usual)

        play(check, self.NAMES)

    def test_polls_are_spread_by_jitter(self):
        # All entries start simultaneously. Without jitter, their polls would
        # overload control VMs once each interval.
        async def check(world):
            await asyncio.sleep(20)
            counts = []
            for _ in range(10):
                before = world.frames("a")
                await asyncio.sleep(0.25)
                counts.append(world.frames("a") - before)
            self.assertLess(max(counts), 3 * sum(counts) / len(counts))

        play(check, self.NAMES)
