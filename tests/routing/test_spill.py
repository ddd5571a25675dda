"""Tests of forwarding between data centres, including loop prevention."""

import asyncio
import random
import types
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.peers import VmIdentity
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.routing import Unroutable
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmView

REGIONS = frozenset({"north", "south", "west"})


def make_identity(region: str) -> VmIdentity:
    return VmIdentity(
        vm_id=region,
        incarnation=1,
        region=region,
        data_centre=region,
        control_address=region,
        http_address=region,
    )


def make_view(region: str, room: int, queue: float = 0.0) -> VmView:
    summary = ServiceSummary(
        service="planner",
        endpoints=1,
        slots=16,
        room=room,
        queue_seconds=queue,
    )
    return VmView(
        identity=make_identity(region),
        draining=False,
        revision=1,
        services=(summary,),
        heard_at=0.0,
    )


class LocalDataCentre:
    """A router in region "north" with one endpoint, or none if 0 slots."""

    def __init__(self, *, slots: int, others: list[VmView]) -> None:
        clock = VirtualClock()
        own = VmView(
            identity=make_identity("north"),
            draining=False,
            revision=1,
            services=(),
            heard_at=0.0,
        )
        vms = types.SimpleNamespace(
            identity=own.identity, live_vms=lambda: [own, *others]
        )
        timeline = Timeline(
            process="a", incarnation=1, clock=HybridClock(clock=clock)
        )
        registry = EndpointRegistry(clock=clock, timeline=timeline)
        if slots:
            registry.announce(
                Announcement(
                    endpoint_id="e1",
                    incarnation=1,
                    url="http://e1",
                    service="planner",
                    slots=slots,
                )
            )
        self.router = Router(
            clock=clock,
            rng=random.Random(1),
            endpoints=registry,
            vms=vms,
        )

    def fill(self, count: int) -> None:
        for _ in range(count):
            choice = self.router.choose(make_request(hops=()))
            if isinstance(choice, ToEndpoint):
                self.router.begin(choice.endpoint, make_request())


def make_request(**changes) -> RoutingRequest:
    fields = {
        "service": "planner",
        "regions": REGIONS,
        "deadline": 1e6,
        "prompt_tokens": 1000,
        "max_tokens": 100,
        **changes,
    }
    return RoutingRequest(**fields)


def choose(*, slots: int, load: int, others, **changes):
    async def main():
        local = LocalDataCentre(slots=slots, others=others)
        local.fill(load)
        local.router.estimate_queue_seconds = lambda request: 3.0
        return local.router.choose(make_request(**changes))

    return run_virtual(main())


class SpillTest(unittest.TestCase):
    """Decisions of the forwarding data centre."""

    def test_request_runs_locally_while_there_is_free_capacity(self):
        choice = choose(slots=4, load=2, others=[make_view("south", 16)])
        self.assertIsInstance(choice, ToEndpoint)

    def test_request_is_forwarded_to_free_capacity_if_that_is_faster(self):
        others = [make_view("south", 0), make_view("west", 9)]
        choice = choose(slots=4, load=4, others=others)
        self.assertIsInstance(choice, ToDataCentre)
        self.assertEqual("west", choice.data_centre)

    def test_capacity_reserved_for_local_callers_is_not_used(self):
        choice = choose(slots=4, load=4, others=[make_view("south", 2)])
        self.assertIsInstance(choice, ToEndpoint)

    def test_region_outside_the_residency_is_never_selected(self):
        """Only a region outside the residency has free capacity.

        The request must be refused rather than run there.
        """
        others = [make_view("south", 16)]
        choice = choose(
            slots=0, load=0, others=others, regions=frozenset({"north"})
        )
        self.assertIsInstance(choice, Unroutable)
        self.assertTrue(choice.no_endpoint)

    def test_one_summary_does_not_attract_all_requests(self):
        """Forwards since a summary count against its free capacity.

        Otherwise one summary would attract more requests than it has slots.
        """

        async def main():
            local = LocalDataCentre(slots=1, others=[make_view("south", 6)])
            local.fill(1)
            local.router.estimate_queue_seconds = lambda request: 3.0
            choices = [local.router.choose(make_request()) for _ in range(20)]
            return sum(isinstance(c, ToDataCentre) for c in choices)

        self.assertLessEqual(run_virtual(main()), 5)


class ReceiverTest(unittest.TestCase):
    """Decisions of the data centre that receives a forwarded request."""

    def test_request_is_never_passed_on_by_its_receiver(self):
        """A receiver runs or refuses a request, but never forwards it.

        Otherwise two overloaded data centres with outdated summaries would
        forward it back and forth until its deadline.
        """
        others = [make_view("south", 16), make_view("west", 16)]
        for load in (4, 9):
            choice = choose(slots=4, load=load, others=others, hops=("south",))
            self.assertIsInstance(choice, Unroutable)
            self.assertFalse(choice.loop)
        choice = choose(slots=0, load=0, others=others, hops=("south",))
        self.assertIsInstance(choice, Unroutable)

    def test_receiver_outside_the_residency_refuses(self):
        choice = choose(
            slots=4,
            load=0,
            others=[],
            hops=("south",),
            regions=frozenset({"south", "west"}),
        )
        self.assertIsInstance(choice, Unroutable)

    def test_receiver_reserves_capacity_for_local_callers(self):
        free = choose(slots=8, load=2, others=[], hops=("south",))
        self.assertIsInstance(free, ToEndpoint)
        tight = choose(slots=8, load=7, others=[], hops=("south",))
        self.assertIsInstance(tight, Unroutable)
        displaced = choose(
            slots=8, load=7, others=[], hops=("south",), displaced=True
        )
        self.assertIsInstance(displaced, ToEndpoint)

    def test_suspect_runs_alone(self):
        async def main():
            local = LocalDataCentre(slots=8, others=[])
            suspect = make_request(isolated=True)
            choice = local.router.choose(suspect)
            attempt = local.router.begin(choice.endpoint, suspect)
            self.assertIsInstance(
                local.router.choose(make_request()), Unroutable
            )
            await asyncio.sleep(0.1)
            attempt.record_first_token()

            attempt.finish(AttemptOutcome.COMPLETED)
            choice = local.router.choose(make_request())
            self.assertIsInstance(choice, ToEndpoint)

        run_virtual(main())
