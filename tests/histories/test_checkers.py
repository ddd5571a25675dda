"""Each checker finds the deliberate bug that it is there for."""

import contextlib
from dataclasses import replace
import unittest
from unittest import mock

from burdockdrum.claims import ClaimService
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


def crash_engines(
    region: str, *, start: float = 0.1, seconds: float = SECONDS
) -> list[Planned]:
    """Plan the loss of a region's engines."""
    return [
        Planned(
            start=start,
            seconds=seconds,
            fault=CrashEndpoint(endpoint_id=f"{region}-engine{i}"),
        )
        for i in (1, 2)
    ]


def run(plan: list[Planned], *bugs) -> History:
    """Run one history with bugs put in; each is a target and its stand-in."""
    world = World(seed=5, plan=plan, seconds=SECONDS, requests=REQUESTS)
    with contextlib.ExitStack() as stack:
        for owner, name, stand_in in bugs:
            stack.enter_context(mock.patch.object(owner, name, stand_in))
        return run_virtual(world.run())


class CheckerTest(unittest.TestCase):
    """A bug in the running system is found by its checker."""

    def assert_found(self, name: str, history: History) -> None:
        self.assertTrue(CHECKERS[name](history), check_all(history))

    def test_residency(self):
        # The engines of one region are gone, and its VMs take every region
        # for allowed: its clients' requests leave their bounds.
        def allow_all(configuration, request):
            find_allowed_regions(configuration, request)
            return frozenset(REGIONS)

        with mock.patch(
            "burdockdrum.requests.exchange.find_allowed_regions", allow_all
        ):
            history = run(crash_engines("dunantul"))
        self.assert_found("residency", history)

    def test_no_loop(self):
        # No summaries arrive any more and the engines of two regions are
        # gone: each thinks that the other has some. The path is not looked
        # at, so a request is thrown back and forth.
        original = Exchange.make_routing_request

        def forget_path(exchange: Exchange) -> RoutingRequest:
            return replace(original(exchange), hops=())

        plan = [
            Planned(start=0.1, seconds=SECONDS, fault=Lossy(loss=1.0)),
            *crash_engines("dunantul", start=0.2),
            *crash_engines("alfold", start=0.2),
        ]
        history = run(
            plan,
            (Exchange, "make_routing_request", forget_path),
            (Exchange, "_check_forward", lambda *_: None),
            (RequestService, "_check_hops", lambda *_: None),
        )
        self.assert_found("no loop", history)

    def test_isolated_region_serves(self):
        # A VM serves only while it hears from the control VMs.
        def refuse_when_old(configuration, request):
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
            refuse_when_old,
        ):
            history = run(plan)
        self.assert_found("isolated region serves", history)

    def test_whole_answers(self):
        # A stream that breaks is ended as if it were complete.
        original = Upstream.read

        async def pretend(upstream: Upstream, seconds: float):
            try:
                return await original(upstream, seconds) or DONE
            except AttemptFailed:
                return DONE

        plan = [
            planned
            for region in REGIONS
            for planned in crash_engines(region, start=5, seconds=2)
        ]
        history = run(plan, (Upstream, "read", pretend))
        self.assert_found("whole answers", history)

    def test_not_run(self):
        # Whatever was sent, the refusal says that it did not run.
        def deny(exchange: Exchange, refusal: Refusal) -> Refusal:
            return refusal.with_verdict(Verdict.NOT_RUN)

        plan = [
            planned
            for start in (2, 5, 8, 11)
            for region in REGIONS
            for planned in crash_engines(region, start=start, seconds=2)
        ]
        history = run(plan, (Exchange, "_with_combined_verdict", deny))
        self.assert_found("not run", history)

    def test_at_most_once(self):
        # Claims are granted and forgotten at once.
        original = ClaimService.acquire
        count = iter(range(1000))

        async def forget(claims: ClaimService, **options):
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
        history = run(plan, (ClaimService, "acquire", forget))
        self.assert_found("at most once", history)

    def test_leaving(self):
        # What an endpoint says of its leaving is not looked at.
        def ignore(registry: EndpointRegistry, service: str) -> list[Endpoint]:
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
        history = run(plan, (EndpointRegistry, "candidates", ignore))
        self.assert_found("leaving", history)

    def test_graceful_shutdown(self):
        # The drain does not wait for what runs.
        async def hurry(drain: Drain) -> None:
            return

        plan = [
            Planned(
                start=1.0 + number,
                seconds=1.0,
                fault=DrainVm(vm_id=f"{region}-2"),
            )
            for number, region in enumerate(REGIONS)
        ]
        history = run(plan, (Drain, "_wait_for_requests", hurry))
        self.assert_found("graceful shutdown", history)

    def test_configuration(self):
        # One VM goes back to what it had in force at the start.
        def go_back(world: World) -> None:
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
                mutate=go_back,
            )
            history = run_virtual(world.run())
        self.assert_found("configuration", history)
