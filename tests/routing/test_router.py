"""Tests of the selection among many endpoints."""

import dataclasses
import random
import types
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import Unroutable
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline

ENDPOINTS = 100


def make_router(*, adapters_of=lambda number: [], role="both") -> Router:
    clock = VirtualClock()
    identity = types.SimpleNamespace(
        vm_id="a", region="north", data_centre="north"
    )
    own = types.SimpleNamespace(identity=identity, draining=False)
    vms = types.SimpleNamespace(identity=identity, live_vms=lambda: [own])
    timeline = Timeline(
        process="a", incarnation=1, clock=HybridClock(clock=clock)
    )
    registry = EndpointRegistry(clock=clock, timeline=timeline)
    for number in range(ENDPOINTS):
        registry.announce(
            Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                url=f"http://e{number}",
                service="planner",
                slots=8,
                adapters=adapters_of(number),
                role=role,
            )
        )
    return Router(
        clock=clock, rng=random.Random(1), endpoints=registry, vms=vms
    )


def make_request(prefix: int = 0, **changes) -> RoutingRequest:
    return RoutingRequest(
        service="planner",
        regions=frozenset({"north"}),
        deadline=1e6,
        prompt_tokens=2000,
        max_tokens=100,
        prefix_hashes=tuple(prefix * 100 + block for block in range(10)),
        **changes,
    )


class TrackingTest(unittest.TestCase):
    """What is known of endpoints that come and go."""

    def test_memory_is_bounded_though_endpoints_are_replaced(self):
        # Guards against an entry that remembers each endpoint there ever was.
        async def main():
            fleet = make_router()._fleet
            (first, *_) = fleet._endpoints.candidates("planner")
            for number in range(10_000):
                last = dataclasses.replace(
                    first, endpoint_id=f"replaced-{number}"
                )
                tracker = fleet.track(last)
            self.assertLessEqual(len(fleet._trackers_by_id), 4096)
            self.assertIs(tracker, fleet.track(last))

        run_virtual(main())


class RouterTest(unittest.TestCase):
    """Selection when only a sample of the endpoints is evaluated."""

    def test_prompt_is_routed_to_the_endpoint_with_its_cached_prefix(self):
        async def main():
            router = make_router()
            chosen_by_prefix = {}
            for prefix in range(20):
                chosen = router.choose(make_request(prefix)).endpoint
                chosen_by_prefix[prefix] = chosen.endpoint_id
                attempt = router.begin(chosen, make_request(prefix))
                attempt.record_first_token()
                attempt.finish(AttemptOutcome.COMPLETED, tokens=100)
            again = {
                prefix: router.choose(
                    make_request(prefix)
                ).endpoint.endpoint_id
                for prefix in chosen_by_prefix
            }
            self.assertEqual(chosen_by_prefix, again)
            self.assertGreater(len(set(chosen_by_prefix.values())), 10)

        run_virtual(main())

    def test_only_endpoint_with_the_adapter_is_selected(self):
        async def main():
            router = make_router(
                adapters_of=lambda number: ["verge"] if number == 77 else []
            )
            choice = router.choose(make_request(adapter="verge"))
            self.assertEqual("e77", choice.endpoint.endpoint_id)

        run_virtual(main())

    def test_prefill_only_endpoints_are_not_selected(self):
        async def main():
            router = make_router(role="prefill")
            self.assertIsInstance(router.choose(make_request()), Unroutable)

        run_virtual(main())
