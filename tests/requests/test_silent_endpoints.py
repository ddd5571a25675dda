"""Tests of endpoints that are silent for longer than the timeout and go on.

None of them may lose a request: another endpoint is tried meanwhile, and if it
fails in whatever way, the first one goes on.
"""

import asyncio
from dataclasses import replace
import math
import unittest
from unittest import mock

from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.requests.attempts import DataCentreTarget
from burdockdrum.requests.budget import RetryBudget
from burdockdrum.requests.exchange import Exchange
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import Unroutable
from burdockdrum.testing import run_virtual
from tests.requests.stack import Endpoint
from tests.requests.stack import read_text
from tests.requests.stack import Stack

WHOLE = "t1 t2 t3 t4 t5 t6 "
DONE = b"data: [DONE]"
MAX_RUNS = 4
# Faults of successors by what they do, None for an unreachable one.
SUCCESSORS = {
    "rejects": {"status": 503},
    "fails": {"status": 500},
    "closes": {"crash_on": b"prompt"},
    "is silent": {"silent": True},
    "pauses": {"token_seconds": 30.0},
    "is unreachable": None,
}


def run_with_stack(scenario, *vms):
    async def main():
        stack = Stack()
        await stack.start(*vms)
        await stack.configure()
        try:
            await scenario(stack)
        finally:
            await stack.stop()

    run_virtual(main())


async def add_successor(stack, behaviour):
    """Add an endpoint that fails each request that it gets."""
    faults = SUCCESSORS[behaviour]
    successor = Endpoint(name="e2", **(faults or {}))
    await stack.add_endpoint(successor, "a1")
    if faults is None:
        stack.cluster.web.stop(successor.url)
    return successor


class SilentCase(unittest.TestCase):
    """Checks that a request is answered by the endpoint that paused."""

    def check(self, first, behaviour, *, stream=True, tried=True):
        async def scenario(stack):
            await stack.add_endpoint(first, "a1")
            headers = {"x-deadline-seconds": "60"}
            sending = asyncio.create_task(
                stack.complete("a1", stream=stream, headers=headers)
            )
            await asyncio.sleep(0.5)
            others = []
            if behaviour is not None:
                others.append(await add_successor(stack, behaviour))
            answer = await sending
            body = await stack.read(answer)
            self.assertEqual(200, answer.status, body)
            if stream:
                self.assertEqual(WHOLE, read_text(body))
                self.assertEqual(1, body.count(DONE), body)
                self.assertNotIn(b"event: error", body)
            else:
                self.assertEqual(first.body, body)
            self.assertEqual(1, len(first.calls))
            self.assertEqual([], first.cancelled)
            for other in others:
                self.assertLess(len(other.calls), MAX_RUNS)
                if SUCCESSORS[behaviour] is not None:
                    self.assertEqual(tried, bool(other.calls))

        run_with_stack(scenario, "a1")


