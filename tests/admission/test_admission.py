"""Tests of queueing, early refusal and priorities under overload."""

import asyncio
import random
import types
import unittest

from burdockdrum.admission import AdmissionControl
from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.peers import VmIdentity
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToEndpoint
from burdockdrum.settings import PolicySettings
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

RUN_SECONDS = 1.0
TOKENS = 50


class OneVm:
    """An entry VM with one endpoint of a given number of slots."""

    def __init__(self, *, slots: int, **policy) -> None:
        clock = VirtualClock()
        identity = VmIdentity(
            vm_id="a",
            incarnation=1,
            region="north",
            data_centre="north",
            control_address="a",
            http_address="a",
        )
        timeline = Timeline(
            process="a", incarnation=1, clock=HybridClock(clock=clock)
        )
        own = types.SimpleNamespace(identity=identity, draining=False)
        vms = types.SimpleNamespace(identity=identity, live_vms=lambda: [own])
        self.registry = EndpointRegistry(clock=clock, timeline=timeline)
        settings = PolicySettings(**policy)
        self.router = Router(
            clock=clock,
            rng=random.Random(1),
            endpoints=self.registry,
            vms=vms,
            policy=settings,
        )
        self.admission = AdmissionControl(
            clock=clock,
            configuration=None,
            router=self.router,
            policy=settings,
        )
        self.registry.announce(
            Announcement(
                endpoint_id="e1",
                incarnation=1,
                url="e1",
                service="planner",
                slots=slots,
            )
        )
        self.running = 0
        self.tasks = [
            asyncio.create_task(self.admission.run()),
            asyncio.create_task(self._report()),
        ]

    async def call(self, client: str = "crew", *, seconds=60.0, **options):
        """Run a request; return its outcome and how long it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request = RoutingRequest(
            service="planner",
            regions=frozenset({"north"}),
            deadline=started_at + seconds,
            max_tokens=TOKENS,
            **options,
        )
        try:
            permit = await self.admission.admit(client, request)
        except Refusal as refusal:
            return refusal, loop.time() - started_at
        choice = self.router.choose(request)
        assert isinstance(choice, ToEndpoint), choice
        attempt = self.router.begin(choice.endpoint, request)
        self.running += 1
        await asyncio.sleep(0.02)
        attempt.record_first_token()
        await asyncio.sleep(RUN_SECONDS)
        self.running -= 1
        attempt.finish(AttemptOutcome.COMPLETED, tokens=TOKENS)
        permit.release(completed=True)
        return "whole", loop.time() - started_at

    async def _report(self) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(0.5)
            sequence += 1
            self.registry.report(
                "e1",
                Report(incarnation=1, sequence=sequence, running=self.running),
            )


class AdmissionTest(unittest.TestCase):
    """One entry VM whose endpoint is full."""

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        async def main():
            vm = OneVm(slots=2)
            refusal, after = await vm.call(seconds=0.5)
            self.assertIs(RefusalCode.DEADLINE, refusal.code)
            self.assertIs(Verdict.NOT_RUN, refusal.verdict)
            self.assertGreaterEqual(refusal.retry_after, 1)
            self.assertEqual(0, after)

        run_virtual(main())

    def test_overload_sheds_the_lowest_priority_early(self):
        """Requests that can't start in time are refused late, or at random."""

        async def main():
            vm = OneVm(slots=2, max_wait_seconds=3.0)
            await vm.call()
            low = [asyncio.create_task(vm.call(rank=2)) for _ in range(20)]
            await asyncio.sleep(0.1)
            high = [asyncio.create_task(vm.call(rank=0)) for _ in range(4)]
            low_ends = await asyncio.gather(*low)
            high_ends = await asyncio.gather(*high)
            self.assertEqual({"whole"}, {end for end, _ in high_ends})
            refused = [end for end in low_ends if end[0] != "whole"]
            self.assertTrue(12 <= len(refused) < 20, low_ends)
            for refusal, after in refused:
                self.assertIs(RefusalCode.OVERLOADED, refusal.code)
                self.assertIs(Verdict.NOT_RUN, refusal.verdict)
                self.assertLess(after, 3.0)
            immediate = [after for _, after in refused if after < 0.2]
            self.assertGreater(len(immediate), 10)

        run_virtual(main())

    def test_flood_of_one_team_does_not_delay_another(self):
        """A request waits behind all earlier requests of another team."""

        async def main():
            vm = OneVm(slots=2, max_wait_seconds=60.0)
            flood = [
                asyncio.create_task(vm.call("flooding")) for _ in range(30)
            ]
            await asyncio.sleep(0.1)
            end, after = await vm.call("quiet")
            self.assertEqual("whole", end)
            self.assertLess(after, 2 * RUN_SECONDS + 0.5)
            await asyncio.gather(*flood)

        run_virtual(main())

    def test_policy_chooses_between_rank_and_worth(self):
        async def main(prefer):
            vm = OneVm(slots=1, prefer=prefer, max_wait_seconds=60.0)
            first = asyncio.create_task(vm.call())
            await asyncio.sleep(0.1)
            cheap = asyncio.create_task(vm.call(rank=0, worth=1.0))
            valuable = asyncio.create_task(vm.call(rank=1, worth=9.0))
            ends = await asyncio.gather(first, cheap, valuable)
            return ends[1][1], ends[2][1]

        cheap, valuable = run_virtual(main("tail"))
        self.assertLess(cheap, valuable)
        cheap, valuable = run_virtual(main("worth"))
        self.assertLess(valuable, cheap)

    def test_cancelled_request_leaves_the_queue(self):
        async def main():
            vm = OneVm(slots=1)
            first = asyncio.create_task(vm.call())
            await asyncio.sleep(0.1)
            cancelled = asyncio.create_task(vm.call())
            await asyncio.sleep(0.1)
            self.assertGreater(vm.admission.queue_seconds("planner"), 1.0)
            cancelled.cancel()
            self.assertEqual("whole", (await first)[0])
            self.assertEqual(0.0, vm.admission.queue_seconds("planner"))
            self.assertEqual(0, vm.admission.running)

        run_virtual(main())
