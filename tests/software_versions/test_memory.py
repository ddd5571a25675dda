"""Tests of the software versions that control VMs and entries know."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.registrations import RegistrationState
from burdockdrum.registrations import RegistrationTable
from burdockdrum.software_versions import KnownVersions
from burdockdrum.software_versions import MEMORY_SECONDS
from burdockdrum.software_versions import ServiceVersion
from burdockdrum.software_versions import VersionReport
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.registrations.limited_region import Endpoint
from tests.registrations.limited_region import LimitedRegion
from tests.registrations.test_store import ControlVm
from tests.registrations.test_store import make_registration


class VersionedEndpoint(Endpoint):
    """An endpoint that reports a software version."""

    software_version = "v1"

    def registration(self):
        """Return the next check-in."""
        made = super().registration()
        return type(made)(
            **{
                **{
                    name: getattr(made, name)
                    for name in made.__struct_fields__
                },
                "software_version": self.software_version,
            }
        )


class VersionRegion(LimitedRegion):
    """A region whose endpoints have versions; entries send nothing."""

    def __init__(self, **fields):
        """Create VMs that are not started."""
        super().__init__(**fields)
        self.endpoints = [
            VersionedEndpoint(e.endpoint_id, checks_in_at=e.checks_in_at)
            for e in self.endpoints
        ]

    async def _send_continuously(self, name):
        """Send nothing."""


class SoftwareVersionsTest(unittest.TestCase):
    """The versions of a service."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_version_is_remembered_after_its_last_endpoint(self):
        # Guards against taking a broken stream for one of the next version.
        async def check():
            table = RegistrationTable(clock=VirtualClock())
            table.apply(make_registration("a", software_version="v1"))
            table.apply(make_registration("b", software_version="v2"))
            table.end("a")
            serial = table.versions.serial
            await asyncio.sleep(MEMORY_SECONDS - 1)
            table.prune()
            known = [v.software_version for v in table.versions.list_known()]
            self.assertEqual(["v1", "v2"], sorted(known))
            await asyncio.sleep(2.0)
            table.prune()
            known = [v.software_version for v in table.versions.list_known()]
            self.assertNotIn("v1", known)
            self.assertGreater(table.versions.serial, serial)

        run_virtual(check())

    def test_versions_survive_a_power_failure(self):
        # Guards against entries that all restart and see one version only.
        async def check():
            disk = FakeDisk(rng=random.Random(1))
            vm = ControlVm(disk)
            await asyncio.sleep(0.5)
            vm.table.apply(make_registration("a", software_version="v1"))
            vm.table.end("a")
            vm.table.apply(make_registration("b", software_version="v2"))
            await asyncio.sleep(1.0)
            await vm.stop()
            disk.lose_power()
            vm = ControlVm(disk)
            await asyncio.sleep(0.5)
            known = [
                v.software_version for v in vm.table.versions.list_known()
            ]
            await vm.stop()
            self.assertEqual(["v1", "v2"], sorted(known))

        run_virtual(check())

    def test_reports_of_other_control_vms_survive_a_power_failure(self):
        # Guards against a version that was established and is forgotten.
        async def check():
            disk = FakeDisk(rng=random.Random(1))
            vm = ControlVm(disk, are_versions_shared=True)
            await asyncio.sleep(0.5)
            report = VersionReport("c1", 7, 1, [ServiceVersion("s", "v2")])
            vm.table.versions.apply_report(report)
            self.assertFalse(vm.table.versions.is_complete)
            vm.table.versions.complete()
            await vm.store.flush()
            await vm.stop()
            disk.lose_power()
            vm = ControlVm(disk, are_versions_shared=True)
            await asyncio.sleep(0.5)
            versions = vm.table.versions
            await vm.stop()
            self.assertEqual([report], versions.list_reports())
            self.assertIn(
                "v2", [v.software_version for v in versions.list_known()]
            )
            self.assertTrue(versions.is_complete)

        run_virtual(check())

    def test_entries_know_the_versions_of_all_control_vms(self):
        # Guards against an entry that knows the endpoints of one only.
        async def check():
            world = VersionRegion(endpoints=3)
            world.endpoints[2].software_version = "v2"
            await world.start_all(3.0)
            try:
                for follower in world.followers.values():
                    versions = follower.versions.versions_of("s")
                    self.assertEqual(["v1", "v2"], versions)
                    self.assertTrue(follower.hears_majority())
                world.cut(["e0"])
                await world.run(4.0)
                self.assertFalse(world.followers["e0"].hears_majority())
            finally:
                await world.stop_all()

        run_virtual(check())

    def test_entry_that_starts_knows_versions_that_are_gone(self):
        # Guards against a restarted entry that sees the new version only.
        async def check():
            world = VersionRegion(endpoints=3)
            await world.start_all(3.0)
            try:
                for endpoint in world.endpoints:
                    endpoint.software_version = "v2"
                await world.run(5.0)
                await world.stop("e0")
                await world.start("e0")
                await world.run(2.0)
                versions = world.followers["e0"].versions.versions_of("s")
                self.assertEqual(["v1", "v2"], versions)
            finally:
                await world.stop_all()

        run_virtual(check())

    def test_known_versions_expire(self):
        async def check():
            known = KnownVersions(clock=VirtualClock())
            table = RegistrationTable(clock=VirtualClock())
            table.apply(
                make_registration(
                    "a",
                    software_version="v1",
                    state=RegistrationState.DRAINING,
                )
            )
            known.record(table.versions.list_known())
            self.assertEqual(["v1"], known.versions_of("model"))
            await asyncio.sleep(MEMORY_SECONDS + 1)
            self.assertEqual([], known.versions_of("model"))

        run_virtual(check())
