"""Tests that entries find what began a stream, whoever began it."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.streams.memory import MAX_RECORDS
from burdockdrum.streams.memory import MEMORY_SECONDS
from burdockdrum.streams.memory import OriginMemory
from burdockdrum.streams.origin import StreamOrigin
from burdockdrum.streams.origins import DISCOVERY_SECONDS
from burdockdrum.streams.origins import DISCOVERY_WAIT_SECONDS
from burdockdrum.streams.origins import FoundOrigin
from burdockdrum.streams.origins import make_key
from burdockdrum.streams.origins import StreamOrigins
from burdockdrum.streams.origins import UnknownOrigin
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import make_peers
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock

V1 = StreamOrigin(service="s", software_version="v1")
V2 = StreamOrigin(service="s", software_version="v2")
# Between two regions, with some reserve.
MESSAGE_SECONDS = 0.1
RESTART_SECONDS = 1.5
VIEW_DELAY_SECONDS = 1.0


class Entries:
    """Entries of three data centres under virtual time."""

    def __init__(self, *, per_data_centre=2):
        """Create entries that are not started."""
        self.clock = VirtualClock()
        self.network = FakeNetwork(rng=random.Random(1))
        self.network.set_default(delay=0.03)
        self.versions = ["v1", "v2"]
        # What control VMs know, if an entry doesn't.
        self.confirmed_versions = None
        self.knows_all = True
        self.moved_to = []
        self.names = [
            f"{data_centre}{number}"
            for data_centre in "abc"
            for number in range(per_data_centre)
        ]
        self.identities = {}
        self.origins = {}
        self.tasks = {}
        self.incarnation = 0

    async def start(self, name):
        """Start an entry with empty memory."""
        self.incarnation += 1
        made = make_peers(
            vm_id=name,
            mailbox=await self.network.host(name).open(f"tcp://{name}:1"),
            clock=self.clock,
            incarnation=self.incarnation,
        )
        identity = VmIdentity(
            vm_id=name,
            incarnation=self.incarnation,
            region=name[0],
            data_centre=name[0],
            control_address=f"tcp://{name}:1",
            http_address="http://x",
        )
        made.identity = identity
        self.identities[name] = identity
        self.origins[name] = StreamOrigins(
            clock=self.clock,
            peers=made,
            metrics=Metrics(),
            read_entries=lambda: list(self.identities.values()),
            read_versions=lambda service: self.versions,
            knows_all_versions=lambda: self.knows_all,
            confirm_versions=self.confirm_versions,
            read_moved_to=lambda: self.moved_to,
            data_centres="abc",
        )
        self.tasks[name] = asyncio.create_task(
            self._run(made, self.origins[name])
        )

    async def confirm_versions(self, seconds):
        """Return whether a quorum of control VMs replies."""
        await asyncio.sleep(0.11 if self.knows_all else seconds)
        self.versions = self.confirmed_versions or self.versions
        return self.knows_all

    async def stop(self, name):
        """Stop an entry; others learn of it later."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.wait({task})
        del self.origins[name]

    async def _run(self, peers: Peers, origins: StreamOrigins):
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(peers.run())
                group.create_task(origins.run())
        finally:
            await peers.close()

    async def find(self, name, key, services=("s",)):
        """Return what an entry finds; the version, or None if unknown."""
        found = await self.origins[name].find(key, services, 3.0)
        match found:
            case FoundOrigin(origin=origin):
                return origin.software_version
            case UnknownOrigin():
                return None