class PausingStreamTest(SilentCase):
    """Streams that pause."""

    def check_stream(self, pause_after, pause_seconds, *behaviours):
        for behaviour in behaviours:
            with self.subTest(successor=behaviour):
                first = Endpoint(
                    name="e1",
                    pause_after=pause_after,
                    pause_seconds=pause_seconds,
                )
                self.check(first, behaviour)

    def test_begun_stream_is_kept_while_its_successor_fails(self):
        # Guards against giving up an endpoint before another one writes.
        self.check_stream(3, 14.0, *SUCCESSORS)

    def test_begun_stream_is_kept_without_a_successor(self):
        # Guards against ending a stream for a silence alone.
        self.check_stream(3, 25.0, None)

    def test_stream_is_kept_before_its_first_event(self):
        # The same, if nothing has been sent to the caller.
        self.check_stream(0, 14.0, *SUCCESSORS, None)

    def test_endpoint_that_goes_on_first_ends_its_successor(self):
        # Guards against tokens from both, and a successor that runs on.
        async def scenario(stack):
            first = Endpoint(name="e1", pause_after=3, pause_seconds=14.0)
            second = Endpoint(name="e2", token_seconds=8.0)
            await stack.add_endpoint(first, "a1")
            answer = await stack.complete("a1")
            parts = answer.chunks()
            body = await anext(parts)
            await stack.add_endpoint(second, "a1")
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual(1, body.count(DONE))
            self.assertEqual(1, len(second.calls))
            await asyncio.sleep(1)
            self.assertEqual(1, len(second.cancelled))
            self.assertEqual(0, second.running)

        run_with_stack(scenario, "a1")

    def test_forwarded_stream_is_kept(self):
        # Both entries must wait, the one with the endpoint and the other.
        async def scenario(stack):
            first = Endpoint(name="e1", pause_after=3, pause_seconds=25.0)
            await stack.add_endpoint(first, "b1")
            answer = await stack.complete("a1")
            body = await stack.read(answer)
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual(1, body.count(DONE), body)
            self.assertEqual(1, len(first.calls))

        run_with_stack(scenario, "a1", "b1")

    def test_stream_goes_on_at_the_next_incarnation(self):
        # Guards against waiting for an endpoint that has started again.
        async def scenario(stack):
            engine = Endpoint(name="e1", stall_after=3)
            await stack.add_endpoint(engine, "a1")
            answer = await stack.complete("a1")
            parts = answer.chunks()
            body = b""
            while b"t3" not in body:
                body += await anext(parts)
            engine.stall_after = None
            registry = stack.cluster.vms_by_id["a1"].kernel.find(
                "endpoints", EndpointRegistry
            )
            known = registry.endpoints_by_id["e1"]
            registry.store_copy(
                "other", replace(known, incarnation=2, lease_until=math.inf)
            )
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual(2, len(engine.calls))

        run_with_stack(scenario, "a1")

    def test_another_entry_of_a_data_centre_may_succeed_a_silent_one(self):
        # Guards against waiting for a cut-off entry VM if there are others,
        # and against a second run through the same one.
        for others, stalls in ((("b2",), 1), ((), 0)):
            services = mock.Mock()
            services.quarantine.find_suspect.return_value = None
            entries = [mock.Mock(vm_id=vm_id) for vm_id in ("b1", *others)]
            services.router.choose = lambda request, entries=entries: (
                Unroutable(message="excluded")
                if request.excluded_data_centres
                else ToDataCentre(data_centre="south", entries=tuple(entries))
            )
            exchange = Exchange(
                services=services,
                request=mock.Mock(may_run_again=True, deadline=60.0),
            )
            services.clock.monotonic.return_value = 0.0
            attempt = mock.Mock(counted_runs=0, may_have_successor=True)
            attempt.target = DataCentreTarget(data_centre="south", vm_id="b1")
            with mock.patch.object(
                exchange,
                "make_routing_request",
                lambda exchange=exchange: RoutingRequest(
                    service="planner",
                    regions=frozenset({"south"}),
                    deadline=60.0,
                    excluded_data_centres=exchange._excluded_data_centres,
                ),
            ):
                exchange.report_silence(attempt, mock.Mock())
            self.assertEqual(stalls, attempt.stall.call_count)

    def test_router_is_not_asked_without_budget(self):
        # Guards against forwards that the router counts and nobody sends, one
        # for each check of a silent attempt.
        services = mock.Mock(budget=RetryBudget(max_tokens=0.0))
        services.quarantine.find_suspect.return_value = None
        services.clock.monotonic.return_value = 0.0
        exchange = Exchange(
            services=services,
            request=mock.Mock(may_run_again=True, deadline=60.0),
        )
        attempt = mock.Mock(counted_runs=0, may_have_successor=True)
        attempt.target = DataCentreTarget(data_centre="south", vm_id="b1")
        with mock.patch.object(exchange, "make_routing_request"):
            exchange.report_silence(attempt, mock.Mock())
        services.router.choose.assert_not_called()
        attempt.stall.assert_not_called()

    def test_stream_is_complete_though_a_successor_ends_after_it(self):
        # Guards against counting it as cut for the end of its successor.
        async def scenario(stack):
            first = Endpoint(name="e1", pause_after=5, pause_seconds=10.05)
            await stack.add_endpoint(first, "a1")
            answer = await stack.complete("a1")
            await stack.add_endpoint(Endpoint(name="e2", silent=True), "a1")
            self.assertEqual(WHOLE, read_text(await stack.read(answer)))
            page = await stack.client("operator").open(
                stack.url("a1"), "GET", "/metrics"
            )
            lines = (await stack.read(page)).decode()
            self.assertNotIn("streams_cut_total 1", lines)

        run_with_stack(scenario, "a1")

    def test_second_run_needs_a_grant_of_the_retry_budget(self):
        # Guards against doubling the load when a whole service pauses.
        first = Endpoint(name="e1", pause_after=3, pause_seconds=14.0)
        with mock.patch.object(
            RetryBudget, "try_withdraw", return_value=False
        ):
            self.check(first, "is silent", tried=False)

    def test_second_run_is_charged_once(self):
        # Guards against a charge for each check of a silent attempt.
        for behaviour in ("is silent", "is unreachable"):
            first = Endpoint(name="e1", pause_after=3, pause_seconds=25.0)
            with (
                self.subTest(successor=behaviour),
                mock.patch.object(
                    RetryBudget, "try_withdraw", return_value=True
                ) as withdraw,
            ):
                self.check(first, behaviour)
                self.assertEqual(1, withdraw.call_count)


