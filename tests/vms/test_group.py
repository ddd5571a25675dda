"""Which VMs of a data centre live, as each of the others sees it."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from tests.vms.bed import Bed

JOIN_WITHIN = 2.0
DEAD_WITHIN = 4.5
HEALED_WITHIN = 4.0


def count_events(bed: Bed, name: str, **details: object) -> int:
    """Count the events of that name over all VMs."""
    return sum(
        1
        for vm in bed.vms_by_id.values()
        for event in vm.timeline.events(prefix=name)
        if details.items() <= event.details.items()
    )


class VmGroupTest(unittest.TestCase):
    """Five VMs of one data centre."""

    def test_vm_joins_through_one_address(self):
        async def main():
            bed = Bed(seed=1)
            bed.start_vms(4)
            await asyncio.sleep(5)
            bed.start_vm("new", join=["tcp://vm3"])
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: len(vm.vms.live_vms()) == 5),
                limit=JOIN_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_dead_vm_is_noticed_by_all(self):
        async def main():
            bed = Bed(seed=2)
            bed.start_vms(5)
            await asyncio.sleep(5)
            await bed.crash_vm("vm2")
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: not vm.knows("vm2")),
                limit=DEAD_WITHIN,
            )
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: len(vm.vms.live_vms()) == 4),
                limit=DEAD_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_restarted_vm_replaces_its_old_start(self):
        async def main():
            bed = Bed(seed=3)
            bed.start_vms(5)
            await asyncio.sleep(5)
            await bed.crash_vm("vm2")
            new = bed.start_vm("vm2")

            def has_new(vm):
                views = vm.vms.live_vms()
                identities = [view.identity for view in views]
                return new.identity in identities and len(views) == 5

            await bed.wait_until(
                lambda: bed.everywhere(has_new), limit=JOIN_WITHIN
            )
            await bed.stop()

        run_virtual(main())

    def test_loss_makes_nobody_suspected(self):
        # Every twentieth message is lost for two minutes. Three lost ticks
        # in a row happen now and then; a third VM has heard one of them.
        async def main():
            bed = Bed(seed=4)
            bed.start_vms(5)
            await asyncio.sleep(5)
            bed.network.set_default(loss=0.05)
            await asyncio.sleep(120)
            self.assertEqual(0, count_events(bed, "vm.suspected"))
            self.assertEqual(0, count_events(bed, "vm.dead"))
            await bed.stop()

        run_virtual(main())

    def test_one_way_link_makes_nobody_suspected(self):
        # vm1 hears nothing from vm0, which hears vm1. If vm1 took that for
        # vm0's death, callers of vm1 would lose an entry that lives, and
        # the endpoints that talk to it.
        async def main():
            bed = Bed(seed=5)
            bed.start_vms(5)
            await asyncio.sleep(5)
            bed.network.cut(["vm0"], ["vm1"], both=False)
            await asyncio.sleep(60)
            self.assertEqual(0, count_events(bed, "vm.suspected"))
            self.assertTrue(bed.vms_by_id["vm1"].knows("vm0"))
            await bed.stop()

        run_virtual(main())

    def test_vm_that_can_only_send_is_left_out_without_flapping(self):
        # vm0 sends but hears nothing. It believes all others dead, and
        # says hello to them every two seconds. Were a hello enough to make
        # it live, it would come and go on every list for as long.
        async def main():
            bed = Bed(seed=6)
            bed.start_vms(5)
            await asyncio.sleep(5)
            others = ["vm1", "vm2", "vm3", "vm4"]
            bed.network.cut(others, ["vm0"], both=False)
            await asyncio.sleep(120)
            for name in others:
                self.assertFalse(bed.vms_by_id[name].knows("vm0"))
            self.assertEqual(4, count_events(bed, "vm.dead", vm_id="vm0"))
            bed.network.heal(others, ["vm0"], both=False)
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: vm.knows("vm0")),
                limit=HEALED_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_stalled_vm_accuses_nobody(self):
        # The process of vm0 is paused for thirty seconds. The others count
        # it dead, rightly. When it goes on, its clock has jumped and its
        # mailbox is full of old messages: it must not declare all others
        # dead at once, and all must have it back soon.
        async def main():
            bed = Bed(seed=7)
            vms = bed.start_vms(5)
            await asyncio.sleep(5)
            vm0 = vms[0]
            await pause(vm0, 30.0)
            self.assertTrue(all(not vm.knows("vm0") for vm in vms[1:]))
            await bed.wait_until(
                lambda: bed.everywhere(lambda vm: vm.knows("vm0")),
                limit=HEALED_WITHIN,
            )
            await asyncio.sleep(20)
            dead = [e.details for e in vm0.timeline.events(prefix="vm.dead")]
            self.assertEqual([], dead)
            self.assertTrue(vm0.timeline.events(prefix="vm.stalled"))
            await bed.stop()

        run_virtual(main())

    def test_hours_silent_cut_is_noticed_and_healed_in_seconds(self):
        # A switch drops all between two racks for an hour. Each half goes
        # on by itself, and finds the other when the switch is mended.
        self.check_cut(["vm0"], ["vm1"], seconds=3600, seed=8)

    def test_cut_into_two_groups_heals(self):
        # The same, shorter, with more than one VM on each side: those of
        # one side must not keep each other from looking for the rest.
        left, right = ["vm0", "vm1"], ["vm2", "vm3", "vm4"]
        self.check_cut(left, right, seconds=60, seed=10)

    def check_cut(self, left, right, *, seconds, seed):
        async def main():
            bed = Bed(seed=seed)
            count = len(left) + len(right)
            bed.start_vms(count)
            await asyncio.sleep(5)
            one, other = bed.vms_by_id[left[0]], bed.vms_by_id[right[0]]
            bed.network.cut(left, right)
            await bed.wait_until(
                lambda: not one.knows(right[0]) and not other.knows(left[0]),
                limit=DEAD_WITHIN,
            )
            await asyncio.sleep(seconds)
            self.assertEqual(len(left), len(one.vms.live_vms()))
            self.assertEqual(len(right), len(other.vms.live_vms()))
            bed.network.heal(left, right)
            await bed.wait_until(
                lambda: bed.everywhere(
                    lambda vm: len(vm.vms.live_vms()) == count
                ),
                limit=HEALED_WITHIN,
            )
            await bed.stop()

        run_virtual(main())

    def test_two_vms_with_one_id_are_noticed(self):
        # An operator copies a settings file and forgets the id. The older
        # process is told by the messages of the newer one.
        async def main():
            bed = Bed(seed=9)
            vms = bed.start_vms(3)
            await asyncio.sleep(5)
            copy = bed.start_vm("vm1", address="tcp://copy")
            await asyncio.sleep(10)
            old = vms[1]
            self.assertTrue(old.timeline.events(prefix="vm.duplicate_id"))
            views = vms[0].vms.live_vms()
            self.assertIn(copy.identity, [v.identity for v in views])
            self.assertEqual(3, len(views))
            await bed.stop()

        run_virtual(main())


async def pause(vm, seconds: float) -> None:
    """Stop a VM's clock and mailbox, as SIGSTOP does, then go on."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    clock_sleep = vm.clock.sleep

    async def wait_for_end() -> None:
        if loop.time() < until:
            await asyncio.sleep(until - loop.time())

    async def sleep(wanted: float) -> None:
        await clock_sleep(wanted)
        await wait_for_end()

    mailbox = vm.peers._mailbox
    receive = mailbox.receive

    async def receive_later() -> bytes:
        payload = await receive()
        await wait_for_end()
        return payload

    vm.clock.sleep = sleep
    mailbox.receive = receive_later
    send = mailbox.send

    async def send_later(address: str, payload: bytes) -> None:
        await wait_for_end()
        await send(address, payload)

    mailbox.send = send_later
    await asyncio.sleep(seconds)
