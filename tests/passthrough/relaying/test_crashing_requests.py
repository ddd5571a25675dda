"""Tests of requests that crash the endpoints that run them."""

import asyncio

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.fingerprint import make_fingerprint
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import RelayCase

MAX_CRASHES = 3
CRASHING_BODY = b"crash"
RUN_SECONDS = 0.02
FINGERPRINT = make_fingerprint(
    RequestHead(
        method=b"POST",
        target=b"/p/x",
        headers=[(b"Host", b"h")],
        body=CRASHING_BODY,
        keep_alive=False,
        received_at=0.0,
    ),
    None,
)


class CrashingEndpoint(Endpoint):
    """An endpoint that ends with all its connections under one body."""

    def __init__(self):
        """Create an endpoint that serves all other requests."""
        super().__init__(self._run)

    async def _run(self, writer, request_id):
        _, body = self.seen[-1]
        await asyncio.sleep(RUN_SECONDS)
        if body.startswith(CRASHING_BODY):
            await self.close()
        else:
            await answer()(writer, request_id)


class CrashingRequestTest(RelayCase):
    """Requests that crash endpoints of one entry."""

    async def open_entry(self, endpoints=10, **route):
        """Open an entry with some endpoints."""
        self.world = EntryDeployment(**route)
        self.addAsyncCleanup(self.world.close)
        self.endpoints = [CrashingEndpoint() for _ in range(endpoints)]
        return await self.world.open_entry("here", self.endpoints)

    def count_arrivals(self, body=CRASHING_BODY):
        """Return how often endpoints got a body."""
        return sum(
            seen == body
            for endpoint in self.endpoints
            for _, seen in endpoint.seen
        )

    async def test_request_that_crashed_three_endpoints_is_rejected(self):
        # Guards against a request that costs an endpoint whenever it comes.
        entry = await self.open_entry()
        for _ in range(6):
            status, head, _ = await entry.call(
                method=b"POST", body=CRASHING_BODY
            )
        self.assertEqual(MAX_CRASHES, self.count_arrivals())
        self.assertEqual(503, status)
        self.assertNotIn(b"retry-after", head.lower())

    async def test_requests_beside_a_crashing_one_are_served(self):
        # Guards against rejecting what only ran on the same endpoints.
        entry = await self.open_entry(endpoints=30, attempts=3)
        statuses = []

        async def poll(number):
            for _ in range(8):
                status, _, _ = await entry.call(target=b"/p/poll-%d" % number)
                statuses.append(status)
                await asyncio.sleep(0.01)

        polls = [asyncio.create_task(poll(number)) for number in range(20)]
        for _ in range(6):
            await entry.call(method=b"POST", body=CRASHING_BODY)
        await asyncio.gather(*polls)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(MAX_CRASHES, self.count_arrivals())
        self.assertEqual(1, len(entry.ledger.quarantined))

    async def test_copies_at_the_same_time_cost_an_endpoint_each_at_most(self):
        # Guards against retries beside copies whose crashes aren't known yet.
        for copies in (1, 2, 4, 8):
            with self.subTest(copies=copies):
                entry = await self.open_entry(endpoints=30)
                for _ in range(5):
                    await asyncio.gather(
                        *(
                            entry.call(method=b"POST", body=CRASHING_BODY)
                            for _ in range(copies)
                        )
                    )
                self.assertEqual(
                    max(MAX_CRASHES, copies), self.count_arrivals()
                )

    async def test_polls_are_served_after_endpoints_ended_together(self):
        # Guards against a quarantine of sound requests after the endpoints of
        # a data centre were down once.
        entry = await self.open_entry(endpoints=3, attempts=3)
        down, spare = self.endpoints, CrashingEndpoint()
        self.addAsyncCleanup(spare.close)
        await entry.call(target=b"/p/poll")
        polls = [
            asyncio.create_task(entry.call(target=b"/p/poll"))
            for _ in range(12)
        ]
        async with asyncio.timeout(2):
            while min(len(endpoint.seen) for endpoint in down) < 2:
                await asyncio.sleep(0.001)
        entry.add_endpoint("spare", await spare.open())
        await asyncio.gather(*(endpoint.close() for endpoint in down))
        await asyncio.gather(*polls)
        status, _, _ = await entry.call(target=b"/p/poll")
        self.assertEqual(200, status)
        self.assertEqual(frozenset(), entry.ledger.quarantined)

    async def test_other_region_rejects_what_it_knows(self):
        # Guards against a request that goes on to the next region, where it
        # is not known yet, or comes back.
        self.world = EntryDeployment()
        self.addAsyncCleanup(self.world.close)
        self.endpoints = [CrashingEndpoint() for _ in range(4)]
        far = await self.world.open_entry("far", self.endpoints[:2])
        await self.world.open_entry("other", self.endpoints[2:])
        near = await self.world.open_entry("here", capacities=("far", "other"))
        for endpoint_id in "xyz":
            far.ledger.add(FINGERPRINT, endpoint_id, "vm")
        status, head, _ = await near.call(method=b"POST", body=CRASHING_BODY)
        self.assertEqual((503, 0), (status, self.count_arrivals()))
        self.assertNotIn(b"retry-after", head.lower())

    async def test_stream_that_crashes_endpoints_is_not_resumed_for_ever(self):
        entry = await self.open_entry(streams=True, resumable=True, attempts=8)
        await entry.call(method=b"POST", body=CRASHING_BODY)
        self.assertEqual(MAX_CRASHES, self.count_arrivals())

    async def test_request_that_waited_is_checked_again(self):
        # Guards against sending what was found out while it was in the line.
        entry = await self.open_entry(endpoints=2)
        choose = entry.fleet.choose

        def learn_while_choosing(**arguments):
            for endpoint_id in "xyz":
                entry.ledger.add(FINGERPRINT, endpoint_id, "vm")
            return choose(**arguments)

        entry.fleet.choose = learn_while_choosing
        status, _, _ = await entry.call(method=b"POST", body=CRASHING_BODY)
        self.assertEqual((503, 0), (status, self.count_arrivals()))