class PausingAnswerTest(SilentCase):
    """Whole answers of endpoints that take long."""

    def test_whole_answer_is_kept_while_its_successor_fails(self):
        # Guards against a failure that the successor has made, not the first.
        for behaviour in (*SUCCESSORS, None):
            with self.subTest(successor=behaviour):
                if behaviour == "pauses":
                    continue
                first = Endpoint(name="e1", seconds=45.0, body=b'{"n":1}')
                self.check(first, behaviour, stream=False)

    def test_call_that_can_not_be_repeated_is_kept(self):
        # Without a successor a silence must not end the only attempt.
        async def scenario(stack):
            service = Endpoint(name="e1", seconds=45.0, body=b'{"n":1}')
            for endpoint in (service, Endpoint(name="e2", seconds=45.0)):
                await stack.add_endpoint(endpoint, "a1", service="booking")
            answer = await stack.client("caller").open(
                stack.url("a1"),
                "POST",
                "/services/booking/note",
                b"{}",
                {"x-deadline-seconds": "60"},
            )
            self.assertEqual(200, answer.status)

        run_with_stack(scenario, "a1")

    def test_unrepeatable_call_is_kept_and_runs_once(self):
        # Guards against a second run beside a silent first one.
        async def scenario(stack):
            services = [
                Endpoint(name=f"e{number}", seconds=45.0) for number in (1, 2)
            ]
            for one in services:
                await stack.add_endpoint(one, "a1", service="booking")
            booked = await stack.book(
                "a1", "key", headers={"x-deadline-seconds": "60"}
            )
            self.assertEqual(200, booked.status)
            self.assertEqual(1, sum(len(one.calls) for one in services))

        run_with_stack(scenario, "a1")

    def test_large_body_is_kept(self):
        # It has no successor, so that a silence must not break it off.
        async def scenario(stack):
            service = Endpoint(
                name="e1", parts=60, pause_after=40, pause_seconds=14.0
            )
            await stack.add_endpoint(service, "a1", service="booking")
            answer = await stack.client("caller").open(
                stack.url("a1"), "GET", "/services/booking/list"
            )
            body = await stack.read(answer)
            self.assertEqual(600_000, len(body))

        run_with_stack(scenario, "a1")


if __name__ == "__main__":
    unittest.main()
