"""Tests of requests that crash the endpoints that run them."""

import asyncio

from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import RelayCase

MAX_CRASHES = 3
CRASHING_BODY = b"crash"
RUN_SECONDS = 0.02


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
