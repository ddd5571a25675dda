"""What every entry of a data centre knows of an endpoint, and how soon."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from tests.vms.bed import Bed

# The bounds that docs/design/membership.md names, in seconds.
NEW_WITHIN = 2.0
LEAVING_WITHIN = 2.0
DEAD_WITHIN = 6.0
DEAD_WITH_REPORTER_WITHIN = 8.0


class EndpointSharingTest(unittest.TestCase):
    """Five entries, one of which an endpoint talks to."""

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
        # A caller is sent to an endpoint that said that it leaves. The
        # message went to an entry that is not its reporter, while a fifth
        # of all messages is lost. Entries that missed it notice the gap by
        # the next tick's sequence and ask for what is missing.
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
                limit=LEAVING_WITHIN,
            )
            # It goes on reporting and stays out.
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
        # One entry hears nothing from the endpoint's reporter: the link is
        # dead in that direction only. It goes on offering the endpoint
        # unless it asks a third entry for what the reporter published.
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
                limit=LEAVING_WITHIN,
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
        # A rack goes: the endpoint and the only entry that heard it. No
        # message withdraws the endpoint, so its copies have to expire.
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

    def test_endpoint_moves_to_another_entry_without_a_break(self):
        # The entry that an endpoint reports to dies. The endpoint finds
        # another one; meanwhile the other entries must go on offering it.
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
        # An engine is replaced by one of another service at its address,
        # announced to another entry. Requests for the old service must not
        # go there: the old record is gone everywhere, and a late report or
        # leaving of the old start changes nothing.
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

    def test_figures_reach_every_entry_with_their_age(self):
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
