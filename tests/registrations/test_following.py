"""Tests of entries that follow several control VMs, in memory."""

import asyncio
import random
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Registration
from burdockdrum.registrations import RegistrationBook
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.registrations import RegistrationPublisher
from burdockdrum.registrations import RegistrationState
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
        self.books = {}
        self.followers = {}
        self.tasks = {}
        self.addresses = {n: f"tcp://{n}:1" for n in "ab"}
        self.incarnation = 0
        # What entries report; none where another one does it for them.
        self.reports = {}
        self.metrics_by_name = {}

    async def start(self, name):
        """Start a VM, or start it again with nothing in memory."""
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
            seal=Seal(secret=b"s"),
            metrics=metrics,
        )
        if name in self.addresses:
            book = self.books[name] = RegistrationBook(clock=self.clock)
            service = RegistrationPublisher(
                peers=peers,
                clock=self.clock,
                book=book,
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
        """End a VM."""
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
    """What entries know, and when."""

    def test_every_entry_hears_a_notice_at_once(self):
        # An endpoint tells one control VM that it leaves. Both entries give
        # it nothing new a moment later, far inside the three seconds after
        # which a request there would break a promise.
        async def check(world):
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            world.books["a"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertTrue(follower.endpoints_by_id["e1"].leaving)

        play(check)

    def test_lost_notice_is_told_again(self):
        # The message with the notice is lost on its way to one entry; the
        # next question shows what it lacks.
        async def check(world):
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            world.network.cut(["a"], ["x"])
            world.books["a"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.4)
            world.network.heal(["a"], ["x"])
            await asyncio.sleep(1.0)
            self.assertTrue(world.followers["x"].endpoints_by_id["e1"].leaving)

        play(check)

    def test_notice_at_one_control_vm_outweighs_silence_at_another(self):
        # The endpoint checked in at a, moved to b and left there. At a it
        # only falls silent; what it said last counts.
        async def check(world):
            world.books["a"].take(make("e1", sequence=1))
            world.books["b"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(6)
            self.assertTrue(world.followers["x"].endpoints_by_id["e1"].leaving)

        play(check)

    def test_end_said_at_a_control_vm_that_never_heard_of_it(self):
        # The endpoint checked in at a. Without a notice it says at b that
        # it ends, and b acknowledges: no entry may send it work any more,
        # though at a it seems ready for some seconds.
        async def check(world):
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            world.books["b"].end("e1")
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertNotIn("e1", follower.endpoints_by_id)
            world.books["a"].take(make("e1", sequence=2))
            await world.stop("x")
            await world.start("x")
            await asyncio.sleep(1)
            self.assertNotIn("e1", world.followers["x"].endpoints_by_id)

        play(check)

    def test_restarted_control_vm_takes_nothing_away_at_once(self):
        # A control VM restarts and knows nothing. Its endpoints serve on
        # until they have checked in again; one that never does is dropped.
        async def check(world):
            world.books["a"].take(make("e1"))
            world.books["a"].take(make("e2"))
            await asyncio.sleep(0.5)
            await world.stop("a")
            await world.start("a")
            await asyncio.sleep(1)
            follower = world.followers["x"]
            self.assertEqual({"e1", "e2"}, set(follower.endpoints_by_id))
            world.books["b"].take(make("e1", sequence=2))
            await asyncio.sleep(7)
            self.assertEqual({"e1"}, set(follower.endpoints_by_id))

        play(check)

    def test_last_knowledge_stays_while_no_control_vm_answers(self):
        async def check(world):
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            world.network.cut(["a", "b"], ["x"])
            await asyncio.sleep(20)
            self.assertIn("e1", world.followers["x"].endpoints_by_id)
            self.assertFalse(world.followers["x"].is_heard(3))

        play(check)

    def test_rooms_of_all_control_vms_are_added_up(self):
        # Each control VM hears some of another region's endpoints. An entry
        # that took one's word for all would find no room there at times,
        # and refuse what that region could serve.
        async def check(world):
            world.books["a"].take(make("f1", data_centre="far"))
            world.books["b"].take(make("f2", data_centre="far"))
            await asyncio.sleep(1)
            for _ in range(10):
                await asyncio.sleep(0.11)
                (room,) = world.followers["x"].rooms
                self.assertEqual((2, 8), (room.endpoints, room.slots))

        play(check)

    def test_entries_count_each_other(self):
        async def check(world):
            await asyncio.sleep(1)
            self.assertEqual(2, world.followers["x"].entries_here)
            # One that is gone still counts for a while: it may be cut off.
            await world.stop("y")
            await asyncio.sleep(5)
            self.assertEqual(2, world.followers["x"].entries_here)

        play(check)


class ManyEntriesTest(unittest.TestCase):
    """A hundred entries, most of which report nothing themselves."""

    NAMES = tuple(f"e{number}" for number in range(100))

    def test_entries_ask_rarely_and_hear_at_once(self):
        # An endpoint leaves. Each entry asks a control VM every two seconds
        # or so, and the notice must not wait for that.
        async def check(world):
            await asyncio.sleep(5)
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            before = world.frames("e5"), world.frames("a")
            await asyncio.sleep(4)
            asked = world.frames("e5") - before[0]
            self.assertLess(asked / 4, 2.5)
            self.assertLess((world.frames("a") - before[1]) / 4, 110)
            world.books["a"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            for follower in world.followers.values():
                self.assertTrue(follower.endpoints_by_id["e1"].leaving)

        play(check, self.NAMES)

    def test_lost_notice_is_told_again_before_the_next_question(self):
        # The connection to one entry takes the notice and loses it. It is
        # sent anew within half a second, not with the next question.
        async def check(world):
            world.books["a"].take(make("e1"))
            await asyncio.sleep(5)
            world.network.cut(["a"], ["e5"])
            world.books["a"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(0.2)
            world.network.heal(["a"], ["e5"])
            await asyncio.sleep(1.0)
            endpoint = world.followers["e5"].endpoints_by_id["e1"]
            self.assertTrue(endpoint.leaving)

        play(check, self.NAMES)

    def test_what_is_confirmed_is_not_told_again(self):
        async def check(world):
            await asyncio.sleep(8)
            world.books["a"].take(make("e1"))
            await asyncio.sleep(0.5)
            before = world.frames("a")
            await asyncio.sleep(4)
            usual = world.frames("a") - before
            world.books["a"].take(make("e1", sequence=2, state="leaving"))
            await asyncio.sleep(4)
            # A notice to each of 102 entries, and its confirmation.
            told = world.frames("a") - before - 2 * usual
            self.assertLess(abs(told - 204), 0.1 * usual)

        play(check, self.NAMES)

    def test_questions_are_spread(self):
        # All entries start at the same moment. Were they to ask at the same
        # moments for good, control VMs would fall behind once a round.
        async def check(world):
            await asyncio.sleep(20)
            counts = []
            for _ in range(10):
                before = world.frames("a")
                await asyncio.sleep(0.25)
                counts.append(world.frames("a") - before)
            self.assertLess(max(counts), 3 * sum(counts) / len(counts))

        play(check, self.NAMES)
