"""Tests of the request service: its metrics, and draining."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.vms import Drain
from burdockdrum.vms import DrainState
from tests.requests.stack import Endpoint
from tests.requests.stack import Stack


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


class MeterTest(unittest.TestCase):
    """Metrics of answers, refusals and forwards."""

    def test_metrics_page_counts_requests_by_result(self):
        async def scenario(stack):
            await stack.add_endpoint(Endpoint(name="e1"), "b1")
            await stack.read(await stack.complete("a1"))
            await stack.read(await stack.complete("a1", stream=False))
            refused = await stack.complete(
                "a1", headers={"x-deadline-seconds": "0.001"}
            )
            await stack.read(refused)
            cut = await stack.complete("a1")
            await anext(cut.chunks())
            await cut.close()
            await asyncio.sleep(1)
            operator = stack.client("operator")
            page = await operator.open(stack.url("a1"), "GET", "/metrics")
            lines = (await stack.read(page)).decode().split("\n")
            self.assertIn('burdockdrum_answers_total{way="caller"} 2', lines)
            self.assertIn("burdockdrum_streams_cut_total 1", lines)
            passed = 'burdockdrum_forwards_total{data_centre="south"} '
            [count] = [
                line.removeprefix(passed)
                for line in lines
                if line.startswith(passed)
            ]
            self.assertGreaterEqual(int(count), 3)
            refusals = [x for x in lines if "refusals_total{" in x]
            self.assertEqual(1, len(refusals), refusals)
            first = 'first_part_seconds_count{priority_class="none"} 3'
            self.assertIn(f"burdockdrum_{first}", lines)

        run_with_stack(scenario, "a1", "b1")


class DrainTest(unittest.TestCase):
    """HARD CASE 20, for requests whose callers have disconnected."""

    def test_drain_waits_for_an_unrepeatable_request_without_caller(self):
        # An unrepeatable request could not be retried, so draining must wait
        # for it even after its caller has disconnected.
        async def scenario(stack):
            service = Endpoint(name="e1", seconds=20)
            await stack.add_endpoint(service, "a1", service="booking")
            sending = asyncio.create_task(stack.book("a1", "key"))
            await asyncio.sleep(1)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            drain = stack.cluster.vms_by_id["a1"].kernel.find("drain", Drain)
            drain.begin()
            await asyncio.sleep(15)
            self.assertIs(DrainState.REFUSING, drain.state)
            refused = await stack.book("a1", "key")
            self.assertEqual("draining", refused.code)
            self.assertEqual("may have run", refused.verdict)
            async with asyncio.timeout(10):
                await drain.done.wait()
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_stack(scenario, "a1", "a2")


if __name__ == "__main__":
    unittest.main()
