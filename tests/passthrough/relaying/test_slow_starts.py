"""Tests of endpoints in slow start, over loopback sockets."""

import asyncio
import dataclasses
import time

from burdockdrum.resources import Backend
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import NAMES
from tests.passthrough.entries import RelayCase
from tests.pauses.blocking import block_event_loop

BACKEND = Backend(name="model", cold_requests_per_second=3.3)
REQUESTS = 20
SLOW_START_SECONDS = 3.0
# What an endpoint in slow start tolerates in a second.
MAX_IN_A_SECOND = 1.5 * BACKEND.cold_requests_per_second + 3


class SlowStartTest(RelayCase):
    """Requests that are on their way to an endpoint in slow start."""

    async def open_endpoint(self):
        """Open an entry with one endpoint, which is warm."""
        self.endpoint = Endpoint(answer(b"ok"))
        self.world = EntryDeployment(timeout_seconds=2.0)
        self.addAsyncCleanup(self.world.close)
        self.world.configuration.apply(
            routes=[self.world.route], backends=[BACKEND]
        )
        self.entry = await self.world.open_entry("here", [self.endpoint])

    def begin_slow_start(self):
        """Let the entry learn that the endpoint has begun a slow start."""
        registered = self.entry.registered
        registered["here-0"] = dataclasses.replace(
            registered["here-0"],
            slow_start_until=time.monotonic() + SLOW_START_SECONDS,
        )

    async def call_many(self):
        """Send requests at the same moment; return the responses."""
        calls = (
            self.entry.call(request_id=b"r%d" % number)
            for number in range(REQUESTS)
        )
        return await asyncio.gather(*calls)

    def check(self, responses):
        """Check that few requests arrived and others were told when."""
        self.assertLessEqual(len(self.endpoint.seen), MAX_IN_A_SECOND)
        for status, head, _ in responses:
            if status == 200:
                continue
            self.assertEqual(503, status)
            self.assertIn(b"retry-after", head.lower())

    async def test_requests_that_wait_for_a_connection_ask_the_gate(self):
        # Guards against requests that were assigned to a warm endpoint and
        # are all written when it listens again, cold.
        await self.open_endpoint()
        pool = self.entry.attempts._endpoint_pool
        connect = pool.open
        is_listening = asyncio.Event()

        async def open_late(address, *, timeout):
            await is_listening.wait()
            return await connect(address, timeout=timeout)

        pool.open = open_late
        calls = asyncio.create_task(self.call_many())
        await asyncio.sleep(0.2)
        self.begin_slow_start()
        is_listening.set()
        self.check(await calls)

    async def test_requests_that_wait_for_places_ask_the_gate(self):
        # Guards against requests that all pass the gate before the first of
        # them is counted, as each waits for a place.
        await self.open_endpoint()
        places = self.entry.relay._runner._finder._places
        acquire = places.acquire

        async def acquire_late(endpoint, seconds_left):
            await asyncio.sleep(0.1)
            return await acquire(endpoint, seconds_left)

        places.acquire = acquire_late
        self.begin_slow_start()
        self.check(await self.call_many())

    async def test_requests_of_a_pause_ask_the_gate(self):
        # Guards against requests that a pause of the entry held up and that
        # arrive together.
        await self.open_endpoint()
        self.begin_slow_start()
        calls = asyncio.create_task(self.call_many())
        await asyncio.sleep(0)
        block_event_loop(0.5)
        self.check(await calls)

    async def test_slow_start_in_a_health_response_is_kept_to(self):
        # Guards against a flood at an endpoint whose check-ins have not told
        # its slow start yet, while its health responses have.
        for responder, value, is_known in (
            (b"here-0", b"3000", True),
            (b"another", b"3000", False),
            (b"here-0", b"soon", False),
        ):
            with self.subTest(responder=responder, value=value):
                await self.open_endpoint()
                self.endpoint.behaviours = [
                    answer(
                        b"",
                        b"200 OK",
                        NAMES.responder + b": " + responder,
                        NAMES.slow_start + b": " + value,
                        has_provenance=False,
                    )
                ]
                registered = self.entry.registered["here-0"]
                await self.entry.prober._check_health(registered)
                self.assertEqual(
                    is_known,
                    self.entry.fleet.is_in_slow_start(registered, BACKEND),
                )
