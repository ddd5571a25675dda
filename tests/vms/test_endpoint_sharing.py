"""Tests of the replication of endpoints to all entries of a data centre."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from tests.vms.bed import Bed

# The bounds that docs/design/membership.md names, in seconds.
NEW_WITHIN = 2.0
DRAINING_WITHIN = 2.0
DEAD_WITHIN = 6.0
DEAD_WITH_REPORTER_WITHIN = 8.0


class EndpointSharingTest(unittest.TestCase):
    """Entries of a data centre, one of which an endpoint reports to."""

    def test_new_endpoint_is_offered_by_every_entry(self):
        async def main():
            bed = Bed(seed=1)
            bed.start_vms(5)
            await asyncio.sleep(5)
            bed.start_endpoint("e1", "vm0")
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: vm.offers("e1")),
                limit=NEW_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_leaving_endpoint_gets_no_new_work_under_loss(self):
        # The drain is announced to an entry that the endpoint does not report
        # to, while a fifth of all messages is lost. Entries that missed it
        # must detect the gap and query the changes.
        async def main():
            bed = Bed(seed=2)
            bed.start_vms(5)
            await asyncio.sleep(5)
            endpoint = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            bed.network.set_default(loss=0.2)
            endpoint.leave("vm3")
            await bed.wait_until(
                lambda: (
                    not any(vm.offers("e1") for vm in bed.vms_by_id.values())
                ),
                limit=DRAINING_WITHIN,
            )
            # Its further reports must not bring it back.
            await asyncio.sleep(10)
            self.assertFalse(
                any(v.offers("e1") for v in bed.vms_by_id.values())
            )
            self.assertTrue(
                bed.vms_by_id["vm2"].registry.endpoints_by_id["e1"].leaving
            )
            await bed.stop()

        run_virtual(main())

    def test_entry_that_missed_the_leaving_learns_it_through_another(self):
        # The link from the endpoint's reporter to one entry fails in that
        # direction. The entry must query a third one for the changes.
        async def main():
            bed = Bed(seed=3)
            bed.start_vms(5)
            await asyncio.sleep(5)
            endpoint = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            bed.network.cut(["vm0"], ["vm4"], both=False)
            await asyncio.sleep(5)
            self.assertTrue(bed.vms_by_id["vm4"].offers("e1"))
            endpoint.leave("vm0")
            await bed.wait_until(
                lambda: not bed.vms_by_id["vm4"].offers("e1"),
                limit=DRAINING_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_dead_endpoint_is_offered_by_nobody(self):
        async def main():
            bed = Bed(seed=4)
            bed.start_vms(5)
            await asyncio.sleep(5)
            endpoint = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            endpoint.die()
            await bed.wait_until(
                lambda: (
                    not any(vm.offers("e1") for vm in bed.vms_by_id.values())
                ),
                limit=DEAD_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_endpoint_that_dies_with_its_reporter_is_offered_by_nobody(self):
        # A rack fails with the endpoint and its reporter. Nothing withdraws
        # the endpoint, so its copies must expire.
        async def main():
            bed = Bed(seed=5)
            bed.start_vms(5)
            await asyncio.sleep(5)
            endpoint = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            endpoint.die()
            await bed.crash_vm("vm0")
            await bed.wait_until(
                lambda: (
                    not any(vm.offers("e1") for vm in bed.vms_by_id.values())
                ),
                limit=DEAD_WITH_REPORTER_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_endpoint_is_offered_while_it_moves_to_another_entry(self):
        # The endpoint's reporter dies. Until the endpoint reports to another
        # entry, all others must go on offering it.
        async def main():
            bed = Bed(seed=6)
            bed.start_vms(5)
            await asyncio.sleep(5)
            bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            await bed.crash_vm("vm0")
            for _ in range(200):
                await asyncio.sleep(0.05)
                self.assertTrue(bed.everywhere(lambda vm: vm.offers("e1")))
            await bed.stop()

        run_virtual(main())

    def test_address_that_returns_as_another_service_replaces_the_old(self):
        # An endpoint is replaced by one of another service at its address.
        # Requests for the old service must not be sent there, and late
        # messages of the old incarnation must have no effect.
        async def main():
            bed = Bed(seed=7)
            vms = bed.start_vms(3)
            await asyncio.sleep(5)
            old = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            vms[1].registry.announce(
                Announcement(
                    endpoint_id="e2",
                    incarnation=2,
                    url="http://e1",
                    service="other",
                    slots=8,
                )
            )
            await bed.wait_until(lambda: bed.nobody_offers("e1"), limit=1.0)
            await asyncio.sleep(1)
            old.leave("vm0")
            for vm in vms:
                self.assertNotIn("e1", vm.registry.endpoints_by_id)
                other = vm.registry.candidates("other")
                self.assertEqual(["e2"], [e.endpoint_id for e in other])
            await bed.stop()

        run_virtual(main())

    def test_loads_reach_every_entry_with_their_age(self):
        async def main():
            bed = Bed(seed=8)
            vms = bed.start_vms(3)
            await asyncio.sleep(5)
            endpoint = bed.start_endpoint("e1", "vm0")
            await asyncio.sleep(3.4)
            here = vms[0].registry.endpoints_by_id["e1"]
            endpoint.die()
            await asyncio.sleep(2)
            there = vms[2].registry.endpoints_by_id["e1"]
            self.assertEqual(here.running, there.running)
            age = vms[2].clock.monotonic() - there.reported_at
            self.assertGreater(age, 1.5)
            await bed.stop()

        run_virtual(main())
