"""Tests of prompt parts under which the endpoints that run them end."""

import asyncio
import itertools

from burdockdrum.crashes import is_part
from burdockdrum.passthrough.protocol.fingerprint import make_part_fingerprint
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

    async def test_part_in_any_position_is_rejected(self):
        for parts in ((CRASHING_PART,), (CRASHING_PART, b"a"), (b"a", b"b")):
            with self.subTest(parts=parts):
                await self.open_entry()
                await self.call_in_series(
                    12, *dict.fromkeys((*parts, CRASHING_PART))
                )
                self.assertLessEqual(
                    self.count_arrivals(), MAX_CRASHES + MAX_LATE_ARRIVALS
                )

    async def test_requests_at_once_cost_few_endpoints(self):
        # Guards against requests that pass before the part is known.
        await self.open_entry()
        await self.call_in_series(8, b"first", CRASHING_PART, copies=4)
        before = self.count_arrivals()
        await self.call_in_series(2, b"first", CRASHING_PART, copies=4)
        self.assertEqual(before, self.count_arrivals())
        self.assertLessEqual(before, 4 + MAX_CRASHES + MAX_LATE_ARRIVALS)

    async def test_last_part_is_never_suspected(self):
        # Guards against rejecting a session for one request of it.
        await self.open_entry()
        await self.call(b"first", CRASHING_PART)
        parts = set(filter(is_part, self.entry.ledger.suspects()))
        expected = {
            make_part_fingerprint("m", part) for part in ("first", "BAD")
        }
        self.assertEqual(expected, parts)

    async def test_same_part_of_another_model_is_served(self):
        await self.open_entry()
        await self.call_in_series(8, CRASHING_PART)
        self.assertEqual(503, await self.call(CRASHING_PART))
        before = self.count_arrivals()
        await self.call(CRASHING_PART, model=b"other")
        self.assertGreater(self.count_arrivals(), before)

    async def test_endpoints_that_end_of_other_causes_blame_no_part(self):
        # Guards against rejecting what many requests share because many
        # endpoints end at the same time.
        await self.open_entry()

        async def send():
            while True:
                await self.call(b"first", b"second")

        tasks = [asyncio.create_task(send()) for _ in range(20)]
        for endpoints in (self.endpoints[:12], self.endpoints[12:24]):
            await asyncio.sleep(0.5)
            await asyncio.gather(*(e.close() for e in endpoints))
        await asyncio.sleep(0.5)
        self.assertEqual(200, await self.call(b"first", b"second"))
        for task in tasks:
            task.cancel()
        self.assertEqual(frozenset(), self.entry.ledger.quarantined)
