"""Tests of the replication of endpoints to all entries of a data centre."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from tests.vms.harness import MembershipHarness

# The bounds that docs/design/membership.md names, in seconds.
NEW_WITHIN = 2.0
DRAINING_WITHIN = 2.0
DEAD_WITHIN = 6.0
DEAD_WITH_REPORTER_WITHIN = 8.0


class EndpointSharingTest(unittest.TestCase):
    """Entries of a data centre, one of which an endpoint reports to."""

    def test_new_endpoint_is_offered_by_every_entry(self):
        async def main():
            harness = MembershipHarness(seed=1)
            harness.start_vms(5)
            await asyncio.sleep(5)
            harness.start_endpoint("e1", "vm0")
            await harness.wait_until(
                lambda: harness.everywhere(lambda vm: vm.offers("e1")),
                limit=NEW_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_draining_endpoint_gets_no_new_requests_under_loss(self):
        # The drain is announced to an entry that the endpoint does not report
        # to, while a fifth of all messages is lost. Entries that missed it
        # must detect the gap and query the changes.
        async def main():
            harness = MembershipHarness(seed=2)
            harness.start_vms(5)
            await asyncio.sleep(5)
            endpoint = harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            harness.network.set_default(loss=0.2)
            endpoint.leave("vm3")
            await harness.wait_until(
                lambda: (
                    not any(
                        vm.offers("e1") for vm in harness.vms_by_id.values()
                    )
                ),
                limit=DRAINING_WITHIN,
            )
            # Its further reports must not bring it back.
            await asyncio.sleep(10)
            self.assertFalse(
                any(v.offers("e1") for v in harness.vms_by_id.values())
            )
            self.assertTrue(
                harness.vms_by_id["vm2"].registry.endpoints_by_id["e1"].leaving
            )
            await harness.stop()

        run_virtual(main())

    def test_drain_reaches_an_entry_over_a_third_one(self):
        # The link from the endpoint's reporter to one entry fails in that
        # direction. The entry must query a third one for the changes.
        async def main():
            harness = MembershipHarness(seed=3)
            harness.start_vms(5)
            await asyncio.sleep(5)
            endpoint = harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            harness.network.cut(["vm0"], ["vm4"], both=False)
            await asyncio.sleep(5)
            self.assertTrue(harness.vms_by_id["vm4"].offers("e1"))
            endpoint.leave("vm0")
            await harness.wait_until(
                lambda: not harness.vms_by_id["vm4"].offers("e1"),
                limit=DRAINING_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_dead_endpoint_is_offered_by_nobody(self):
        async def main():
            harness = MembershipHarness(seed=4)
            harness.start_vms(5)
            await asyncio.sleep(5)
            endpoint = harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            endpoint.die()
            await harness.wait_until(
                lambda: (
                    not any(
                        vm.offers("e1") for vm in harness.vms_by_id.values()
                    )
                ),
                limit=DEAD_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_endpoint_that_dies_with_its_reporter_is_offered_by_nobody(self):
        # A rack fails with the endpoint and its reporter. Nothing withdraws
        # the endpoint, so its copies must expire.
        async def main():
            harness = MembershipHarness(seed=5)
            harness.start_vms(5)
            await asyncio.sleep(5)
            endpoint = harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            endpoint.die()
            await harness.crash_vm("vm0")
            await harness.wait_until(
                lambda: (
                    not any(
                        vm.offers("e1") for vm in harness.vms_by_id.values()
                    )
                ),
                limit=DEAD_WITH_REPORTER_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_endpoint_is_offered_while_it_moves_to_another_entry(self):
        # The endpoint's reporter dies. Until the endpoint reports to another
        # entry, all others must go on offering it.
        async def main():
            harness = MembershipHarness(seed=6)
            harness.start_vms(5)
            await asyncio.sleep(5)
            harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3)
            await harness.crash_vm("vm0")
            for _ in range(200):
                await asyncio.sleep(0.05)
                self.assertTrue(harness.everywhere(lambda vm: vm.offers("e1")))
            await harness.stop()

        run_virtual(main())

    def test_new_service_at_the_same_address_replaces_the_old(self):
        # An endpoint is replaced by one of another service at its address.
        # Requests for the old service must not be sent there, and late
        # messages of the old incarnation must have no effect.
        async def main():
            harness = MembershipHarness(seed=7)
            vms = harness.start_vms(3)
            await asyncio.sleep(5)
            old = harness.start_endpoint("e1", "vm0")
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
            await harness.wait_until(
                lambda: harness.nobody_offers("e1"), limit=1.0
            )
            await asyncio.sleep(1)
            old.leave("vm0")
            for vm in vms:
                self.assertNotIn("e1", vm.registry.endpoints_by_id)
                other = vm.registry.candidates("other")
                self.assertEqual(["e2"], [e.endpoint_id for e in other])
            await harness.stop()

        run_virtual(main())

    def test_loads_reach_every_entry_with_their_age(self):
        async def main():
            harness = MembershipHarness(seed=8)
            vms = harness.start_vms(3)
            await asyncio.sleep(5)
            endpoint = harness.start_endpoint("e1", "vm0")
            await asyncio.sleep(3.4)
            here = vms[0].registry.endpoints_by_id["e1"]
            endpoint.die()
            await asyncio.sleep(2)
            there = vms[2].registry.endpoints_by_id["e1"]
            self.assertEqual(here.running, there.running)
            age = vms[2].clock.monotonic() - there.reported_at
            self.assertGreater(age, 1.5)
            await harness.stop()

        run_virtual(main())
