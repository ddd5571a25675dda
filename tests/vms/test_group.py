"""Tests of membership and failure detection within a data centre."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from tests.vms.harness import MembershipHarness

JOIN_WITHIN = 2.0
DEAD_WITHIN = 4.5
HEALED_WITHIN = 4.0


def count_events(
    harness: MembershipHarness, name: str, **details: object
) -> int:
    """Return the number of events with a name and details on all VMs."""
    return sum(
        1
        for vm in harness.vms_by_id.values()
        for event in vm.timeline.events(prefix=name)
        if details.items() <= event.details.items()
    )


class VmGroupTest(unittest.TestCase):
    """The VMs of one data centre."""

    def test_vm_joins_through_one_address(self):
        async def main():
            harness = MembershipHarness(seed=1)
            harness.start_vms(4)
            await asyncio.sleep(5)
            harness.start_vm("new", join=["tcp://vm3"])
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.live_vms()) == 5
                ),
                limit=JOIN_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_dead_vm_is_detected_by_all(self):
        async def main():
            harness = MembershipHarness(seed=2)
            harness.start_vms(5)
            await asyncio.sleep(5)
            await harness.crash_vm("vm2")
            await harness.wait_until(
                lambda: harness.everywhere(lambda vm: not vm.knows("vm2")),
                limit=DEAD_WITHIN,
            )
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.live_vms()) == 4
                ),
                limit=DEAD_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_restarted_vm_replaces_its_old_incarnation(self):
        run_virtual(self.restart(incarnation=None))

    def test_vm_that_restarts_behind_the_clock_replaces_its_dead_one(self):
        # Guards against a VM that others ignore for hours.
        run_virtual(self.restart(incarnation=0, pause=DEAD_WITHIN))

    async def restart(self, *, incarnation, pause=0.0):
        harness = MembershipHarness(seed=3)
        harness.start_vms(5)
        await asyncio.sleep(5)
        await harness.crash_vm("vm2")
        await asyncio.sleep(pause)
        if incarnation is not None:
            harness.incarnation = incarnation - 1
        new = harness.start_vm("vm2")

        def has_new(vm):
            views = vm.vms.live_vms()
            identities = [view.identity for view in views]
            return new.identity in identities and len(views) == 5

        await harness.wait_until(
            lambda: harness.everywhere(has_new), limit=JOIN_WITHIN
        )
        await harness.stop()

    def test_message_loss_makes_no_vm_suspected(self):
        # At a loss of 5 %, three ticks in a row are lost now and then, but a
        # third VM has received one of them.
        async def main():
            harness = MembershipHarness(seed=4)
            harness.start_vms(5)
            await asyncio.sleep(5)
            harness.network.set_default(loss=0.05)
            await asyncio.sleep(120)
            self.assertEqual(0, count_events(harness, "vm.suspected"))
            self.assertEqual(0, count_events(harness, "vm.dead"))
            await harness.stop()

        run_virtual(main())

    def test_link_failure_in_one_direction_makes_no_vm_suspected(self):
        # vm1 receives nothing from vm0. If it counted vm0 as dead, its
        # callers would lose a live entry and the endpoints that report to it.
        async def main():
            harness = MembershipHarness(seed=5)
            harness.start_vms(5)
            await asyncio.sleep(5)
            harness.network.cut(["vm0"], ["vm1"], both=False)
            await asyncio.sleep(60)
            self.assertEqual(0, count_events(harness, "vm.suspected"))
            self.assertTrue(harness.vms_by_id["vm1"].knows("vm0"))
            await harness.stop()

        run_virtual(main())

    def test_vm_that_can_only_send_stays_dead_without_flapping(self):
        # vm0 sends but receives nothing, so it sends hellos to the others
        # every two seconds. A hello must not mark it as live, or it would
        # flap.
        async def main():
            harness = MembershipHarness(seed=6)
            harness.start_vms(5)
            await asyncio.sleep(5)
            others = ["vm1", "vm2", "vm3", "vm4"]
            harness.network.cut(others, ["vm0"], both=False)
            await asyncio.sleep(120)
            for name in others:
                self.assertFalse(harness.vms_by_id[name].knows("vm0"))
            self.assertEqual(4, count_events(harness, "vm.dead", vm_id="vm0"))
            harness.network.heal(others, ["vm0"], both=False)
            await harness.wait_until(
                lambda: harness.everywhere(lambda vm: vm.knows("vm0")),
                limit=HEALED_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_resumed_vm_declares_no_other_vm_dead(self):
        # The process of vm0 is paused for thirty seconds. When it resumes, it
        # must not count the others as dead, and must be live again soon.
        async def main():
            harness = MembershipHarness(seed=7)
            vms = harness.start_vms(5)
            await asyncio.sleep(5)
            vm0 = vms[0]
            await pause(vm0, 30.0)
            self.assertTrue(all(not vm.knows("vm0") for vm in vms[1:]))
            await harness.wait_until(
                lambda: harness.everywhere(lambda vm: vm.knows("vm0")),
                limit=HEALED_WITHIN,
            )
            await asyncio.sleep(20)
            dead = [e.details for e in vm0.timeline.events(prefix="vm.dead")]
            self.assertEqual([], dead)
            self.assertTrue(vm0.timeline.events(prefix="vm.stalled"))
            await harness.stop()

        run_virtual(main())

    def test_long_partition_is_detected_and_healed_in_seconds(self):
        # A switch drops all packets between two racks for an hour. Each side
        # must rejoin the other once the switch is repaired.
        self.check_cut(["vm0"], ["vm1"], seconds=3600, seed=8)

    def test_partition_into_two_groups_heals(self):
        # Several VMs on each side: live VMs on a side must not prevent the
        # discovery of the others.
        left, right = ["vm0", "vm1"], ["vm2", "vm3", "vm4"]
        self.check_cut(left, right, seconds=60, seed=10)

    def check_cut(self, left, right, *, seconds, seed):
        async def main():
            harness = MembershipHarness(seed=seed)
            count = len(left) + len(right)
            harness.start_vms(count)
            await asyncio.sleep(5)
            one, other = (
                harness.vms_by_id[left[0]],
                harness.vms_by_id[right[0]],
            )
            harness.network.cut(left, right)
            await harness.wait_until(
                lambda: not one.knows(right[0]) and not other.knows(left[0]),
                limit=DEAD_WITHIN,
            )
            await asyncio.sleep(seconds)
            self.assertEqual(len(left), len(one.vms.live_vms()))
            self.assertEqual(len(right), len(other.vms.live_vms()))
            harness.network.heal(left, right)
            await harness.wait_until(
                lambda: harness.everywhere(
                    lambda vm: len(vm.vms.live_vms()) == count
                ),
                limit=HEALED_WITHIN,
            )
            await harness.stop()

        run_virtual(main())

    def test_duplicate_vm_id_is_detected(self):
        # An operator copies a settings file and forgets to change the id.
        async def main():
            harness = MembershipHarness(seed=9)
            vms = harness.start_vms(3)
            await asyncio.sleep(5)
            copy = harness.start_vm("vm1", address="tcp://copy")
            await asyncio.sleep(10)
            old = vms[1]
            self.assertTrue(old.timeline.events(prefix="vm.duplicate_id"))
            views = vms[0].vms.live_vms()
            self.assertIn(copy.identity, [v.identity for v in views])
            self.assertEqual(3, len(views))
            await harness.stop()

        run_virtual(main())


async def pause(vm, seconds: float) -> None:
    """Stop a VM's clock and mailbox for a time, as SIGSTOP does."""
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
