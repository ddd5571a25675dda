"""Tests of requests that one region forwards to another."""

import asyncio
import time

from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceCapacity
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_without_response
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase
from tests.passthrough.entries import unframed

NOT_RUN = b"X-Not-Started: 1"


class HopTest(RelayCase):
    """Requests through the entries of two regions."""

    async def open_two(
        self, here=(), there=(), capacities=("there",), **route
    ):
        self.world = EntryDeployment(**route)
        self.addAsyncCleanup(self.world.close)
        entry = await self.world.open_entry(
            "here", here, capacities=capacities
        )
        await self.world.open_entry("there", there, capacities=("here",))
        return entry

    async def test_request_without_local_endpoint_is_forwarded(self):
        endpoint = Endpoint(answer(b"far"))
        entry = await self.open_two(there=[endpoint], idempotent=False)
        status, head, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual((200, b"far"), (status, body))
        ((sent, _),) = endpoint.seen
        self.assertEqual(b"there-0", header(sent, b"x-expected-endpoint"))
        for name in (b"x-burdockdrum-from", b"x-burdockdrum-attempts"):
            self.assertIsNone(header(sent, name))
        self.assertIsNone(header(head, b"x-verdict"))

    async def test_status_keeps_the_verdict_of_the_other_region(self):
        for respond, expected in (
            (answer(b"", b"503 Full", NOT_RUN), 503),
            (close_without_response, 502),
        ):
            entry = await self.open_two(
                there=[Endpoint(respond)], idempotent=False
            )
            status, head, _ = await entry.call(method=b"POST", body=b"x")
            self.assertEqual(expected, status)
            self.assertIsNone(header(head, b"x-verdict"))

    async def test_attempts_in_both_regions_count_together(self):
        # Both attempts that the route allows fail in the other region.
        # Guards against a third attempt in this region.
        bad = answer(b"why", b"500 Bad")
        here = Endpoint(bad)
        there = [Endpoint(bad), Endpoint(bad)]
        entry = await self.open_two(
            here=[here], there=there, attempts=2, homes=["there", "here"]
        )
        busy = Load.from_ranks([RankLoad(0, 1, 47_000)])
        entry.others = busy
        status, _, _ = await entry.call(b"X-Deadline-Ms: 60000")
        self.assertEqual(500, status)
        runs = len(here.seen) + sum(len(e.seen) for e in there)
        self.assertEqual(2, runs)

    async def test_lost_hop_counts_as_all_granted_attempts(self):
        # The other entry's connection is lost. As it may have used all its
        # attempts, the request must not run in this region.
        there = Endpoint(never_respond)
        entry = await self.open_two(
            here=[Endpoint(answer(b"here"))], there=[there], attempts=2
        )
        busy = Load.from_ranks([RankLoad(0, 1, 47_000)])
        entry.others = busy
        task = asyncio.create_task(entry.call())
        await asyncio.sleep(0.2)
        self.assertEqual(1, len(there.seen))
        for connection in list(self.world.entries["there"].vms.connections):
            connection._transport.abort()
        self.assertEqual(502, (await task)[0])

    async def test_request_stays_in_allowed_regions(self):
        # HARD CASE 10: the route excludes the entry's own region, then every
        # region with free capacity.
        here, there = Endpoint(answer(b"here")), Endpoint(answer(b"there"))
        entry = await self.open_two(
            here=[here], there=[there], homes=["there"]
        )
        self.assertEqual(b"there", (await entry.call())[2])
        self.assertEqual([], here.seen)
        entry = await self.open_two(
            here=[Endpoint(answer())],
            there=[Endpoint(answer())],
            homes=["third"],
        )
        status, _, body = await entry.call()
        self.assertEqual(503, status)
        self.assertIn(b"none of its home regions", body)

    async def test_outdated_report_of_a_full_region_refuses_nothing(self):
        # Guards against refusing a request because of an outdated report
        # that the only region with an endpoint is full.
        there = Endpoint(answer(b"far"))
        entry = await self.open_two(there=[there])
        entry.capacities[:] = [
            ServiceCapacity("there", "model", 1, 1, [RankLoad(0, 1, 0)])
        ]
        for _ in range(20):
            self.assertEqual(200, (await entry.call())[0])
        # The run time is learned from responses of the other region.
        self.assertLess(entry.fleet.run_seconds("model"), 0.25)

    async def test_request_is_forwarded_at_most_once(self):
        # HARD CASE 11: two regions each believe that the other has free
        # capacity. Guards against a forwarding loop.
        entry = await self.open_two()
        started_at = time.monotonic()
        self.assertEqual(503, (await entry.call())[0])
        self.assertLess(time.monotonic() - started_at, 1.0)

    async def test_stream_is_forwarded_across_regions(self):
        entry = await self.open_two(
            there=[Endpoint(events(1, 3))], streams=True
        )
        _, _, body = await entry.call(method=b"POST", body=b"x")
        self.assertIn(event(3), body)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))

    async def test_response_that_ends_with_its_connection_is_forwarded(self):
        # Guards against a broken response that looks whole behind a hop.
        data = event(1) + event(2)
        for streams in (False, True):
            for end, status, is_complete in (
                (True, 200, True),
                (False, 200 if streams else 502, not streams),
            ):
                with self.subTest(streams=streams, end=end):
                    there = Endpoint(unframed(data, end=end))
                    entry = await self.open_two(
                        there=[there], streams=streams, idempotent=False
                    )
                    got, head, body = await entry.call(
                        method=b"POST", body=b"x"
                    )
                    self.assertEqual(status, got)
                    if b"chunked" in head:
                        self.assertEqual(
                            is_complete, body.endswith(b"0\r\n\r\n")
                        )
                    elif end:
                        self.assertEqual(data, body)

    async def test_hop_is_cancelled_when_the_caller_disconnects(self):
        endpoint = Endpoint(never_respond)
        entry = await self.open_two(there=[endpoint])
        task = asyncio.create_task(entry.call())
        await asyncio.sleep(0.2)
        for connection in list(entry.callers.connections):
            connection._transport.abort()
        await asyncio.sleep(0.2)
        other = self.world.entries["there"]
        self.assertEqual({}, other.fleet.read_own_load())
        await asyncio.gather(task, return_exceptions=True)
