"""Tests of the exchange of summaries between data centres."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.vms.remote import REMOVAL_AGE_SECONDS
from tests.vms.harness import MembershipHarness

KNOWN_WITHIN = 4.0
UNREACHABLE_WITHIN = 6.0
HEALED_WITHIN = 4.0


def has_summary(vm, data_centre: str) -> bool:
    """Return whether a VM has a current summary of a data centre."""
    return data_centre in vm.vms.summaries_by_data_centre


class RemoteTest(unittest.TestCase):
    """Two data centres with three VMs each; both join through one VM."""

    async def start(self, seed: int) -> MembershipHarness:
        harness = MembershipHarness(seed=seed)
        for name in ("north", "south"):
            for number in range(3):
                harness.start_vm(
                    f"{name}{number}",
                    data_centre=name,
                    join=["tcp://north0"],
                )
        await asyncio.sleep(5)
        return harness

    def test_every_vm_knows_capacity_and_entries_of_the_other(self):
        async def main():
            harness = await self.start(1)
            harness.start_endpoint("e1", "south1")
            await harness.wait_until(
                lambda: any(
                    service.slots == 8
                    for service in harness.vms_by_id["north2"]
                    .vms.summaries_by_data_centre["south"]
                    .services
                ),
                limit=KNOWN_WITHIN,
            )
            for vm in harness.vms_by_id.values():
                other = (
                    "south" if vm.identity.data_centre == "north" else "north"
                )
                self.assertEqual(3, len(vm.vms.vms_in(other)))
                relays = vm.vms.relay_of(other)
                self.assertEqual(f"{other}0", relays.identity.vm_id)
            await harness.stop()

        run_virtual(main())

    def test_draining_vm_is_no_longer_an_entry_elsewhere(self):
        async def main():
            harness = await self.start(2)
            harness.vms_by_id["south1"].vms.draining = True
            await harness.wait_until(
                lambda: not harness.vms_by_id["north1"].knows("south1"),
                limit=KNOWN_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_vm_that_reaches_no_endpoint_is_no_entry_elsewhere(self):
        # Guards against requests forwarded to an entry whose links are cut.
        async def main():
            harness = await self.start(2)
            cut, near = (harness.vms_by_id[f"south{n}"] for n in (1, 0))
            cut.vms.read_cut_off = lambda: True
            await harness.wait_until(
                lambda: not harness.vms_by_id["north1"].knows("south1"),
                limit=KNOWN_WITHIN,
            )
            self.assertTrue(near.knows("south1"))
            self.assertEqual(
                {"south1"},
                {
                    view.identity.vm_id
                    for view in near.vms.live_vms()
                    if view.is_cut_off
                },
            )
            await harness.stop()

        run_virtual(main())

    def test_relay_fails_over(self):
        # The VM that sends the summaries dies. Another one must replace it,
        # or the data centre would count as unreachable.
        async def main():
            harness = await self.start(3)
            for name in ("south0", "south1"):
                await harness.crash_vm(name)
                for _ in range(100):
                    await asyncio.sleep(0.1)
                    for number in range(3):
                        vm = harness.vms_by_id[f"north{number}"]
                        self.assertTrue(has_summary(vm, "south"))
            await harness.stop()

        run_virtual(main())

    def test_partition_heals_after_every_vm_was_replaced(self):
        # During the partition every VM of the south moves to a new address,
        # so only the south knows addresses of the other side.
        async def main():
            harness = await self.start(4)
            north = [f"north{number}" for number in range(3)]
            south = [f"south{number}" for number in range(3)]
            harness.network.cut(north, south)
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.summaries_by_data_centre) == 1
                ),
                limit=UNREACHABLE_WITHIN,
            )
            await asyncio.sleep(30)
            for name in south:
                await harness.crash_vm(name)
                harness.start_vm(
                    name,
                    data_centre="south",
                    join=["tcp://north0", "tcp://new-south1"],
                    address=f"tcp://new-{name}",
                )
                await asyncio.sleep(10)
            await asyncio.sleep(20)
            harness.network.heal(north, south)
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.summaries_by_data_centre) == 2
                ),
                limit=20.0,
            )
            await harness.stop()

        run_virtual(main())

    def test_partition_heals_in_seconds_if_addresses_stayed(self):
        async def main():
            harness = await self.start(5)
            north = [f"north{number}" for number in range(3)]
            south = [f"south{number}" for number in range(3)]
            harness.network.cut(north, south)
            await asyncio.sleep(120)
            harness.network.heal(north, south)
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.summaries_by_data_centre) == 2
                ),
                limit=HEALED_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_capacity_of_an_old_summary_is_reduced(self):
        # All data centres see the same free capacity and use it, so the older
        # the summary, the less of it is left.
        async def main():
            harness = await self.start(6)
            endpoint = harness.start_endpoint("e1", "south1")
            endpoint.changes_load = False
            await asyncio.sleep(5)
            view = harness.vms_by_id["north0"].vms
            fresh = view.summaries_by_data_centre["south"]
            self.assertEqual(8, fresh.services[0].room)
            south = [f"south{number}" for number in range(3)]
            harness.network.cut(south, ["north0", "north1", "north2"])
            await asyncio.sleep(3)
            stale = view.summaries_by_data_centre["south"]
            self.assertGreater(stale.age_seconds, 2.0)
            self.assertLess(stale.services[0].room, 6)
            await harness.stop()

        run_virtual(main())

    def test_clock_set_back_does_not_make_a_data_centre_unreachable(self):
        # Summaries are ordered by stamps of their sender's clocks. If these
        # are set back by an hour, new summaries must still be accepted soon.
        async def main():
            harness = await self.start(7)
            for number in range(3):
                await harness.crash_vm(f"south{number}")
            for number in range(3):
                vm = harness.start_vm(
                    f"south{number}",
                    data_centre="south",
                    join=["tcp://south0"],
                )
                vm.clock._wall_offset = -3600.0
            await asyncio.sleep(10)
            self.assertTrue(has_summary(harness.vms_by_id["north1"], "south"))
            await harness.stop()

        run_virtual(main())

    def test_closed_data_centre_is_removed(self):
        # A day after the south was closed, nothing must be sent to it, and
        # the VMs must not add it again for each other.
        async def main():
            harness = await self.start(8)
            for number in range(3):
                await harness.crash_vm(f"south{number}")
            await asyncio.sleep(10)
            for vm in harness.vms_by_id.values():
                remote = vm.vms._remote.known_by_name["south"]
                remote.updated_at -= REMOVAL_AGE_SECONDS
                remote.added_at -= REMOVAL_AGE_SECONDS
            await asyncio.sleep(60)
            for vm in harness.vms_by_id.values():
                self.assertEqual({}, vm.vms._remote.known_by_name)
            await harness.stop()

        run_virtual(main())
