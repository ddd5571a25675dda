"""Tests of when the listener may end a connection."""

import asyncio
import sys
import time
import unittest

from loguru import logger
import uvloop

from burdockdrum.metrics import Metrics
from burdockdrum.pauses import PauseDetector
from burdockdrum.system_ports import SystemClock
from tests.http1.wire import ListenerCase

REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"


class ConnectionEndTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """A request that was read gets a response."""

    async def asyncSetUp(self):
        self.received_at = []
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        await self.open(self.handle)
        self.addAsyncCleanup(self.close_listener)

    async def close_listener(self):
        await self.listener.close()

    async def handle(self, exchange):
        """Respond with a stream that ends when the test allows it."""
        self.received_at.append(exchange.request.received_at)
        exchange.start(200, [])
        exchange.write(exchange.request.target)
        await self.may_finish.wait()
        exchange.finish()

    async def read_response(self, reader):
        """Return the head and the body of the next response."""
        async with asyncio.timeout(2):
            head = await reader.readuntil(b"\r\n\r\n")
            return head, await reader.readuntil(b"0\r\n\r\n")

    async def test_pipelined_request_is_timed_from_its_own_bytes(self):
        # Guards against a deadline that has passed before the request came.
        began = time.monotonic()
        reader, writer = await self.connect()
        writer.write(REQUEST % 1 + REQUEST % 2)
        for _ in range(2):
            await self.read_response(reader)
        self.assertGreaterEqual(min(self.received_at), began)
        writer.close()

    async def test_kept_connection_stays_open_when_a_drain_begins(self):
        # Guards against dropping the next request on a connection whose last
        # response promised to keep it.
        self.may_finish.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST % 1)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"connection: close", head)
        self.listener.draining = True
        self.may_finish.set()
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(REQUEST % 2)
        head, body = await self.read_response(reader)
        self.assertIn(b"connection: close", head)
        self.assertIn(b"/2", body)
        writer.close()

    async def test_pipelined_request_is_served_before_a_drain_closes(self):
        # Guards against dropping a request that was read before the response
        # to the one before it said that the connection closes.
        self.listener.draining = True
        reader, writer = await self.connect()
        writer.write(REQUEST % 1 + REQUEST % 2)
        head, _ = await self.read_response(reader)
        self.assertNotIn(b"connection: close", head)
        head, body = await self.read_response(reader)
        self.assertIn(b"connection: close", head)
        self.assertIn(b"/2", body)
        writer.close()

    async def test_partly_read_request_is_served_before_a_drain_closes(self):
        # Guards against dropping a request that has begun to arrive.
        self.listener.draining = True
        reader, writer = await self.connect()
        writer.write(REQUEST % 1 + (REQUEST % 2)[:9])
        head, _ = await self.read_response(reader)
        self.assertNotIn(b"connection: close", head)
        writer.write((REQUEST % 2)[9:])
        _, body = await self.read_response(reader)
        self.assertIn(b"/2", body)
        writer.close()

    async def test_each_end_has_a_cause(self):
        # Guards against connections that end without a word for operators.
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        await self.listener.close()
        await self.open(end_as_told, idle_seconds=0.2, header_seconds=0.2)
        cases = {
            "response_sent": b"GET /whole HTTP/1.0\r\n\r\n",
            "response_cut": b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n",
            "no_response": b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n",
            "handler_failed": b"GET /fail HTTP/1.1\r\nHost: x\r\n\r\n",
            "rejected": b"GET\r\n\r\n",
            "request_timed_out": b"GET /",
            "idle": b"",
        }
        for cause, data in cases.items():
            with self.subTest(cause):
                self.ends.clear()
                await self.send(data)
                self.assertEqual([cause], self.ends)
        self.ends.clear()
        _, writer = await self.connect()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        await self.listener.close()
        self.assertEqual(["stopped_with_request"], self.ends)
        writer.close()

    async def test_second_head_is_not_written_into_a_body(self):
        # Guards against a handler that responds after its stream has begun.
        async def respond_twice(exchange):
            exchange.start(200, [])
            exchange.write(b"part")
            exchange.respond(503, [], b"refused")

        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        await self.listener.close()
        await self.open(respond_twice)
        answer = await self.send(REQUEST % 1)
        self.assertNotIn(b"refused", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))


class PausedListenerTest(ListenerCase, unittest.TestCase):
    """A listener whose process is stopped, on the event loop of the VMs."""

    def test_request_that_arrives_in_a_pause_is_served(self):
        # Guards against closing an idle connection, or giving up a request,
        # before what arrived while this process was stopped is read.
        for begun in (0, 9):
            with (
                self.subTest(begun=begun),
                asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
            ):
                answer = runner.run(self.request_in_pause(begun))
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    async def request_in_pause(self, begun):
        """Stop while a request arrives; return the response."""
        detector = PauseDetector(clock=SystemClock(), metrics=Metrics())
        ticks = asyncio.create_task(detector.run())
        self.awake_seconds_since = detector.awake_seconds_since
        await self.open(respond, idle_seconds=0.5, header_seconds=0.5)
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.http1.pausing_client",
            self.listener.address.rpartition(":")[2],
            str(begun),
            stdout=asyncio.subprocess.PIPE,
        )
        answer, _ = await client.communicate()
        ticks.cancel()
        await self.listener.close()
        return answer


async def respond(exchange):
    """Respond at once."""
    exchange.respond(200, [], b"")


async def end_as_told(exchange):
    """End a response as its target says."""
    match exchange.request.target:
        case b"/whole":
            exchange.respond(200, [], b"")
        case b"/cut":
            exchange.start(200, [])
        case b"/fail":
            raise ValueError("a fault")
        case b"/wait":
            await asyncio.sleep(60)
