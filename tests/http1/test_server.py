"""Tests of the listener with raw requests."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.http1 import Limits
from tests.http1.wire import ListenerCase

BODY_BYTES = 1024 * 1024


async def echo(exchange):
    request = exchange.request
    body = request.method + b" " + request.target + b" " + request.body
    exchange.respond(200, [], body)


class ServerTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """Valid and malformed requests."""

    async def asyncSetUp(self):
        self.handled = 0

        async def count(exchange):
            self.handled += 1
            await echo(exchange)

        await self.open(count)
        self.addAsyncCleanup(self.close_listener)

    async def close_listener(self):
        await self.listener.close()

    async def test_pipelined_requests_are_served_in_order(self):
        answer = await self.send(
            b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Connection: close\r\n\r\nhi"
        )
        self.assertLess(answer.index(b"GET /a "), answer.index(b"POST /b hi"))

    async def test_chunked_body_is_joined(self):
        answer = await self.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        self.assertTrue(answer.endswith(b"POST / abc"))

    async def test_trailers_are_no_headers(self):
        # Guards against headers that the limits on a head never saw.
        names = []

        async def list_names(exchange):
            names.extend(name for name, _ in exchange.request.headers)
            exchange.respond(200, [], b"")

        await self.close_listener()
        await self.open(list_names)
        await self.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n1\r\na\r\n0\r\nX-Late: 1\r\n\r\n"
        )
        self.assertNotIn(b"X-Late", names)

    async def test_address_of_the_caller_is_known(self):
        # Refused callers are told apart by it.
        hosts = []

        async def list_hosts(exchange):
            hosts.append(exchange.request.peer_host)
            exchange.respond(200, [], b"")

        await self.close_listener()
        await self.open(list_hosts)
        await self.send(
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        self.assertEqual(["127.0.0.1"], hosts)

    async def test_endless_bytes_beside_the_body_are_rejected(self):
        # Guards against memory for trailers and chunk extensions without end.
        begin = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for kind in (b"0\r\nX: ", b"1;x="):
            with self.subTest(kind):
                reader, writer = await self.connect()
                writer.write(begin)
                await asyncio.sleep(0.05)
                writer.write(kind)
                for _ in range(16):
                    writer.write(b"a" * 16 * 1024)
                    await asyncio.sleep(0.01)
                async with asyncio.timeout(2):
                    answer = await reader.readuntil(b"\r\n")
                writer.close()
                self.assertIn(b" 400 ", answer)

    async def test_request_smuggling_is_rejected(self):
        # Two parsers would disagree about where these requests end.
        smuggled = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd",
            b"GET / HTTP/1.1\nHost: x\n\n",
            b"GET / HTTP/1.1\r\nHost: x\r\n folded: y\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked"
            b"\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n3\nabc\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        )
        for data in smuggled:
            with self.subTest(data=data):
                answer = await self.send(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(0, self.handled)

    async def test_changed_limits_apply_to_open_connections(self):
        reader, writer = await self.connect()
        large = b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 900 + b"\r\n\r\n"
        writer.write(large)
        self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n"))
        self.limits = Limits(header_bytes=500, body_bytes=10)
        writer.write(large)
        rest = await reader.read()
        self.assertIn(b"431 ", rest)
        writer.close()
        answer = await self.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n"
        )
        self.assertIn(b"413 ", answer)
        answer = await self.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\nb\r\n" + b"z" * 11 + b"\r\n0\r\n\r\n"
        )
        self.assertIn(b"413 ", answer)

    async def test_rejection_arrives_while_the_body_is_sent(self):
        # Guards against a reset by unread bytes, which takes the response
        # with it.
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % (16 * BODY_BYTES))
        for _ in range(16):
            writer.write(bytes(BODY_BYTES))
            await asyncio.sleep(0.01)
        async with asyncio.timeout(5):
            answer = await reader.read()
        self.assertIn(b"413 ", answer)
        writer.close()

    async def test_caller_that_goes_on_sending_is_disconnected(self):
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % 10**9)
        await reader.read()
        self.assertEqual(1, len(self.listener.connections))
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(5):
                while True:
                    writer.write(b"x")
                    await writer.drain()
                    await asyncio.sleep(0.05)
        self.assertEqual(0, len(self.listener.connections))

    async def test_incomplete_head_times_out_with_a_response(self):
        self.limits = Limits(header_seconds=0.1)
        answer = await self.send(b"GET / HTTP/1.1\r\nHost:")
        self.assertIn(b"408 ", answer)

    async def test_idle_timeout_restarts_after_a_request(self):
        self.limits = Limits(idle_seconds=0.4)
        reader, writer = await self.connect()
        await asyncio.sleep(0.3)
        writer.write(b"GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n"))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await reader.read()
        self.assertGreater(loop.time() - started_at, 0.3)
        writer.close()

    async def test_expect_continue_is_answered_before_the_body(self):
        reader, writer = await self.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertIn(b"100 Continue", await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"z")
        self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async def test_draining_listener_closes_after_the_response(self):
        # A request on an open connection is served; the response tells the
        # caller to close.
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\nGET / ")
        self.listener.draining = True
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await reader.read()
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"connection: close", answer)
        writer.close()


class HandlerTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """Disconnects, exceptions and slow readers while a handler runs."""

    async def asyncTearDown(self):
        await self.listener.close()

    async def test_handler_is_cancelled_when_the_caller_disconnects(self):
        # Without this an endpoint works on until the response is written.
        ended = asyncio.Event()

        async def wait(exchange):
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        await self.open(wait)
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(0.5):
            await ended.wait()

    async def test_incomplete_response_has_no_last_chunk(self):
        # A caller must be able to detect that a response is truncated.
        async def truncate(exchange):
            exchange.start(200, [])
            exchange.write(b"part")

        await self.open(truncate)
        answer = await self.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"part", answer)
        self.assertNotIn(b"\r\n0\r\n\r\n", answer)

    async def stream(self, data, *, is_complete):
        """Send a request whose response is streamed in two parts."""

        async def handle(exchange):
            exchange.start(200, [])
            exchange.write(b"ab")
            exchange.write(b"c")
            if is_complete:
                exchange.finish()

        listener = await self.open(handle)
        self.addAsyncCleanup(listener.close)
        return await self.send(data)

    async def test_caller_of_http_1_0_gets_no_chunks(self):
        # Guards against sizes of chunks in what the caller takes for the
        # body, as it doesn't know chunks.
        for connection in (b"", b"Connection: keep-alive\r\n"):
            answer = await self.stream(
                b"GET / HTTP/1.0\r\n" + connection + b"\r\n",
                is_complete=True,
            )
            head, _, body = answer.partition(b"\r\n\r\n")
            self.assertEqual(b"abc", body)
            self.assertNotIn(b"chunked", head)
            self.assertIn(b"connection: close", head.lower())

    async def test_caller_of_http_1_0_detects_an_incomplete_response(self):
        # Guards against an answer that looks whole, as it has no length.
        with self.assertRaises(ConnectionResetError):
            await self.stream(b"GET / HTTP/1.0\r\n\r\n", is_complete=False)

    async def test_handler_exception_fails_only_its_request(self):
        async def fail(exchange):
            if exchange.request.target == b"/bad":
                raise ValueError("a fault")
            await echo(exchange)

        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        await self.open(fail)
        answer = await self.send(
            b"GET /bad HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /good HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "))
        self.assertIn(b"GET /good", answer)

    async def test_write_buffer_for_a_slow_reader_is_bounded(self):
        # The handler must wait when the caller stops reading.
        written = 0

        async def stream(exchange):
            nonlocal written
            exchange.start(200, [])
            while written < 64 * 1024 * 1024:
                exchange.write(b"x" * 65536)
                await exchange.drain()
                written += 65536
            exchange.finish()

        await self.open(stream)
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.5)
        self.assertLess(written, 16 * 1024 * 1024)
        writer.transport.abort()
