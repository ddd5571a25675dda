"""Tests of unreadable records and of the traffic of membership."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from burdockdrum.vms.remote import REMOTE_TOPIC
from tests.vms.harness import MembershipHarness

VMS = 17
ENDPOINTS = 160
SECONDS = 5
# The share of membership in the 8 KB/s for all control traffic of a VM.
MAX_BYTES_PER_SECOND = 4096
MAX_FRAMES_PER_SECOND = 25


class RecordTest(unittest.TestCase):
    """Records published by VMs of a data centre."""

    def test_unreadable_record_does_not_hide_the_others(self):
        # During an upgrade a newer VM publishes a record in an unknown format
        # in the same tick as a new endpoint. The endpoint must still become
        # known, as the tick is not sent again.
        async def main():
            harness = MembershipHarness(seed=1)
            newer, *others = harness.start_vms(3)
            await asyncio.sleep(5)
            newer.vms.group.put(REMOTE_TOPIC, 99, "unreadable")
            newer.registry.announce(
                Announcement(
                    endpoint_id="e1",
                    incarnation=1,
                    url="http://e1",
                    service="planner",
                    slots=8,
                )
            )
            await asyncio.sleep(2)
            for vm in others:
                self.assertTrue(vm.offers("e1"))
            await harness.stop()

        run_virtual(main())

    def test_traffic_of_the_largest_data_centre_stays_within_its_budget(self):
        async def main():
            harness = MembershipHarness(seed=2)
            vms = harness.start_vms(VMS)
            for number in range(ENDPOINTS):
                harness.start_endpoint(f"e{number}", f"vm{number % VMS}")
            await asyncio.sleep(5)
            before = [self.read_traffic(vm) for vm in vms]
            await asyncio.sleep(SECONDS)
            for vm, (size, frames) in zip(vms, before, strict=True):
                new_size, new_frames = self.read_traffic(vm)
                self.assertLess(
                    (new_size - size) / SECONDS, MAX_BYTES_PER_SECOND
                )
                self.assertLess(
                    (new_frames - frames) / SECONDS, MAX_FRAMES_PER_SECOND
                )
                self.assertEqual(
                    ENDPOINTS, len(vm.registry.candidates("planner"))
                )
            await harness.stop()

        run_virtual(main())

    def read_traffic(self, vm) -> tuple[float, float]:
        size, frames = (
            vm.metrics.counter(f"burdockdrum_peer_{what}_total", "").value(
                way="out"
            )
            for what in ("bytes", "frames")
        )
        return size, frames
