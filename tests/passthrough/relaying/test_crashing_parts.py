"""Tests of prompt parts under which the endpoints that run them end."""

import asyncio
import itertools

from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import RelayCase

CRASHING_PART = b"bad"
RUN_SECONDS = 0.02
# Crashes after which a part must be known, and further arrivals allowed.
MAX_CRASHES = 5
MAX_LATE_ARRIVALS = 3
# Requests with the part come one after the other in this interval.
INTERVAL_SECONDS = 0.3


class CrashingEndpoint(Endpoint):
    """An endpoint that ends while it runs a prompt with a certain part."""

    def __init__(self):
        """Create an endpoint that serves all other requests."""
        super().__init__(self._run)
        self.arrivals = 0

    async def _run(self, writer, request_id):
        head, _ = self.seen[-1]
        parts = (header(head, b"x-prompt-parts") or b"").split(b",")
        is_crashing = any(p.startswith(CRASHING_PART + b":") for p in parts)
        self.arrivals += is_crashing
        await asyncio.sleep(RUN_SECONDS)
        if is_crashing:
            await self.close()
        else:
            await answer()(writer, request_id)


class CrashingPartTest(RelayCase):
    """Requests of which no two are alike, and some share a crashing part."""

    async def open_entry(self, endpoints=60, **route):
        """Open an entry with some endpoints."""
        self.world = EntryDeployment(**route)
        self.addAsyncCleanup(self.world.close)
        self.endpoints = [CrashingEndpoint() for _ in range(endpoints)]
        self.numbers = itertools.count()
        self.entry = await self.world.open_entry("here", self.endpoints)

    def count_arrivals(self):
        """Return how many requests with the part reached endpoints."""
        return sum(endpoint.arrivals for endpoint in self.endpoints)

    async def call(self, *parts, model=b"m"):
        """Send a request that no other one equals; return the status."""
        number = next(self.numbers)
        named = [*parts, b"own-%d" % number]
        status, self.head, _ = await self.entry.call(
            b"X-Prompt-Parts: " + b",".join(name + b":10" for name in named),
            b"X-Model: " + model,
            method=b"POST",
            target=b"/p/%d" % number,
            body=b"%d" % number,
        )
        return status

    async def call_in_series(self, count, *parts, copies=1):
        """Send requests with the crashing part one after the other."""
        statuses = []
        for _ in range(count):
            calls = [self.call(*parts) for _ in range(copies)]
            statuses += await asyncio.gather(*calls)
            await asyncio.sleep(INTERVAL_SECONDS)
        return statuses

    async def test_part_is_rejected_though_no_two_requests_are_alike(self):
        # Guards against endpoints that end one by one under requests that
        # are known only as a whole.
        await self.open_entry()
        statuses = await self.call_in_series(20, b"first", CRASHING_PART)
        self.assertLessEqual(
            self.count_arrivals(), MAX_CRASHES + MAX_LATE_ARRIVALS
        )
        self.assertEqual(503, statuses[-1])
        self.assertNotIn(b"retry-after", self.head.lower())

    async def test_requests_with_the_same_first_part_are_served(self):
        # Guards against blaming the part that a route's requests share.
        await self.open_entry()
        sound = []

        async def send_sound():
            while True:
                sound.append(await self.call(b"first"))
                await asyncio.sleep(0.05)

        task = asyncio.create_task(send_sound())
        await self.call_in_series(20, b"first", CRASHING_PART)
        before = len(sound)
        await asyncio.sleep(1.0)
        task.cancel()
        self.assertLessEqual(
            self.count_arrivals(), MAX_CRASHES + MAX_LATE_ARRIVALS
        )
        self.assertEqual({200}, set(sound[before:]))
