"""Tests of connections to endpoints that answer wrongly."""

import asyncio
import unittest

from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import encode_request
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseLost
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer

OURS = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 3\r\n\r\nbad"


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """One request on a connection to a scripted endpoint."""

    async def serve(self, *parts, close=False):
        """Answer each request with bytes, a pause of 20 ms between."""

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
        connection = await self.pool.take(address, timeout=1)
        head = encode_request(b"GET", b"/", [(b"host", b"x")])
        connection.send(head, request_id)
        try:
            async with asyncio.timeout(2):
                response = await connection.read_head()
                body = b""
                while (part := await connection.read_part()) is not None:
                    body += part
        finally:
            self.pool.give_back(address, connection)
        return response, body

    async def test_connection_is_used_again(self):
        address = await self.serve(OURS)
        for _ in range(3):
            self.assertEqual(b"ok", (await self.call(address))[1])
        self.assertEqual(1, self.server.connections)

    async def test_answer_of_another_request_is_skipped(self):
        # An extra answer arrives where the next one is expected: it reaches
        # nobody, and the right one behind it is taken.
        address = await self.serve(OTHER + OURS)
        self.assertEqual(b"ok", (await self.call(address))[1])
        address = await self.serve(OTHER, OURS)
        self.assertEqual(b"ok", (await self.call(address))[1])

    async def test_bytes_after_an_answer_end_the_connection(self):
        # What follows a whole answer belongs to no request. The answer
        # counts; the connection is not used again.
        for extra in (b"junk", OTHER, b"\x00\xff"):
            with self.subTest(extra=extra):
                address = await self.serve(OURS + extra)
                self.assertEqual(b"ok", (await self.call(address))[1])
                self.assertEqual(b"ok", (await self.call(address))[1])
                self.assertEqual(2, self.server.connections)

    async def test_bytes_on_an_idle_connection_end_it(self):
        address = await self.serve(OURS, b"junk")
        await self.call(address)
        await asyncio.sleep(0.1)
        await self.call(address)
        self.assertEqual(2, self.server.connections)

    async def test_answer_that_is_cut_is_lost(self):
        cut = (
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n4\r\npart\r\n",
            b"HTTP/1.1 200 OK\r\nX-I",
            b"no answer at all\r\n\r\n",
        )
        for data in cut:
            with self.subTest(data=data):
                address = await self.serve(data, close=True)
                with self.assertRaises(ResponseLost):
                    await self.call(address)

    async def test_unframed_answer_ends_with_its_connection(self):
        data = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody"
        address = await self.serve(data, close=True)
        self.assertEqual(b"body", (await self.call(address))[1])

    async def test_unframed_answer_that_is_reset_is_lost(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = ScriptedServer(script)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        self.pool = ConnectionPool(id_header=b"x-id")
        # A reset needs bytes that the peer never read.
        connection = await self.pool.take(address, timeout=1)
        connection.send(
            encode_request(b"GET", b"/", [(b"host", b"x")]) + b"x" * 4_000_000,
            b"1",
        )
        with self.assertRaises(ResponseLost):
            while await connection.read_part() is not None:
                pass

    async def test_interim_response_is_passed_over(self):
        address = await self.serve(b"HTTP/1.1 100 Continue\r\n\r\n" + OURS)
        self.assertEqual(b"ok", (await self.call(address))[1])

    async def test_named_idle_limit_is_kept_below(self):
        # The endpoint closes idle connections after a second and says so.
        # A request that crosses its close would be lost.
        named = OURS.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id")
        address = await self.serve(named)
        await self.call(address)
        await asyncio.sleep(0.8)
        await self.call(address)
        self.assertEqual(2, self.server.connections)

    async def test_answer_before_the_body_is_out_spoils_nothing(self):
        # The endpoint answers a long request before it has read it, keeps
        # the connection and reads on later. It must find the rest of that
        # body there, and the next request behind it.
        seen = []

        async def script(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(OURS)
                await asyncio.sleep(0.05)
                length = int(header(head, b"content-length"))
                seen.append(await reader.readexactly(length))

        server = ScriptedServer(script)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        self.pool = ConnectionPool(id_header=b"x-id")
        bodies = [b"a" * 3_000_000, b"b" * 10, b"c" * 3_000_000]
        for body in bodies:
            connection = await self.pool.take(address, timeout=1)
            length = (b"content-length", b"%d" % len(body))
            head = encode_request(b"POST", b"/", [(b"host", b"x"), length])
            connection.send(head + body, b"1")
            self.assertEqual(200, (await connection.read_head()).status)
            while await connection.read_part() is not None:
                pass
            self.pool.give_back(address, connection)
        await asyncio.sleep(0.4)
        self.assertEqual(bodies, seen)
        self.assertEqual(1, server.connections)

    async def test_closed_port_is_no_connection(self):
        address = await self.serve(OURS)
        await self.server.close()
        with self.assertRaises(NotConnected):
            await self.call(address)
