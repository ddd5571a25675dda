"""Records that a VM can't read, and what all of them cost."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from burdockdrum.vms.remote import REMOTE_TOPIC
from tests.vms.bed import Bed

VMS = 17
ENDPOINTS = 160
SECONDS = 5
# Of the 8 KB a second for all of control, what membership may take.
MAX_BYTES = 4096
MAX_FRAMES = 25


class RecordTest(unittest.TestCase):
    """A publication as a whole."""

    def test_record_of_a_newer_version_does_not_hide_the_others(self):
        # VMs are upgraded one by one. The new one publishes a record in a
        # form that the old ones can't read, in the same tick as an endpoint
        # that appears. They must learn of the endpoint all the same: the
        # tick is not sent again.
        async def main():
            bed = Bed(seed=1)
            newer, *others = bed.start_vms(3)
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
            await bed.stop()

        run_virtual(main())

    def test_a_data_centre_of_full_size_stays_within_its_budget(self):
        async def main():
            bed = Bed(seed=2)
            vms = bed.start_vms(VMS)
            for number in range(ENDPOINTS):
                bed.start_endpoint(f"e{number}", f"vm{number % VMS}")
            await asyncio.sleep(5)
            before = [self.read(vm) for vm in vms]
            await asyncio.sleep(SECONDS)
            for vm, (size, frames) in zip(vms, before, strict=True):
                new_size, new_frames = self.read(vm)
                self.assertLess((new_size - size) / SECONDS, MAX_BYTES)
                self.assertLess((new_frames - frames) / SECONDS, MAX_FRAMES)
                self.assertEqual(
                    ENDPOINTS, len(vm.registry.candidates("planner"))
                )
            await bed.stop()

        run_virtual(main())

    def read(self, vm) -> tuple[float, float]:
        size, frames = (
            vm.metrics.counter(f"burdockdrum_peer_{what}_total", "").value(
                way="out"
            )
            for what in ("bytes", "frames")
        )
        return size, frames
