"""Tests of VMs without a disk that restart behind the clock."""

import unittest

from loguru import logger

from burdockdrum.testing import run_virtual
from tests.registrations.limited_region import LimitedRegion


class LowerIncarnationTest(unittest.TestCase):
    """Control VMs c0, c1, c2 and entries e0, e1, e2."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play(self, test):
        """Run a test with VMs that have been started."""

        async def main():
            world = LimitedRegion(endpoints=3)
            world.incarnation = 1000
            await world.start_all(3.0)
            try:
                await test(world)
            finally:
                await world.stop_all()

        run_virtual(main())

    async def restart(self, world, name):
        """Restart a VM with a lower incarnation than before."""
        await world.stop(name)
        world.incarnation = 0
        await world.start(name)
        await world.run(3.0)

    def test_control_vm_that_restarts_behind_the_clock_is_heard(self):
        # Guards against a drain that is acknowledged and told to nobody.
        async def check(world):
            await self.restart(world, "c0")
            world.tables["c0"].end("p0")
            await world.run(0.5)
            for follower in world.followers.values():
                self.assertNotIn("p0", follower.endpoints_by_id)

        self.play(check)

    def test_entry_that_restarts_behind_the_clock_is_served(self):
        # Guards against an entry that hears of no endpoint.
        async def check(world):
            await self.restart(world, "e0")
            known = world.followers["e0"].endpoints_by_id
            self.assertEqual({"p0", "p1", "p2"}, set(known))

        self.play(check)
