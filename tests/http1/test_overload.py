"""Tests of a listener whose requests hold more than there is room for."""

import asyncio
import unittest

from burdockdrum.http1 import find_header
from burdockdrum.http1 import Limits
from burdockdrum.http1.receiver import CHUNKED_READ_BYTES
from burdockdrum.overload import ConnectionLimit
from burdockdrum.overload import MemoryBudget
from burdockdrum.overload import ProcessLimits
from tests.http1.wire import ListenerCase

KIB = 1024
BODY_BYTES = 512 * KIB
SMALL = b"GET /s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def post(size, sent, *, request_id=b"r1"):
    """Return a request of which not all is sent."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\nContent-Length: %d"
    return head % (request_id, size) + b"\r\n\r\n" + bytes(sent)


class OverloadTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """Room for one large request beside small ones, and 16 connections."""

    async def asyncSetUp(self):
        self.process_limits = ProcessLimits(
            memory=MemoryBudget(limit=900 * KIB),
            connections=ConnectionLimit(limit=16),
            backlog=16,
        )
        self.handled = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        await self.open(self.respond, header_seconds=1.0)
        self.addAsyncCleanup(self.listener.close)

    async def respond(self, exchange):
        self.handled.append(exchange.request.target)
        await self.may_respond.wait()
        exchange.respond(200, [], b"%d" % len(exchange.request.body))

    def describe_refusal(self, headers):
        value = find_header(headers, b"x-id")
        return [] if value is None else [(b"x-id", value)]

    async def send_parts(self, data):
        """Send bytes on a new connection that stays open."""
        reader, writer = await self.connect()
        self.addCleanup(writer.close)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        return reader

    async def test_large_request_that_has_not_arrived_gives_way(self):
        first = await self.send_parts(post(BODY_BYTES, BODY_BYTES - 1))
        second = post(400 * KIB, 400 * KIB, request_id=b"r2")
        answer = await (await self.send_parts(second)).readuntil(b"409600")
        self.assertIn(b"200 OK", answer)
        answer = await first.read()
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"retry-after: ", answer)
        self.assertIn(b"x-id: r1", answer)
        self.assertEqual([b"/"], self.handled)
        self.assertIn("shed", self.ends)

    async def test_refused_request_is_never_handled(self):
        """Guards against a promise that a request has not run."""
        self.may_respond.clear()
        first = await self.send_parts(post(BODY_BYTES, BODY_BYTES))
        refused = await self.send_parts(post(BODY_BYTES, BODY_BYTES))
        self.assertIn(b" 503 ", await refused.read())
        self.may_respond.set()
        self.assertIn(b"200 OK", await first.readuntil(b"\r\n"))
        self.assertEqual([b"/"], self.handled)

    async def test_small_requests_are_served_beside_large_ones(self):
        await self.send_parts(post(BODY_BYTES, BODY_BYTES - 1))
        self.assertIn(b"200 OK", await self.send(SMALL))

    async def test_everything_is_given_back(self):
        """Guards against room that is lost with each request."""
        await self.send_parts(post(BODY_BYTES, BODY_BYTES - 1))
        await self.send_parts(post(10, 9))
        await self.send(SMALL * 3)
        await self.send(post(BODY_BYTES, BODY_BYTES)[:-1] + b"\n" + SMALL)
        for connection in list(self.listener.connections):
            connection.stop()
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.process_limits.memory.used)
        self.assertEqual(0, self.process_limits.connections.count)

    async def test_parsing_stops_when_enough_requests_wait(self):
        """Guards against thousands of requests of a single read."""
        self.may_respond.clear()
        count = 300
        reader = await self.send_parts(
            b"GET /p HTTP/1.1\r\nHost: x\r\n\r\n" * count
        )
        (connection,) = self.listener.connections
        self.assertLess(len(connection._pending), 60)
        self.may_respond.set()
        for _ in range(count):
            self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n0"))
        self.assertEqual(count, len(self.handled))

    async def test_time_of_parsing_is_not_the_callers(self):
        """Guards against a timeout for a request that was sent in time."""
        self.limits = Limits(header_seconds=0.2)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"
        reader, writer = await self.connect()
        self.addCleanup(writer.close)
        writer.write(head + body)
        answer = await reader.read()
        self.assertIn(b"200 OK", answer)
        self.assertTrue(answer.endswith(b"524288"))

    async def test_caller_that_pauses_between_full_reads_is_timed_out(self):
        """Guards against a request that takes as long as its caller likes."""
        self.limits = Limits(header_seconds=0.3)
        head = b"POST / HTTP/1.1\r\nHost: x\r\n"
        reader, writer = await self.connect()
        self.addCleanup(writer.close)
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        size = CHUNKED_READ_BYTES - 8
        block = b"%06x\r\n" % (size - 2) + bytes(size - 2) + b"\r\n"
        answer = asyncio.create_task(reader.readline())
        async with asyncio.timeout(5):
            while not answer.done():
                writer.write(block)
                await asyncio.sleep(0.1)
        self.assertIn(b" 408 ", answer.result())

    async def test_idle_connections_make_room(self):
        """Guards against callers that are refused beside unused ones."""
        for _ in range(40):
            await self.connect()
        self.assertIn(b"200 OK", await self.send(SMALL))
        self.assertLessEqual(self.process_limits.connections.count, 16)

    async def test_response_that_nobody_reads_gives_way(self):
        """Guards against memory for responses without a limit."""

        async def respond(exchange):
            exchange.respond(200, [], bytes(600 * KIB))

        await self.listener.close()
        await self.open(respond)
        for _ in range(8):
            reader, writer = await self.connect()
            self.addCleanup(writer.close)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 60)
        async with asyncio.timeout(5):
            while "slow_reader" not in self.ends:
                await asyncio.sleep(0.05)
        self.assertLessEqual(self.process_limits.memory.used, 900 * KIB)
