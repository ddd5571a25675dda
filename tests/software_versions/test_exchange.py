"""Tests that a quorum of control VMs knows each version in use."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.registrations import RegistrationTable
from burdockdrum.software_versions import exchange
from burdockdrum.software_versions import MEMORY_SECONDS
from burdockdrum.software_versions import ServiceVersion
from burdockdrum.software_versions import VersionExchange
from burdockdrum.software_versions import VersionMemory
from burdockdrum.software_versions import VersionReport
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.software_versions.test_memory import VersionRegion

V1 = ServiceVersion("s", "v1")
V2 = ServiceVersion("s", "v2")


class SharedVersionRegion(VersionRegion):
    """Three control VMs that share versions; p0 checks in at c0, and so on."""

    def __init__(self, *, first_start=True, **fields):
        """Create VMs that are not started; p0 alone has v2."""
        super().__init__(endpoints=3, **fields)
        self.first_start = first_start
        self.stalled = set()
        self.endpoints[0].software_version = "v2"

    async def start(self, name):
        """Start a VM; a control VM shares its versions."""
        await super().start(name)
        if name not in self.tables:
            return
        restored = asyncio.Event()
        restored.set()
        sharing = VersionExchange(
            peers=self.peers[name],
            clock=self.clock,
            versions=self.tables[name].versions,
            restored=restored,
            flush=lambda: self._flush(name),
            read_voters=lambda: self.addresses,
            is_first_start=self.first_start,
        )
        self.tasks[f"{name} exchange"] = asyncio.create_task(sharing.run())

    async def stop(self, name):
        """Stop a VM."""
        sharing = self.tasks.pop(f"{name} exchange", None)
        if sharing is not None:
            sharing.cancel()
        if name in self.tasks:
            await super().stop(name)

    async def start_all(self, seconds=3.0):
        """Start all VMs; later starts are no first ones."""
        await super().start_all(seconds)
        self.first_start = False

    def _make_table(self):
        return RegistrationTable(clock=self.clock, are_versions_shared=True)

    async def _flush(self, name):
        """Do as if everything was on disk, unless the disk stalls."""
        if name in self.stalled:
            await asyncio.sleep(60.0)

    def versions_of(self, name):
        """Return the versions that an entry knows."""
        return self.followers[name].versions.versions_of("s")

    def is_established(self, name, version):
        """Return whether streams may begin at a version at an entry."""
        return self.followers[name].versions.is_established("s", version)


class VersionExchangeTest(unittest.TestCase):
    """Control VMs c0, c1, c2 and entries e0, e1, e2."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play(self, test, **fields):
        """Run a test with VMs that have been started."""

        async def main():
            world = SharedVersionRegion(**fields)
            await world.start_all()
            try:
                await test(world)
            finally:
                await world.stop_all()

        run_virtual(main())

    def test_version_is_established_beside_a_stalled_disk(self):
        # Guards against a version at which no stream may begin for as long
        # as the disk of one of three control VMs stalls.
        async def check(world):
            world.stalled = {"c0"}
            world.endpoints[0].software_version = "v3"
            await world.run(3.0)
            self.assertTrue(world.is_established("e1", "v3"))

        self.play(check)

    def test_restarted_entry_knows_the_version_of_a_lost_control_vm(self):
        # Guards against a majority that never heard of a version that serves.
        async def check(world):
            world.cut(["c0"])
            await world.stop("e0")
            await world.start("e0")
            await world.run(1.0)
            follower = world.followers["e0"]
            self.assertTrue(await follower.confirm_versions(0.5))
            self.assertEqual(["v1", "v2"], world.versions_of("e0"))

        self.play(check)

    def test_version_is_established_by_a_quorum_only(self):
        # Guards against streams at a version that only a minority knows.
        async def check(world):
            self.assertTrue(world.is_established("e0", "v2"))
            world.network.cut(["c0"], ["c1", "c2"])
            world.endpoints[0].software_version = "v3"
            await world.run(5.0)
            self.assertIn("v3", world.versions_of("e0"))
            self.assertFalse(world.is_established("e0", "v3"))
            self.assertTrue(world.is_established("e0", "v1"))
            world.heal()
            await world.run(3.0)
            self.assertTrue(world.is_established("e0", "v3"))

        self.play(check)

    def test_old_replies_confirm_nothing(self):
        # Guards against knowledge that is older than the stream.
        async def check(world):
            follower = world.followers["e0"]
            self.assertTrue(await follower.confirm_versions(0.5))
            world.cut(["e0"])
            self.assertTrue(follower.hears_majority())
            self.assertFalse(await follower.confirm_versions(0.5))

        self.play(check)

    def test_control_vms_at_another_revision_confirm_nothing(self):
        # Guards against a move of a route that one of them hasn't applied.
        async def check(world):
            follower = world.followers["e0"]
            for revision in (4, 6):
                world.revision_by_vm = {"c0": 5, "c1": 5, "e0": revision}
                self.assertFalse(await follower.confirm_versions(0.5))
            world.revision_by_vm["e0"] = 5
            self.assertTrue(await follower.confirm_versions(0.5))

        self.play(check)

    def test_moves_of_routes_are_known_for_a_while(self):
        # Guards against a stream taken for one of the service that its route
        # moved to.
        async def check(world):
            world.route_moves = {"t": 1}
            follower = world.followers["e0"]
            self.assertTrue(await follower.confirm_versions(0.5))
            self.assertEqual({"t"}, follower.moved_to)
            await world.run(MEMORY_SECONDS + 1.0)
            self.assertEqual(set(), follower.moved_to)
            world.route_moves = {"t": 7}
            self.assertTrue(await follower.confirm_versions(0.5))
            self.assertEqual({"t"}, follower.moved_to)

        self.play(check)

    def test_control_vm_without_its_memory_confirms_nothing(self):
        # Guards against a new memory taken for complete.
        async def check(world):
            world.cut(["c0"])
            # What it has forgotten, only c0 and c2 know.
            await world.stop("c1")
            await world.start("c1")
            await world.run(3.0)
            follower = world.followers["e0"]
            self.assertFalse(await follower.confirm_versions(0.5))
            world.heal()
            await world.run(exchange.INTERVAL_SECONDS)
            self.assertTrue(await follower.confirm_versions(0.5))
            self.assertIn("v2", world.versions_of("e0"))

        self.play(check)

    def test_versions_of_a_silent_control_vm_are_kept(self):
        # Guards against a version that serves behind a long cut.
        async def check(world):
            world.network.cut(["c0"], ["c1", "c2"])
            await world.run(3 * MEMORY_SECONDS)
            for name in ("c1", "c2"):
                known = world.tables[name].versions.list_known()
                self.assertIn("v2", [v.software_version for v in known])
            world.heal()
            world.endpoints[0].software_version = "v1"
            # One memory at c0, and one at the others after its report.
            await world.run(2.5 * MEMORY_SECONDS)
            for name in ("c0", "c1", "c2"):
                known = world.tables[name].versions.list_known()
                self.assertEqual(["v1"], [v.software_version for v in known])

        self.play(check)

    def test_system_that_starts_without_memory_is_complete_in_the_end(self):
        async def check(world):
            follower = world.followers["e0"]
            self.assertFalse(await follower.confirm_versions(0.5))
            await world.run(MEMORY_SECONDS + exchange.INTERVAL_SECONDS)
            self.assertTrue(await follower.confirm_versions(0.5))

        self.play(check, first_start=False)


class VersionMemoryTest(unittest.TestCase):
    """The memory of one control VM."""

    def test_late_report_removes_nothing(self):
        # Guards against an older message that arrives after a newer one.
        async def check():
            memory = VersionMemory(clock=VirtualClock(), is_shared=True)
            memory.apply_report(VersionReport("c1", 5, 2, [V1, V2]))
            memory.apply_report(VersionReport("c1", 5, 1, [V1]))
            (report,) = memory.list_reports()
            self.assertEqual({("s", "v1"), ("s", "v2")}, report.keys)
            memory.apply_report(VersionReport("c1", 5, 3, [V1]))
            (report,) = memory.list_reports()
            self.assertEqual({("s", "v1")}, report.keys)
            known = [v.software_version for v in memory.list_known()]
            self.assertEqual(["v1", "v2"], sorted(known))

        run_virtual(check())
