"""Tests of the HTTP client over loopback sockets."""

import asyncio
import unittest

from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.web import bind

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
BODY_BYTES = 50_000_000
# Covers asyncio's stream buffer and the kernel's two socket buffers.
MAX_BUFFERED_BYTES = 20_000_000


class PooledHttpClientTest(unittest.IsolatedAsyncioTestCase):
    """Backpressure, truncated bodies and reuse of connections."""

    async def serve(self, handler):
        async def handle(reader, writer):
            try:
                await handler(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        listener = bind("127.0.0.1", 0)
        server = await asyncio.start_server(handle, sock=listener)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = listener.getsockname()[1]
        client = PooledHttpClient()
        self.addAsyncCleanup(client.close)
        return client, f"http://127.0.0.1:{port}/"

    async def test_stalled_reader_holds_the_sender_back(self):
        # The caller reads one chunk of a 50 MB response and stalls. The
        # client must stop the sender instead of buffering the whole body.
        sent = 0

        async def handler(reader, writer):
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES)
            while sent < BODY_BYTES:
                writer.write(b"x" * 100_000)
                await writer.drain()
                sent += 100_000

        client, url = await self.serve(handler)
        answer = await client.open(UpstreamCall(method="GET", url=url))
        parts = answer.chunks()
        received_size = len(await anext(parts))
        previously_sent = -1
        while previously_sent != sent:
            previously_sent = sent
            await asyncio.sleep(0.05)
        self.assertLess(sent - received_size, MAX_BUFFERED_BYTES)
        async for part in parts:
            received_size += len(part)
        self.assertEqual(BODY_BYTES, received_size)

    async def test_truncated_body_is_an_error(self):
        # The server closes before the announced length or the last chunk.
        for framing, body in (
            (b"content-length: 100\r\n\r\n", b"half"),
            (b"transfer-encoding: chunked\r\n\r\n", b"4\r\nhalf\r\n"),
        ):

            async def handler(reader, writer, framing=framing, body=body):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(HEAD + framing + body)
                await writer.drain()

            client, url = await self.serve(handler)
            answer = await client.open(UpstreamCall(method="GET", url=url))
            received = b""
            with self.assertRaises(AnswerLost):
                async for part in answer.chunks():
                    received += part
            self.assertEqual(b"half", received)

    async def test_connection_closed_by_the_server_is_not_reused(self):
        # The server closes the idle connection without announcing it. A
        # request over it would be lost, with the verdict "may have run".
        requests = 0

        async def handler(reader, writer):
            nonlocal requests
            await reader.readuntil(b"\r\n\r\n")
            requests += 1
            writer.write(HEAD + b"content-length: 2\r\n\r\nok")
            await writer.drain()

        client, url = await self.serve(handler)
        for _ in range(3):
            answer = await client.open(UpstreamCall(method="GET", url=url))
            parts = [part async for part in answer.chunks()]
            self.assertEqual(b"ok", b"".join(parts))
            # Wait until the client has received the end of the stream.
            await asyncio.sleep(0.05)
        self.assertEqual(3, requests)

    async def test_closing_a_response_closes_the_connection(self):
        # If the caller disconnects, the engine must notice and stop.
        closed = asyncio.Event()

        async def handler(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"content-length: 100\r\n\r\nhalf")
            await writer.drain()
            try:
                await reader.read()
            finally:
                closed.set()

        client, url = await self.serve(handler)
        answer = await client.open(UpstreamCall(method="GET", url=url))
        await anext(answer.chunks())
        await answer.close()
        async with asyncio.timeout(5):
            await closed.wait()

    async def test_connection_is_reused(self):
        connections = 0

        async def handler(reader, writer):
            nonlocal connections
            connections += 1
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                writer.write(HEAD + b"transfer-encoding: chunked\r\n\r\n")
                writer.write(b"2\r\nok\r\n0\r\n\r\n")
                await writer.drain()

        client, url = await self.serve(handler)
        for _ in range(3):
            answer = await client.open(UpstreamCall(method="GET", url=url))
            parts = [part async for part in answer.chunks()]
            self.assertEqual(b"ok", b"".join(parts))
        self.assertEqual(1, connections)

    async def test_body_without_framing_ends_with_the_connection(self):
        async def handler(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\nall of it")
            await writer.drain()

        client, url = await self.serve(handler)
        answer = await client.open(UpstreamCall(method="GET", url=url))
        parts = [part async for part in answer.chunks()]
        self.assertEqual(b"all of it", b"".join(parts))

    async def test_invalid_http_is_a_lost_answer(self):
        for garbage in (b"\x00\xff\r\n\r\n", HEAD + b"a: b\r\n" * 20_000):

            async def handler(reader, writer, garbage=garbage):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(garbage)
                await writer.drain()

            client, url = await self.serve(handler)
            with self.assertRaises(AnswerLost):
                await client.open(UpstreamCall(method="GET", url=url))

    async def read_early(self, early, body_bytes=3_900_000):
        """Send a body of which the server reads nothing."""

        async def handler(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            writer.write(early)
            writer.write_eof()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        client, url = await self.serve(handler)
        call = UpstreamCall(
            method="POST", url=url, body=bytes(body_bytes), head_timeout=2.0
        )
        answer = await client.open(call)
        body = b"".join([chunk async for chunk in answer.chunks()])
        return answer.status, body

    async def test_unframed_success_before_the_body_is_sent_is_lost(self):
        # Guards against a part of an answer that is taken for all of it.
        with self.assertRaises(AnswerLost):
            await self.read_early(b"HTTP/1.1 200 OK\r\n\r\npart")

    async def test_early_rejection_of_a_body_arrives(self):
        # Guards against waiting until all of the body is sent.
        early = b"HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\nbody"
        self.assertEqual(
            (413, b"body"), await self.read_early(early, 16_000_000)
        )

    async def test_invalid_status_is_a_lost_answer(self):
        # 000 counted as an interim response; its body preceded the next one.
        for status in (b"000", b"099", b"600"):

            async def handler(reader, writer, status=status):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(
                    b"HTTP/1.1 " + status + b" X\r\nContent-Length: 3\r\n"
                    b"\r\nbadHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                )
                await asyncio.sleep(1)

            with self.subTest(status=status):
                client, url = await self.serve(handler)
                call = UpstreamCall(method="GET", url=url, head_timeout=2.0)
                with self.assertRaises(AnswerLost):
                    await client.open(call)

    async def test_refused_connection_is_a_connect_failure(self):
        listener = bind("127.0.0.1", 0)
        port = listener.getsockname()[1]
        listener.close()
        call = UpstreamCall(method="GET", url=f"http://127.0.0.1:{port}/")
        with self.assertRaises(ConnectFailed):
            await PooledHttpClient().open(call)


if __name__ == "__main__":
    unittest.main()
