"""Tests of the daemon's HTTP listener within the limits of its process."""

import asyncio
import unittest
from unittest import mock

from blacksheep import Application
from blacksheep.contents import Content
from blacksheep.messages import Response
from blacksheep.server.routing import Router

from burdockdrum.overload import ConnectionLimit
from burdockdrum.overload import MemoryBudget
from burdockdrum.overload import ProcessLimits
from burdockdrum.web import bind
from burdockdrum.web.guard import guard
from burdockdrum.web.reading import read_body
from burdockdrum.web.server import WebServer

KIB = 1024
MAX_BODY_BYTES = 4096 * KIB
GET = b"GET /count HTTP/1.1\r\nhost: x\r\n\r\n"


def chunked(size, chunk_bytes):
    """Return a whole request in chunks of one size."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return (
        b"POST /count HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
        b"connection: close\r\n\r\n"
        + chunk * (size // chunk_bytes)
        + b"0\r\n\r\n"
    )


def unfinished(size, *headers):
    """Return a request of which the last byte is missing."""
    lines = [b"POST /count HTTP/1.1", b"host: x", *headers]
    head = b"\r\n".join([*lines, b"content-length: %d" % size, b"", b""])
    return head + bytes(size - 1)


class ProtocolTest(unittest.IsolatedAsyncioTestCase):
    """Room for one large request beside small ones, and 16 connections."""

    async def asyncSetUp(self):
        async def count(request, request_id):
            body = await read_body(request, MAX_BODY_BYTES)
            text = b"%d bytes" % len(body)
            return Response(200, None, Content(b"text/plain", text))

        router = Router()
        router.add_get("/count", guard(count))
        router.add_post("/count", guard(count))
        listener = bind("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        self.limits = ProcessLimits(
            memory=MemoryBudget(limit=900 * KIB),
            connections=ConnectionLimit(limit=16),
            backlog=16,
        )
        self.web = WebServer(
            application=Application(router=router),
            listener=listener,
            process_limits=self.limits,
        )
        running = asyncio.create_task(self.web.run())
        self.addAsyncCleanup(asyncio.wait_for, running, 5)
        self.addCleanup(self.web.stop)
        await asyncio.sleep(0.05)

    async def open(self, data):
        """Send bytes on a new connection that stays open."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        async with asyncio.timeout(5):
            await writer.drain()
        return reader

    async def read(self, reader):
        """Return everything up to the end of a connection."""
        async with asyncio.timeout(5):
            return await reader.read()

    async def test_body_in_small_chunks_is_whole(self):
        """Guards against a legal body that is refused or loses a part."""
        data = chunked(1024 * KIB, 2)
        answer = await self.read(await self.open(data))
        self.assertTrue(answer.endswith(b"1048576 bytes"))

    async def test_all_requests_behind_each_other_are_served(self):
        """Guards against a rest that is never parsed."""
        count = 1000
        reader = await self.open(GET * count)
        for _ in range(count):
            async with asyncio.timeout(5):
                await reader.readuntil(b"\r\n\r\n0 bytes")

    async def test_head_over_the_limit_is_refused(self):
        head = b"GET /count HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 100 * KIB
        answer = await self.read(await self.open(head))
        self.assertIn(b" 431 ", answer)

    async def test_endless_bytes_beside_the_body_are_refused(self):
        """Guards against memory for trailers without end."""
        head = b"POST /count HTTP/1.1\r\nhost: x\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"
        for kind in (b"0\r\nx: ", b"1;x="):
            with self.subTest(kind):
                reader = await self.open(head + kind + b"a" * 200 * KIB)
                self.assertIn(b" 400 ", await self.read(reader))

    async def test_largest_incomplete_request_gives_way(self):
        first = await self.open(unfinished(700 * KIB))
        keyed = await self.open(
            unfinished(300 * KIB, b"idempotency-key: k", b"x: y")
        )
        answer = await self.read(first)
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"retry-after: 1", answer)
        self.assertIn(b"x-verdict: not run", answer)
        smaller = await self.open(unfinished(250 * KIB))
        await self.open(unfinished(240 * KIB))
        answer = await self.read(keyed)
        self.assertIn(b"x-verdict: may have run", answer)
        self.assertFalse(smaller.at_eof())

    async def test_everything_is_given_back(self):
        """Guards against room that is lost with each request."""
        await self.read(await self.open(chunked(512 * KIB, 64 * KIB)))
        reader = await self.open(unfinished(700 * KIB) + b"x" + GET)
        async with asyncio.timeout(5):
            await reader.readuntil(b"\r\n\r\n0 bytes")
        self.assertEqual(0, self.limits.memory.used)

    async def test_idle_connections_make_room(self):
        for _ in range(40):
            await self.open(b"")
        reader = await self.open(GET)
        async with asyncio.timeout(5):
            await reader.readuntil(b"\r\n\r\n0 bytes")
        self.assertLessEqual(self.limits.connections.count, 16)

    async def test_request_that_does_not_arrive_is_ended(self):
        with mock.patch("burdockdrum.web.protocol.ARRIVAL_SECONDS", 0.2):
            reader = await self.open(unfinished(100))
            self.assertEqual(b"", await self.read(reader))