class StreamOriginsTest(unittest.TestCase):
    """Entries a0, a1, b0, b1, c0 and c1."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play(self, test, **fields):
        """Run a test with entries that have been started."""

        async def main():
            world = Entries(**fields)
            for name in world.names:
                await world.start(name)
            await asyncio.sleep(1.0)
            try:
                await test(world)
            finally:
                for name in list(world.tasks):
                    await world.stop(name)

        run_virtual(main())

    def begin(self, world, name, number=20):
        """Begin streams at an entry; return their keys."""
        keys = [make_key(None, f"r{n}") for n in range(number)]
        for n, key in enumerate(keys):
            world.origins[name].begin(key, V1 if n % 2 else V2, ["s"])
        return keys

    async def assert_known(self, world, names, keys):
        """Check that entries know all versions."""
        for name in names:
            found = [await world.find(name, key) for key in keys]
            expected = ["v1" if n % 2 else "v2" for n in range(len(keys))]
            self.assertEqual(expected, found, name)

    def test_stream_of_an_entry_that_was_killed_is_known_everywhere(self):
        # Guards against knowledge that ends with the entry that has it.
        async def check(world):
            keys = self.begin(world, "a0")
            await asyncio.sleep(MESSAGE_SECONDS)
            await world.stop("a0")
            await self.assert_known(world, world.origins, keys)

        for per_data_centre in (1, 2, 17):
            with self.subTest(per_data_centre=per_data_centre):
                self.play(check, per_data_centre=per_data_centre)

    def test_stream_of_a_lost_region_is_known_in_the_others(self):
        async def check(world):
            keys = self.begin(world, "a0")
            await asyncio.sleep(MESSAGE_SECONDS)
            for name in ("a0", "a1"):
                await world.stop(name)
            await self.assert_known(world, ["b0", "b1", "c0", "c1"], keys)

        self.play(check)

    def test_stream_of_a_lost_region_is_known_after_another_restart(self):
        # Guards against a second loss beside that of a region.
        async def check(world):
            keys = self.begin(world, "a0")
            await asyncio.sleep(MESSAGE_SECONDS)
            for name in ("a0", "a1", "b0"):
                await world.stop(name)
            await world.start("b0")
            await self.assert_known(world, ["b0", "b1", "c0", "c1"], keys)

        self.play(check)

    def test_entry_that_knows_one_version_is_told_of_the_others(self):
        # Guards against a memory that is younger than the stream.
        async def check(world):
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V2, ["s"])
            world.versions = ["v1"]
            world.confirmed_versions = ["v1", "v2"]
            self.assertEqual("v2", await world.find("c0", key))
            world.versions = ["v1"]
            self.assertIsNone(await world.find("c0", make_key(None, "r2")))

        self.play(check)

    def test_entry_that_starts_asks_those_it_discovers(self):
        # Guards against a stream that is refused as nobody was asked yet.
        async def check(world):
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V2, ["s"])
            await asyncio.sleep(MESSAGE_SECONDS)
            identities = world.identities
            world.identities = {}
            await world.start("c0")
            search = asyncio.create_task(world.find("c0", key))
            await asyncio.sleep(0.2)
            world.identities = identities
            self.assertEqual("v2", await search)

        self.play(check)

    def test_entry_that_has_just_started_refuses_nothing_for_good(self):
        # Guards against a stream that is lost as those who know it were not
        # discovered yet.
        async def check(world):
            key = make_key(None, "r1")
            world.origins["b0"].begin(key, V2, ["s"])
            await asyncio.sleep(MESSAGE_SECONDS)
            for name in ("a0", "a1"):
                await world.stop(name)
            identities = world.identities
            world.identities = {"a1": identities["a1"]}
            await world.start("a0")
            began = world.clock.monotonic()
            found = await world.origins["a0"].find(key, ["s"], 3.0)
            self.assertIsNotNone(found.retry_after)
            seconds = world.clock.monotonic() - began
            self.assertLessEqual(seconds, DISCOVERY_WAIT_SECONDS + 0.1)
            world.identities = {**identities, **world.identities}
            self.assertEqual("v2", await world.find("a0", key))
            other = make_key(None, "r2")
            found = await world.origins["a0"].find(other, ["s"], 3.0)
            self.assertIsNone(found.retry_after)

        self.play(check)

    def test_lost_data_centre_is_not_awaited_for_ever(self):
        async def check(world):
            for name in ("c0", "c1"):
                await world.stop(name)
                del world.identities[name]
            await asyncio.sleep(DISCOVERY_SECONDS)
            key = make_key(None, "r1")
            found = await world.origins["a0"].find(key, ["s"], 3.0)
            self.assertIsNone(found.retry_after)

        self.play(check)

    def test_open_streams_stay_known_while_all_entries_restart(self):
        # Guards against holders that restart one after the other.
        async def check(world):
            keys = self.begin(world, "a0")
            for name in world.names[1:]:
                await world.stop(name)
                await asyncio.sleep(RESTART_SECONDS)
                await world.start(name)
                await asyncio.sleep(VIEW_DELAY_SECONDS)
            await world.stop("a0")
            await self.assert_known(world, world.origins, keys)

        self.play(check)

    def test_long_streams_stay_known(self):
        # Guards against records that expire while their streams go on.
        async def check(world):
            keys = self.begin(world, "a0", 2)
            await asyncio.sleep(2.5 * MEMORY_SECONDS)
            await world.stop("a0")
            await self.assert_known(world, ["b0", "c1"], keys)

        self.play(check)

    def test_streams_that_began_before_the_second_version_are_told(self):
        # Guards against streams that only their entry knows when versions
        # begin to differ.
        async def check(world):
            world.versions = ["v1"]
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V1, ["s"])
            await asyncio.sleep(1.0)
            self.assertEqual("v1", await world.find("b0", key))
            world.versions = ["v1", "v2"]
            await asyncio.sleep(1.0)
            await world.stop("a0")
            self.assertEqual("v1", await world.find("c0", key))

        self.play(check)

    def test_stream_of_a_route_with_several_services_is_known(self):
        # Guards against a stream that is refused although its version serves.
        async def check(world):
            world.versions = ["v1"]
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V1, ["s", "t"])
            await asyncio.sleep(MESSAGE_SECONDS)
            await world.stop("a0")
            self.assertEqual("v1", await world.find("b0", key, ["s", "t"]))

        self.play(check)

    def test_stream_does_not_go_on_at_the_service_that_its_route_moved_to(
        self,
    ):
        # Guards against an answer joined from two services.
        async def check(world):
            world.versions = ["v1"]
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V1, ["s"])
            await world.stop("a0")
            world.moved_to = ["t"]
            self.assertIsNone(await world.find("b0", key, ["t"]))
            self.assertIsNone(await world.find("b0", None, ["t"]))
            world.moved_to = []
            self.assertEqual("v1", await world.find("b0", key, ["t"]))

        self.play(check)

    def test_open_streams_are_told_when_a_route_moves(self):
        # Guards against a stream that only its entry knows when its route
        # moves to another service and back.
        async def check(world):
            world.versions = ["v1"]
            key = make_key(None, "r1")
            world.origins["a0"].begin(key, V1, ["s"])
            world.moved_to = ["s", "t"]
            await asyncio.sleep(1.0)
            await world.stop("a0")
            self.assertEqual("v1", await world.find("b0", key))

        self.play(check)

    def test_unknown_stream_is_not_guessed(self):
        async def check(world):
            self.assertIsNone(await world.find("a0", make_key(None, "r9")))
            self.assertIsNone(await world.find("a0", None))
            world.versions = ["v1"]
            self.assertEqual("v1", await world.find("a0", None))
            # A version may serve that this entry doesn't know.
            world.knows_all = False
            self.assertIsNone(await world.find("a0", None))

        self.play(check)

    def test_cut_entry_answers_in_time(self):
        # Guards against a search that lasts until the deadline.
        async def check(world):
            world.network.cut(["b0"], [n for n in world.names if n != "b0"])
            began = world.clock.monotonic()
            self.assertIsNone(await world.find("b0", make_key(None, "r1")))
            self.assertLess(world.clock.monotonic() - began, 0.6)

        self.play(check)

    def test_streams_of_other_teams_are_not_found(self):
        self.assertNotEqual(make_key("x", "r1"), make_key("y", "r1"))
        self.assertNotEqual(make_key("x", "r1"), make_key(None, "r1"))


class OriginMemoryTest(unittest.TestCase):
    """The memory of one entry."""

    def test_memory_is_bounded_in_time_and_number(self):
        async def check():
            memory = OriginMemory(clock=VirtualClock())
            for number in range(MAX_RECORDS + 1):
                memory.keep(b"%d" % number, V1)
            self.assertEqual(MAX_RECORDS, len(memory))
            self.assertIsNone(memory.find(b"0"))
            await asyncio.sleep(MEMORY_SECONDS + 1)
            memory.prune()
            self.assertEqual(0, len(memory))

        run_virtual(check())

    def test_record_that_arrives_late_doesn_t_replace_a_newer_one(self):
        async def check():
            memory = OriginMemory(clock=VirtualClock())
            memory.keep(b"k", V2)
            memory.keep(b"k", V1, age=1.0)
            self.assertEqual(V2, memory.find(b"k").origin)

        run_virtual(check())
