"""Each checker detects a deliberate bug that violates its invariant."""

import contextlib
from dataclasses import replace
import unittest
from unittest import mock

from burdockdrum.claims import Claims
from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.histories import check_all
from burdockdrum.histories import CHECKERS
from burdockdrum.histories import History
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.residency import find_allowed_regions
from burdockdrum.requests.service import RequestService
from burdockdrum.routing import RoutingRequest
from burdockdrum.testing import run_virtual
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain
from tests.histories.faults import CrashEndpoint
from tests.histories.faults import CrashVm
from tests.histories.faults import DrainVm
from tests.histories.faults import Isolate
from tests.histories.faults import LeaveEndpoint
from tests.histories.faults import Lossy
from tests.histories.faults import Planned
from tests.histories.world import REGIONS
from tests.histories.world import World

SECONDS = 12.0
REQUESTS = 60
DONE = b"data: [DONE]\n\n"


def plan_engine_crashes(
    region: str, *, start: float = 0.1, seconds: float = SECONDS
) -> list[Planned]:
    """Return a plan that crashes the engines of a region."""
    return [
        Planned(
            start=start,
            seconds=seconds,
            fault=CrashEndpoint(endpoint_id=f"{region}-engine{i}"),
        )
        for i in (1, 2)
    ]


def run(plan: list[Planned], *bugs) -> History:
    """Run a history with bugs, as arguments of ``mock.patch.object``."""
    world = World(seed=5, plan=plan, seconds=SECONDS, requests=REQUESTS)
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in bugs:
            stack.enter_context(mock.patch.object(owner, name, replacement))
        return run_virtual(world.run())


class CheckerTest(unittest.TestCase):
    """Bugs are injected into the running system and detected."""

    def assert_found(self, name: str, history: History) -> None:
        self.assertTrue(CHECKERS[name](history), check_all(history))

    def test_residency(self):
        # Without engines in their region and without the check, requests are
        # forwarded outside the residency of their clients.
        def allow_all(configuration, request):
            find_allowed_regions(configuration, request)
            return frozenset(REGIONS)

        with mock.patch(
            "burdockdrum.requests.exchange.find_allowed_regions", allow_all
        ):
            history = run(plan_engine_crashes("dunantul"))
        self.assert_found("residency", history)

    def test_no_loop(self):
        # Two regions without engines each assume from an outdated summary
        # that the other has some. Without the check of hops they forward a
        # request back and forth.
        original = Exchange.make_routing_request

        def drop_hops(exchange: Exchange) -> RoutingRequest:
            return replace(original(exchange), hops=())

        plan = [
            Planned(start=0.1, seconds=SECONDS, fault=Lossy(loss=1.0)),
            *plan_engine_crashes("dunantul", start=0.2),
            *plan_engine_crashes("alfold", start=0.2),
        ]
        history = run(
            plan,
            (Exchange, "make_routing_request", drop_hops),
            (Exchange, "_check_forward", lambda *_: None),
            (RequestService, "_check_hops", lambda *_: None),
        )
        self.assert_found("no loop", history)

    def test_isolated_region_serves(self):
        # VMs refuse requests when the control VMs are unreachable.
        def refuse_when_stale(configuration, request):
            age = configuration.age
            if age is None or age > 3.0:
                raise Refusal(
                    code=RefusalCode.CONFIGURATION_STALE,
                    message="too old",
                    verdict=Verdict.NOT_RUN,
                )
            return find_allowed_regions(configuration, request)

        plan = [
            Planned(start=0.1, seconds=SECONDS + 8, fault=Isolate(region=name))
            for name in ("eszak",)
        ]
        with mock.patch(
            "burdockdrum.requests.exchange.find_allowed_regions",
            refuse_when_stale,
        ):
            history = run(plan)
        self.assert_found("isolated region serves", history)

    def test_whole_answers(self):
        # A broken stream ends as if it were complete.
        original = Upstream.read

        async def end_broken_stream(upstream: Upstream, seconds: float):
            try:
                return await original(upstream, seconds) or DONE
            except AttemptFailed:
                return DONE

        plan = [
            planned
            for region in REGIONS
            for planned in plan_engine_crashes(region, start=5, seconds=2)
        ]
        history = run(plan, (Upstream, "read", end_broken_stream))
        self.assert_found("whole answers", history)

    def test_not_run(self):
        # Every refusal states that the request did not run.
        def claim_not_run(exchange: Exchange, refusal: Refusal) -> Refusal:
            return refusal.with_verdict(Verdict.NOT_RUN)

        plan = [
            planned
            for start in (2, 5, 8, 11)
            for region in REGIONS
            for planned in plan_engine_crashes(region, start=start, seconds=2)
        ]
        history = run(
            plan, (Exchange, "_with_combined_verdict", claim_not_run)
        )
        self.assert_found("not run", history)

    def test_at_most_once(self):
        # Each claim is acquired under a new key, so none conflicts.
        original = Claims.take
        count = iter(range(1000))

        async def use_fresh_key(claims: Claims, **options):
            options["key"] = f"{options['key']}-{next(count)}"
            return await original(claims, **options)

        plan = [
            Planned(
                start=1.0 + 2 * number,
                seconds=1.5,
                fault=CrashVm(vm_id=f"{region}-2"),
            )
            for number, region in enumerate([*REGIONS, *REGIONS])
        ]
        history = run(plan, (Claims, "take", use_fresh_key))
        self.assert_found("at most once", history)

    def test_leaving(self):
        # Draining endpoints stay candidates.
        def list_all_endpoints(
            registry: EndpointRegistry, service: str
        ) -> list[Endpoint]:
            return [
                endpoint
                for endpoint in registry.endpoints_by_id.values()
                if endpoint.service == service
            ]

        plan = [
            Planned(
                start=1.0,
                seconds=1.0,
                fault=LeaveEndpoint(endpoint_id=f"{region}-engine1"),
            )
            for region in REGIONS
        ]
        history = run(
            plan, (EndpointRegistry, "candidates", list_all_endpoints)
        )
        self.assert_found("leaving", history)

    def test_graceful_shutdown(self):
        # The drain does not wait for requests in flight.
        async def skip_wait(drain: Drain) -> None:
            return

        plan = [
            Planned(
                start=1.0 + number,
                seconds=1.0,
                fault=DrainVm(vm_id=f"{region}-2"),
            )
            for number, region in enumerate(REGIONS)
        ]
        history = run(plan, (Drain, "_wait_for_requests", skip_wait))
        self.assert_found("graceful shutdown", history)

    def test_configuration(self):
        # One VM reverts to its configuration at the start.
        def revert_one_vm(world: World) -> None:
            vm = world.cluster.vms_by_id["eszak-2"]
            service = vm.kernel.find("configuration", ConfigurationService)
            old = service.current
            service_type = type(service)
            current = property(
                lambda self: old if self is service else original(self)
            )
            original = service_type.current.fget
            service_type.current = current

        with mock.patch.object(
            ConfigurationService, "current", ConfigurationService.current
        ):
            world = World(
                seed=5,
                plan=[],
                seconds=SECONDS,
                requests=REQUESTS,
                inject_bug=revert_one_vm,
            )
            history = run_virtual(world.run())
        self.assert_found("configuration", history)
