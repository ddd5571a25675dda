"""Tests of client connections, with stray and malformed responses."""

import asyncio
import os
import socket
import unittest

import uvloop

from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import encode_request
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseLost
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer

RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
STRAY_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 3\r\n\r\nbad"


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Requests to an endpoint that sends scripted responses."""

    async def serve(self, *parts, close=False):
        """Send the parts after each request, 20 ms apart."""

        async def script(reader, writer):
            while True:
                await read_request(reader)
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                if close:
                    writer.close()
                    return

        self.server = ScriptedServer(script)
        address = await self.server.open()
        self.addAsyncCleanup(self.server.close)
        self.pool = ConnectionPool(id_header=b"x-id")
        return address

    async def call(self, address, request_id=b"1"):
        connection = await self.pool.acquire(address, timeout=1)
        head = encode_request(b"GET", b"/", [(b"host", b"x")])
        connection.send(head, request_id)
        try:
            async with asyncio.timeout(2):
                response = await connection.read_head()
                body = b""
                while (part := await connection.read_part()) is not None:
                    body += part
        finally:
            self.pool.release(address, connection)
        return response, body

    async def test_connection_is_reused(self):
        address = await self.serve(RESPONSE)
        for _ in range(3):
            self.assertEqual(b"ok", (await self.call(address))[1])
        self.assertEqual(1, self.server.connections)

    async def test_surplus_idle_connections_are_closed(self):
        # Guards against idle connections that use up what the endpoint
        # accepts from all callers.
        address = await self.serve(RESPONSE)
        pool = self.pool
        connections = [
            await pool.acquire(address, timeout=1) for _ in range(5)
        ]
        for connection in connections:
            pool.release(address, connection, max_idle=2)
        await asyncio.sleep(0.01)
        self.assertEqual(2, pool.open_by_address[address])
        pool.close()

    async def test_response_with_the_id_of_another_request_is_skipped(self):
        # A stray response must not be returned for the current request.
        address = await self.serve(STRAY_RESPONSE + RESPONSE)
        self.assertEqual(b"ok", (await self.call(address))[1])
        address = await self.serve(STRAY_RESPONSE, RESPONSE)
        self.assertEqual(b"ok", (await self.call(address))[1])

    async def test_connection_with_bytes_after_a_response_is_not_reused(self):
        # The response is valid, but the bytes after it would be parsed as
        # the response to the next request.
        for extra in (b"junk", STRAY_RESPONSE, b"\x00\xff"):
            with self.subTest(extra=extra):
                address = await self.serve(RESPONSE + extra)
                self.assertEqual(b"ok", (await self.call(address))[1])
                self.assertEqual(b"ok", (await self.call(address))[1])
                self.assertEqual(2, self.server.connections)

    async def test_idle_connection_that_receives_bytes_is_closed(self):
        address = await self.serve(RESPONSE, b"junk")
        await self.call(address)
        await asyncio.sleep(0.1)
        await self.call(address)
        self.assertEqual(2, self.server.connections)

    async def test_connection_with_something_unread_is_not_used(self):
        # Guards against a request that is sent on a connection whose end, or
        # bytes of no request, came while this process was busy.
        for extra in (b"", b"junk", STRAY_RESPONSE, RESPONSE):
            with self.subTest(extra=extra):
                address = await self.serve(RESPONSE)
                await self.call(address)
                raw = self.server.writers[0].get_extra_info("socket")
                other_end = socket.socket(fileno=os.dup(raw.fileno()))
                if extra:
                    other_end.send(extra)
                else:
                    other_end.shutdown(socket.SHUT_WR)
                other_end.close()
                # No step of the loop has come in between.
                _, body = await self.call(address)
                self.assertEqual(b"ok", body)
                self.assertEqual(2, self.server.connections)

    async def test_truncated_response_raises(self):
        truncated = (
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n4\r\npart\r\n",
            b"HTTP/1.1 200 OK\r\nX-I",
            b"no answer at all\r\n\r\n",
        )
        for data in truncated:
            with self.subTest(data=data):
                address = await self.serve(data, close=True)
                with self.assertRaises(ResponseLost):
                    await self.call(address)

    async def test_unframed_response_ends_at_the_end_of_the_connection(self):
        data = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody"
        address = await self.serve(data, close=True)
        self.assertEqual(b"body", (await self.call(address))[1])

    async def test_unframed_response_with_a_reset_raises(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = ScriptedServer(script)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        self.pool = ConnectionPool(id_header=b"x-id")
        # Unread bytes at the peer make its close a reset.
        connection = await self.pool.acquire(address, timeout=1)
        connection.send(
            encode_request(b"GET", b"/", [(b"host", b"x")]) + b"x" * 4_000_000,
            b"1",
        )
        with self.assertRaises(ResponseLost):
            while await connection.read_part() is not None:
                pass

    async def test_response_with_an_invalid_status_raises_at_once(self):
        # 000 counted as an interim response, so that the caller waited until
        # its deadline, and its body preceded that of the next response.
        for status in (b"000", b"099", b"600", b"999"):
            line = b"HTTP/1.1 " + status + b" X\r\nX-Id: 1\r\n"
            for rest in (b"\r\n", b"Content-Length: 3\r\n\r\nbad"):
                with self.subTest(status=status, rest=rest):
                    address = await self.serve(line + rest + RESPONSE)
                    with self.assertRaises(ResponseLost):
                        await self.call(address)

    async def test_interim_response_with_a_body_adds_nothing(self):
        # An interim response has no body: what follows it is a response.
        interim = b"HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\n"
        address = await self.serve(interim + RESPONSE)
        self.assertEqual(b"ok", (await self.call(address))[1])
        address = await self.serve(interim + b"bad" + RESPONSE)
        with self.assertRaises(ResponseLost):
            await self.call(address)

    async def test_interim_response_is_skipped(self):
        address = await self.serve(b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE)
        self.assertEqual(b"ok", (await self.call(address))[1])

    async def test_connection_is_reused_only_within_keep_alive_timeout(self):
        # A request sent while the endpoint closes the connection is lost.
        with_timeout = RESPONSE.replace(
            b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id"
        )
        address = await self.serve(with_timeout)
        await self.call(address)
        await asyncio.sleep(0.8)
        await self.call(address)
        self.assertEqual(2, self.server.connections)

    async def test_response_before_the_body_is_sent_keeps_the_framing(self):
        # The endpoint responds before it has read the body. The rest of the
        # body must still be sent before the next request.
        received = []

        async def script(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(RESPONSE)
                await asyncio.sleep(0.05)
                length = int(header(head, b"content-length"))
                received.append(await reader.readexactly(length))

        server = ScriptedServer(script)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        self.pool = ConnectionPool(id_header=b"x-id")
        bodies = [b"a" * 3_000_000, b"b" * 10, b"c" * 3_000_000]
        for body in bodies:
            connection = await self.pool.acquire(address, timeout=1)
            length = (b"content-length", b"%d" % len(body))
            head = encode_request(b"POST", b"/", [(b"host", b"x"), length])
            connection.send(head + body, b"1")
            self.assertEqual(200, (await connection.read_head()).status)
            while await connection.read_part() is not None:
                pass
            self.pool.release(address, connection)
        await asyncio.sleep(0.4)
        self.assertEqual(bodies, received)
        self.assertEqual(1, server.connections)

    async def test_closed_port_raises(self):
        address = await self.serve(RESPONSE)
        await self.server.close()
        with self.assertRaises(NotConnected):
            await self.call(address)


class EarlyResponseTest(unittest.TestCase):
    """Responses that begin before the request has been sent.

    On the event loop of the product, which ends connections in its own way.
    """

    async def upload(self, *, early, finish):
        """Send a body that the endpoint does not read.

        :param early: what the endpoint writes after the head of the request
        :param finish: ends the connection, called with its writer
        """

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            writer.write(early)
            await finish(writer)

        server = ScriptedServer(script)
        pool = ConnectionPool(id_header=b"x-id")
        connection = await pool.acquire(await server.open(), timeout=1)
        size = (b"content-length", b"3900000")
        head = encode_request(b"POST", b"/", [(b"host", b"x"), size])
        connection.send(head, b"1", body=b"x" * 3_900_000)
        body = b""
        try:
            async with asyncio.timeout(2):
                response = await connection.read_head()
                while (part := await connection.read_part()) is not None:
                    body += part
        finally:
            connection.close()
            await server.close()
        return response.status, body

    def test_unframed_success_before_the_body_is_sent_raises(self):
        # Guards against a part of a response that is taken for all of it, as
        # the endpoint ends its side before it resets the connection.
        for seconds in (0, 0.05, 1):

            async def end_then_reset(writer, seconds=seconds):
                writer.write_eof()
                await asyncio.sleep(seconds)
                writer.transport.abort()

            early = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"
            with (
                self.subTest(seconds=seconds),
                self.assertRaises(ResponseLost),
            ):
                uvloop.run(self.upload(early=early, finish=end_then_reset))

    def test_early_responses_that_are_complete_arrive(self):
        # An endpoint may reject a body that it has not read.
        async def end(writer):
            writer.write_eof()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        length = b"Content-Length: 4\r\n"
        for status, framing in ((200, length), (413, length), (413, b"")):
            early = b"HTTP/1.1 %d X\r\nX-Id: 1\r\n%s\r\nbody" % (
                status,
                framing,
            )
            with self.subTest(early=early):
                self.assertEqual(
                    (status, b"body"),
                    uvloop.run(self.upload(early=early, finish=end)),
                )
