"""A request that crashes every endpoint that runs it."""

import asyncio
import unittest

import msgspec

from burdockdrum.quarantine import MAX_LOSSES
from burdockdrum.quarantine import QUARANTINE_DURATION_SECONDS
from burdockdrum.testing import run_virtual
from tests.requests.stack import Endpoint
from tests.requests.stack import read_text
from tests.requests.stack import Stack

FULL_TEXT = "t1 t2 t3 t4 t5 t6 "
CRASHING_PROMPT = "killer"
# Time for quarantine messages to reach every entry.
PROPAGATION_SECONDS = 2


def run_with_engines(scenario, *, count=5, vms=("a1", "a2", "b1")):
    async def main():
        stack = Stack()
        await stack.start(*vms)
        await stack.configure()
        engines = []
        for number in range(count):
            engine = Endpoint(
                name=f"e{number}", crash_on=CRASHING_PROMPT.encode(), tokens=6
            )
            engines.append(await stack.add_endpoint(engine, *vms[:2]))
        await asyncio.sleep(2)
        try:
            await scenario(stack, engines)
        finally:
            await stack.stop()

    run_virtual(main())


def count_crashes(engines):
    return sum(engine.crashes for engine in engines)


class CrashingRequestTest(unittest.TestCase):
    """Lost endpoints are bounded, and other requests complete."""

    def test_retries_at_all_entries_crash_two_endpoints(self):
        # Retries under new idempotency keys, through entries of both regions,
        # must not crash more than MAX_LOSSES endpoints.
        async def scenario(stack, engines):
            for turn in range(10):
                vm = ("a1", "a2", "b1")[turn % 3]
                response = await stack.complete(
                    vm,
                    CRASHING_PROMPT,
                    headers={"idempotency-key": f"key-{turn}"},
                )
                body = await stack.read(response)
                self.assertNotIn(b"[DONE]", body)
                await asyncio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))
            self.assertEqual(422, response.status)
            self.assertIn(b"quarantined", body)

        run_with_engines(scenario)

    def test_concurrent_retries_at_two_entries_crash_no_more(self):
        # Concurrent retries through two entries: the coordinator grants one
        # trial at a time, so that they crash only one more endpoint.
        async def scenario(stack, engines):
            sends = [stack.complete(vm, CRASHING_PROMPT) for vm in ("a1",)]
            await asyncio.gather(*sends)
            sends = [
                stack.complete(vm, CRASHING_PROMPT) for vm in ("a1", "a2") * 3
            ]
            for response in await asyncio.gather(*sends):
                self.assertEqual(422, response.status)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))

        run_with_engines(scenario)

    def test_other_requests_of_the_batches_complete(self):
        # Twenty streams that run beside the crashing request are resumed.
        # None is refused, although this exceeds the retry budget.
        async def scenario(stack, engines):
            async def stream(number):
                vm = ("a1", "a2")[number % 2]
                response = await stack.complete(vm, f"innocent {number}")
                return await stack.read(response)

            streaming = [asyncio.create_task(stream(n)) for n in range(20)]
            await asyncio.sleep(0.25)
            crash_response = await stack.complete("a1", CRASHING_PROMPT)
            await stack.read(crash_response)
            for body in await asyncio.gather(*streaming):
                self.assertEqual(FULL_TEXT, read_text(body))
                self.assertNotIn(b"event: error", body)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))

        run_with_engines(scenario, count=3)

    def test_sound_request_outlives_engines_that_end_together(self):
        # Guards against a quarantine of sound requests of which copies ran
        # on each engine of a data centre that lost power.
        async def scenario(stack, engines):
            async def poll():
                response = await stack.complete("a1", "poll")
                await stack.read(response)
                return response.status

            await poll()
            polls = [asyncio.create_task(poll()) for _ in range(12)]
            while sum(engine.running > 0 for engine in engines) < 3:
                await asyncio.sleep(0.01)
            for engine in engines:
                if engine.running:
                    engine.crash()
            await asyncio.gather(*polls)
            self.assertEqual(200, await poll())

        run_with_engines(scenario)

    def test_crashing_non_idempotent_request_is_quarantined(self):
        # The gateway doesn't retry a non-idempotent call, but its caller
        # does under new keys.
        async def scenario(stack, engines):
            services = []
            for number in range(5):
                service = Endpoint(name=f"s{number}", crash_on=b"killer")
                services.append(service)
                await stack.add_endpoint(
                    service, "a1", "a2", service="booking"
                )
            codes = []
            for turn in range(6):
                vm = ("a1", "a2")[turn % 2]
                booked = await stack.book(
                    vm, f"key-{turn}", content=b'"killer"'
                )
                codes.append(booked.code)
                await asyncio.sleep(PROPAGATION_SECONDS)
            self.assertEqual(MAX_LOSSES, count_crashes(services))
            self.assertEqual(["quarantined"] * 4, codes[MAX_LOSSES:])

        run_with_engines(scenario, count=1)


class FalseAlarmTest(unittest.TestCase):
    """False suspicions are cleared, lifted or expire."""

    def test_suspect_that_completes_is_cleared(self):
        async def scenario(stack, engines):
            engines[0].cut_after = 3
            for number in range(8):
                await stack.read(await stack.complete("a1", f"p {number}"))
            await asyncio.sleep(PROPAGATION_SECONDS)
            self.assertEqual([], await list_entries(stack))

        run_with_engines(scenario, count=2)

    def test_operator_lifts_a_quarantine_on_all_vms(self):
        async def scenario(stack, engines):
            await stack.read(await stack.complete("a1", CRASHING_PROMPT))
            await asyncio.sleep(PROPAGATION_SECONDS)
            [entry] = await list_entries(stack)
            self.assertTrue(entry["quarantined"])
            self.assertEqual(MAX_LOSSES, len(entry["lost_endpoints"]))
            for engine in engines:
                engine.crash_on = None
            refused = await stack.complete("b1", CRASHING_PROMPT)
            self.assertEqual(422, refused.status)
            operator = stack.client("operator")
            path = "/v1/quarantine/" + entry["fingerprint"]
            reply = await operator.open(stack.url("a2"), "DELETE", path)
            self.assertEqual(204, reply.status)
            await asyncio.sleep(PROPAGATION_SECONDS)
            for vm in ("a1", "a2", "b1"):
                response = await stack.complete(vm, CRASHING_PROMPT)
                body = await stack.read(response)
                self.assertEqual(FULL_TEXT, read_text(body))

        run_with_engines(scenario)

    def test_quarantine_expires(self):
        async def scenario(stack, engines):
            await stack.read(await stack.complete("a1", CRASHING_PROMPT))
            for engine in engines:
                engine.crash_on = None
            await asyncio.sleep(QUARANTINE_DURATION_SECONDS)
            response = await stack.complete("a1", CRASHING_PROMPT)
            body = await stack.read(response)
            self.assertEqual(FULL_TEXT, read_text(body))

        run_with_engines(scenario, count=2, vms=("a1",))


async def list_entries(stack):
    operator = stack.client("operator")
    response = await operator.open(stack.url("a1"), "GET", "/v1/quarantine")
    return msgspec.json.decode(await stack.read(response))


if __name__ == "__main__":
    unittest.main()
