"""Tests of the HTTP client with servers whose bytes don't end."""

import asyncio
import itertools
import tracemalloc
import unittest
from unittest import mock

from burdockdrum.http1.overhead import MAX_HEAD_BYTES
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import AnswerTooLarge
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports.connections import READ_BYTES
from burdockdrum.system_ports.http import PooledHttpClient
from tests.http1.endless import BODY_BY_KIND
from tests.http1.endless import CHUNKED
from tests.http1.endless import EndlessServer
from tests.http1.endless import EndlessThreads
from tests.http1.endless import OVERHEAD_BY_KIND
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer

SECONDS = 5
# A limit ends a head, however slowly this machine reads it.
HEAD_SECONDS = 10
# How long bodies without end are read.
BODY_SECONDS = 2
ENDPOINTS = 60
STREAM_BYTES = 500_000
# asyncio's stream reader stops at twice its limit and a read more.
STREAM_BUFFER_BYTES = 2 * 64 * 1024 + 256 * 1024
# A head beside a full stream buffer and a read, each with a copy.
MAX_CONNECTION_BYTES = 2 * (MAX_HEAD_BYTES + STREAM_BUFFER_BYTES + READ_BYTES)
# No response names the request that it is for, so that none is skipped.
OVERHEAD = {
    kind: script
    for kind, script in OVERHEAD_BY_KIND.items()
    if not kind.startswith("skipped")
}


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """Each kind of bytes without end ends its connection."""

    def setUp(self):
        self.client = PooledHttpClient()

    async def serve(self, server):
        address = await server.open()
        self.addAsyncCleanup(server.close)
        self.addAsyncCleanup(self.client.close)
        return UpstreamCall(method="GET", url=f"http://{address}/")

    async def test_endless_overhead_ends_the_connection(self):
        # Else one endpoint fills the memory of an entry until a timeout.
        for kind, script in OVERHEAD.items():
            with self.subTest(kind):
                server = EndlessServer(*script)
                call = await self.serve(server)
                with self.assertRaisesRegex(AnswerLost, "over the limit of"):
                    async with asyncio.timeout(SECONDS):
                        answer = await self.client.open(call)
                        self.addAsyncCleanup(answer.close)
                        async for _ in answer.chunks():
                            pass
                async with asyncio.timeout(SECONDS):
                    await server.ended.wait()

    async def test_surplus_is_no_part_of_a_response(self):
        # Guards against a body that is followed by another response's, and
        # an idle connection that keeps what the next request would read.
        for kind in ("surplus", "surplus responses"):
            with self.subTest(kind):
                server = EndlessServer(*BODY_BY_KIND[kind])
                call = await self.serve(server)
                with mock.patch(
                    "burdockdrum.system_ports.connections.log_failure"
                ) as log:
                    async with asyncio.timeout(SECONDS):
                        body = await read_whole(await self.client.open(call))
                        await server.ended.wait()
                self.assertEqual(b"ok", body)
                log.assert_called_once()

    async def test_stray_response_is_not_read_by_the_next_request(self):
        # It may arrive with the response or while the connection is idle.
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
        stray = own.replace(b"own", b"bad")
        for pause in (0, 0.05):
            with self.subTest(pause):

                async def script(reader, writer, pause=pause):
                    while True:
                        await read_request(reader)
                        writer.write(own)
                        await asyncio.sleep(pause)
                        writer.write(stray)

                server = ScriptedServer(script)
                call = await self.serve(server)
                for _ in range(3):
                    async with asyncio.timeout(SECONDS):
                        answer = await self.client.open(call)
                        self.assertEqual(b"own", await read_whole(answer))
                    await asyncio.sleep(2 * pause)
                self.assertEqual(3, server.connections)

    async def test_whole_body_is_limited(self):
        # A body that is read whole would fill the memory of a caller.
        limit = mock.patch(
            "burdockdrum.ports.http.MAX_WHOLE_BODY_BYTES", STREAM_BYTES
        )
        self.enterContext(limit)
        for kind in ("unframed body", "chunked body", "error body"):
            with self.subTest(kind):
                server = EndlessServer(*BODY_BY_KIND[kind])
                call = await self.serve(server)
                async with asyncio.timeout(SECONDS):
                    answer = await self.client.open(call)
                    with self.assertRaises(AnswerTooLarge):
                        await read_whole(answer)
                    await server.ended.wait()

    async def test_long_body_of_small_chunks_is_whole(self):
        # Right but long: its overhead is many times the limits.
        async def script(reader, writer):
            await read_request(reader)
            writer.write(CHUNKED % b"1")
            for _ in range(STREAM_BYTES // 5_000):
                writer.write(b"00000001\r\na\r\n" * 5_000)
                await writer.drain()
            writer.write(b"0\r\nx-sum: 5\r\n\r\n")

        call = await self.serve(ScriptedServer(script))
        async with asyncio.timeout(10):
            answer = await self.client.open(call)
            body = await read_whole(answer)
        self.assertEqual(b"a" * STREAM_BYTES, body)
        self.assertNotIn("x-sum", answer.headers)

    async def test_memory_is_flat_with_many_endless_endpoints(self):
        # Guards against an entry that ends by the bytes of its endpoints.
        # Debugging would slow the loop down below what the endpoints send.
        asyncio.get_running_loop().set_debug(False)
        kinds = itertools.cycle((OVERHEAD | BODY_BY_KIND).values())
        servers = [EndlessThreads(*next(kinds)) for _ in range(ENDPOINTS)]
        for server in servers:
            self.addCleanup(server.stop)
        self.addAsyncCleanup(self.client.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        endings = await asyncio.gather(
            *(self.read_slowly(server.address) for server in servers)
        )
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - before, ENDPOINTS * MAX_CONNECTION_BYTES)
        self.assertEqual({"body", "lost", "whole"}, set(endings))

    async def read_slowly(self, address):
        """Read for some seconds; return how it ended."""
        call = UpstreamCall(
            method="GET",
            url=f"http://{address}/",
            connect_timeout=HEAD_SECONDS,
            head_timeout=HEAD_SECONDS,
        )
        try:
            answer = await self.client.open(call)
        except AnswerLost as error:
            return "head" if "TimeoutError" in str(error) else "lost"
        try:
            async with asyncio.timeout(BODY_SECONDS):
                async for _ in answer.chunks():
                    await asyncio.sleep(0.05)
            return "whole"
        except TimeoutError:
            return "body"
        except AnswerLost:
            return "lost"
        finally:
            await answer.close()
