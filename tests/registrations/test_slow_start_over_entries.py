"""Tests of slow start over entries that have just restarted."""

import asyncio
import random
import unittest

from burdockdrum.passthrough.state import SlowStartGate
from burdockdrum.testing import run_virtual
from tests.registrations.limited_region import LimitedRegion

RATE_PER_SECOND = 5.0
# What an endpoint in slow start tolerates in a second.
MAX_IN_A_SECOND = 1.5 * RATE_PER_SECOND + 3


class ColdRegion(LimitedRegion):
    """A region whose endpoints are in slow start."""

    async def _send_continuously(self, name):
        follower = self.followers[name]
        gate = SlowStartGate(
            clock=self.clock,
            rng=random.Random(name + str(self.incarnation)),
            is_chosen=follower.limit_shares.is_chosen,
        )
        while True:
            await asyncio.sleep(self.send_interval)
            now = self.clock.monotonic()
            entries = follower.region_entries
            for endpoint_id in follower.endpoints_by_id:
                if gate.is_open(endpoint_id, RATE_PER_SECOND, entries):
                    gate.acquire(endpoint_id, RATE_PER_SECOND, entries)
                    endpoint = self.endpoints[int(endpoint_id[1:])]
                    endpoint.arrivals.append((now, name))


class SlowStartTest(unittest.TestCase):
    """Entries that send to an endpoint in slow start as often as they may."""

    def play(self, names, *, entries):
        """Restart some VMs; return the most arrivals in a second."""

        async def run():
            world = ColdRegion(entries=entries)
            await world.start_all(5)
            began = world.clock.monotonic()
            chosen = names(world)
            for name in chosen:
                await world.stop(name)
            await world.run(0.5)
            for name in chosen:
                await world.start(name)
            await world.run(8)
            await world.stop_all()
            return world.endpoint.busiest(1.0, since=began)

        return run_virtual(run())

    def test_many_entries_keep_to_slow_start_of_many_endpoints(self):
        # Guards against first requests that are spread at random, of which
        # too many come in the same second at one endpoint of many.
        async def run(seed):
            world = ColdRegion(seed=seed, entries=30, endpoints=60)
            world.send_interval = 0.1
            await world.start_all(5)
            await world.stop_all()
            return max(e.busiest(1.0) for e in world.endpoints)

        most = [run_virtual(run(seed)) for seed in range(3)]
        self.assertLessEqual(max(most), MAX_IN_A_SECOND, most)

    def test_restart_of_all_entries_keeps_to_slow_start(self):
        # Guards against entries that believe to be alone after a restart.
        most = self.play(lambda world: world.entries, entries=7)
        self.assertLessEqual(most, MAX_IN_A_SECOND)

    def test_restart_of_everything_keeps_to_slow_start(self):
        # Guards against control VMs that know few entries after a restart.
        most = self.play(
            lambda world: [*world.control, *world.entries], entries=7
        )
        self.assertLessEqual(most, MAX_IN_A_SECOND)

    def test_restart_of_control_vms_keeps_to_slow_start(self):
        # Guards against entries that take over a lower count at once.
        most = self.play(lambda world: world.control, entries=7)
        self.assertLessEqual(most, MAX_IN_A_SECOND)
