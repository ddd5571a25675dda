"""HARD CASE 9: a request that kills each endpoint that runs it."""

import asyncio
import unittest

import msgspec

from burdockdrum.quarantine import MAX_LOSSES
from burdockdrum.quarantine import QUARANTINE_SECONDS
from burdockdrum.testing import run_virtual
from tests.requests.stack import Endpoint
from tests.requests.stack import read_text
from tests.requests.stack import Stack

WHOLE = "t1 t2 t3 t4 t5 t6 "
KILLER = "killer"
# Long enough for news to reach every entry.
NEWS_SECONDS = 2


def run_with_engines(scenario, *, count=5, vms=("a1", "a2", "b1")):
    async def main():
        stack = Stack()
        await stack.start(*vms)
        await stack.configure()
        engines = []
        for number in range(count):
            engine = Endpoint(
                name=f"e{number}", crash_on=KILLER.encode(), tokens=6
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
    """Endpoints lost are bounded, and innocents complete."""

    def test_resends_at_all_entries_cost_two_endpoints(self):
        # The killer comes to one entry, is refused, and its caller sends
        # it again ten times under new keys at entries of both regions.
        async def scenario(stack, engines):
            for turn in range(10):
                vm = ("a1", "a2", "b1")[turn % 3]
                answer = await stack.complete(
                    vm, KILLER, headers={"idempotency-key": f"key-{turn}"}
                )
                body = await stack.read(answer)
                self.assertNotIn(b"[DONE]", body)
                await asyncio.sleep(NEWS_SECONDS)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))
            self.assertEqual(422, answer.status)
            self.assertIn(b"quarantined", body)

        run_with_engines(scenario)

    def test_resends_at_two_entries_at_once_cost_no_more(self):
        # After the first loss both entries have the suspect to try. One VM
        # grants the trials, so only one endpoint is lost to them.
        async def scenario(stack, engines):
            sends = [stack.complete(vm, KILLER) for vm in ("a1",)]
            await asyncio.gather(*sends)
            sends = [stack.complete(vm, KILLER) for vm in ("a1", "a2") * 3]
            for answer in await asyncio.gather(*sends):
                self.assertEqual(422, answer.status)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))

        run_with_engines(scenario)

    def test_innocents_of_the_batches_complete(self):
        # Twenty answers are being streamed when the killer takes down the
        # endpoints that run them. Each is resumed; none is refused, though
        # that takes more retries than the budget has.
        async def scenario(stack, engines):
            async def ask(number):
                vm = ("a1", "a2")[number % 2]
                answer = await stack.complete(vm, f"innocent {number}")
                return await stack.read(answer)

            asking = [asyncio.create_task(ask(n)) for n in range(20)]
            await asyncio.sleep(0.25)
            killer = await stack.complete("a1", KILLER)
            await stack.read(killer)
            for body in await asyncio.gather(*asking):
                self.assertEqual(WHOLE, read_text(body))
                self.assertNotIn(b"event: error", body)
            self.assertEqual(MAX_LOSSES, count_crashes(engines))

        run_with_engines(scenario, count=3)

    def test_unrepeatable_killer_is_quarantined_over_its_resends(self):
        # An unrepeatable call is not retried by the gateway, but its caller
        # sends it again under new keys.
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
                await asyncio.sleep(NEWS_SECONDS)
            self.assertEqual(MAX_LOSSES, count_crashes(services))
            self.assertEqual(["quarantined"] * 4, codes[MAX_LOSSES:])

        run_with_engines(scenario, count=1)


class FalseAlarmTest(unittest.TestCase):
    """A wrong suspicion costs little and ends."""

    def test_suspect_that_completes_is_cleared(self):
        async def scenario(stack, engines):
            engines[0].cut_after = 3
            for number in range(8):
                await stack.read(await stack.complete("a1", f"p {number}"))
            await asyncio.sleep(NEWS_SECONDS)
            self.assertEqual([], await list_entries(stack))

        run_with_engines(scenario, count=2)

    def test_operator_sees_and_lifts_it_everywhere(self):
        async def scenario(stack, engines):
            await stack.read(await stack.complete("a1", KILLER))
            await asyncio.sleep(NEWS_SECONDS)
            [entry] = await list_entries(stack)
            self.assertTrue(entry["quarantined"])
            self.assertEqual(MAX_LOSSES, len(entry["lost_endpoints"]))
            for engine in engines:
                engine.crash_on = None
            refused = await stack.complete("b1", KILLER)
            self.assertEqual(422, refused.status)
            operator = stack.client("operator")
            path = "/v1/quarantine/" + entry["fingerprint"]
            reply = await operator.open(stack.url("a2"), "DELETE", path)
            self.assertEqual(204, reply.status)
            await asyncio.sleep(NEWS_SECONDS)
            for vm in ("a1", "a2", "b1"):
                answer = await stack.complete(vm, KILLER)
                body = await stack.read(answer)
                self.assertEqual(WHOLE, read_text(body))

        run_with_engines(scenario)

    def test_quarantine_expires(self):
        async def scenario(stack, engines):
            await stack.read(await stack.complete("a1", KILLER))
            for engine in engines:
                engine.crash_on = None
            await asyncio.sleep(QUARANTINE_SECONDS)
            answer = await stack.complete("a1", KILLER)
            body = await stack.read(answer)
            self.assertEqual(WHOLE, read_text(body))

        run_with_engines(scenario, count=2, vms=("a1",))


async def list_entries(stack):
    operator = stack.client("operator")
    answer = await operator.open(stack.url("a1"), "GET", "/v1/quarantine")
    return msgspec.json.decode(await stack.read(answer))


if __name__ == "__main__":
    unittest.main()
