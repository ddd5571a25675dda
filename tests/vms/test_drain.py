"""Tests of the steps of a drain."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain
from burdockdrum.vms import DrainState
from burdockdrum.vms import ENTRY_LIST_VALID_SECONDS
from tests.vms.harness import HarnessVm
from tests.vms.harness import MembershipHarness

LIMIT_SECONDS = 60.0


def make_drain(vm: HarnessVm) -> Drain:
    """Return a running drain service of a VM."""
    drain = Drain(
        clock=vm.clock,
        timeline=vm.timeline,
        vms=vm.vms,
        limit_seconds=LIMIT_SECONDS,
    )
    vm.drain_task = asyncio.create_task(drain.run())
    return drain


class DrainTest(unittest.TestCase):
    """A drain of one VM."""

    def test_serves_while_entry_lists_are_valid_and_refuses_after(self):
        # A caller may use a list from just before the drain while it is
        # valid; after that its request is refused as "not run".
        async def main():
            harness = MembershipHarness(seed=1)
            vm, other = harness.start_vms(2)
            drain = make_drain(vm)
            await asyncio.sleep(5)
            drain.begin()
            await asyncio.sleep(0.3)
            [view] = [
                v for v in other.vms.live_vms() if v.identity == vm.identity
            ]
            self.assertTrue(view.draining)
            await asyncio.sleep(ENTRY_LIST_VALID_SECONDS - 1)
            drain.check()
            with drain.count_request():
                await asyncio.sleep(2)
                with self.assertRaises(Refusal) as caught:
                    drain.check()
                self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)
                self.assertIs(RefusalCode.DRAINING, caught.exception.code)
            await harness.stop()

        run_virtual(main())

    def test_hooks_run_after_the_last_request(self):
        # A hook that fails or hangs must not block the drain.
        async def main():
            harness = MembershipHarness(seed=2)
            [vm] = harness.start_vms(1)
            drain = make_drain(vm)
            order = []

            async def release():
                order.append(("released", vm.vms.in_flight))

            async def fail():
                raise OSError("gone")

            drain.add_hook(fail)
            drain.add_hook(release)
            drain.add_hook(lambda: asyncio.sleep(3600))
            with drain.count_request():
                drain.begin()
                await asyncio.sleep(30)
                self.assertIs(DrainState.REFUSING, drain.state)
                self.assertEqual([], order)
            await asyncio.wait_for(drain.done.wait(), 10)
            self.assertEqual([("released", 0)], order)
            await harness.stop()

        run_virtual(main())

    def test_limit_ends_the_wait_for_a_request_that_never_ends(self):
        async def main():
            harness = MembershipHarness(seed=3)
            [vm] = harness.start_vms(1)
            drain = make_drain(vm)
            with drain.count_request():
                drain.begin()
                await asyncio.wait_for(drain.done.wait(), LIMIT_SECONDS + 15)
            self.assertTrue(vm.timeline.events(prefix="drain.limit_passed"))
            await harness.stop()

        run_virtual(main())
