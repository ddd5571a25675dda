"""Tests of endpoints whose bytes don't end, over loopback sockets."""

import asyncio
from unittest import mock

from burdockdrum.http1 import ConnectionPool
from burdockdrum.passthrough.relaying.health_checker import HealthChecker
from tests.http1.endless import BODY_BY_KIND
from tests.http1.endless import EndlessServer
from tests.http1.endless import OVERHEAD_BY_KIND
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import RelayCase
from tests.passthrough.fakes import make_endpoint

SECONDS = 5
CALLERS_BYTES = 3_000_000


class EndlessEndpointTest(RelayCase):
    """Requests to endpoints that send more and more until they are closed."""

    async def open_endless(self, start, repeated, *others, **route):
        server = EndlessServer(start, repeated)
        entry = await self.open(server, *others, **route)
        return server, entry

    async def test_attempt_is_lost_with_the_limit_as_its_reason(self):
        # Else the request waits for its deadline, and neither a log line nor
        # the endpoint's health says what happened.
        for kind, (start, repeated) in OVERHEAD_BY_KIND.items():
            with self.subTest(kind):
                server, entry = await self.open_endless(
                    start, repeated, attempts=1
                )
                with mock.patch(
                    "burdockdrum.passthrough.relaying.request_log.log_failure"
                ) as log:
                    async with asyncio.timeout(SECONDS):
                        status, _, _ = await entry.call()
                        await server.ended.wait()
                self.assertEqual(502, status)
                line = log.call_args_list[0].kwargs
                self.assertEqual("Lost", line["outcome"])
                self.assertRegex(line["reason"], "over the limit of [0-9]+")
                health = entry.fleet.health_of(entry.registered["here-0"])
                self.assertGreater(health.score, 0)
                await self.world.close()

    async def test_another_endpoint_answers_in_time(self):
        # Guards against a deadline that passes while a head is read.
        for kind in ("header value", "skipped body", "interim responses"):
            with self.subTest(kind):
                endless = [
                    EndlessServer(*OVERHEAD_BY_KIND[kind]) for _ in range(2)
                ]
                sound = Endpoint(answer(b"whole"))
                entry = await self.open(*endless, sound, attempts=3)
                for _ in range(3):
                    async with asyncio.timeout(SECONDS):
                        status, _, body = await entry.call()
                    self.assertEqual((200, b"whole"), (status, body))
                await self.world.close()

    async def test_hop_is_lost_with_the_limit_as_its_reason(self):
        # Another entry may be as faulty as an endpoint.
        for kind, script in OVERHEAD_BY_KIND.items():
            with self.subTest(kind):
                server = EndlessServer(*script)
                address = await server.open()
                self.addAsyncCleanup(server.close)
                self.world = EntryDeployment(attempts=1)
                self.addAsyncCleanup(self.world.close)
                entry = await self.world.open_entry(
                    "here", capacities=("there",)
                )
                there = await self.world.open_entry("there")
                there.vms = mock.Mock(address=address)
                async with asyncio.timeout(SECONDS):
                    status, _, body = await entry.call()
                    await server.ended.wait()
                self.assertEqual(502, status)
                self.assertIn(b"over the limit of", body)

    async def test_endless_error_body_is_lost(self):
        # Error bodies are read whole, so their size is limited.
        for kind in ("error body", "body without provenance"):
            with self.subTest(kind):
                server, entry = await self.open_endless(
                    *BODY_BY_KIND[kind], attempts=1
                )
                async with asyncio.timeout(SECONDS):
                    status, _, _ = await entry.call()
                    await server.ended.wait()
                self.assertEqual(502, status)

    async def test_endless_event_is_lost(self):
        # An event is held back until its end, to go on after a failure.
        server, entry = await self.open_endless(
            *BODY_BY_KIND["chunked body"], attempts=1, streams=True
        )
        async with asyncio.timeout(SECONDS):
            status, _, body = await entry.call()
            await server.ended.wait()
        self.assertEqual(502, status)
        self.assertIn(b"event exceeds", body)

    async def test_surplus_ends_the_connection(self):
        # The response is right; what follows is nobody's.
        for kind in ("surplus", "surplus responses"):
            with self.subTest(kind):
                server, entry = await self.open_endless(*BODY_BY_KIND[kind])
                async with asyncio.timeout(SECONDS):
                    status, _, body = await entry.call()
                    await server.ended.wait()
                self.assertEqual((200, b"ok"), (status, body))

    async def test_long_body_is_passed_on_at_the_pace_of_its_reader(self):
        # The limits must not end a body that is right but long.
        for kind in ("unframed body", "chunked body"):
            with self.subTest(kind):
                server, entry = await self.open_endless(*BODY_BY_KIND[kind])
                reader, writer = await call(entry)
                async with asyncio.timeout(3 * SECONDS):
                    await reader.readexactly(CALLERS_BYTES)
                    sent = -1
                    while sent != server.sent:
                        sent = server.sent
                        await asyncio.sleep(0.1)
                    # The caller gets more; its end ends the endpoint.
                    await reader.readexactly(CALLERS_BYTES)
                    writer.transport.abort()
                    await server.ended.wait()

    async def test_health_check_ends_with_the_head(self):
        # A check reads no body, and a head without end is an answer too.
        pool = ConnectionPool(id_header=b"x-request-id")
        checker = HealthChecker(
            pool=pool,
            read_path=lambda service: "/health",
            observe=lambda endpoint, head: None,
        )
        for kind, script in (OVERHEAD_BY_KIND | BODY_BY_KIND).items():
            with self.subTest(kind):
                server = EndlessServer(*script)
                address = await server.open()
                self.addAsyncCleanup(server.close)
                async with asyncio.timeout(SECONDS):
                    await checker.check(make_endpoint("e", address=address))
                    await server.ended.wait()
        self.assertEqual({}, pool.open_by_address)


async def call(entry):
    """Send a request; return the caller's reader and writer."""
    host, _, port = entry.callers.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
        b"X-Deadline-Ms: 60000\r\nConnection: close\r\n\r\n"
    )
    return reader, writer
