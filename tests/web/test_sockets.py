"""Tests of the callers' API over sockets on the loopback interface."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.daemon import assemble
from burdockdrum.peers import VmIdentity
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import FakeNetwork
from burdockdrum.web import bind
from burdockdrum.web import WebServer
from tests.requests.stack import Stack

LIMIT_BYTES = 4 * 1024 * 1024


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Malformed requests do not affect other connections."""

    async def asyncSetUp(self):
        settings = Stack().settings("a1")
        network = FakeNetwork(rng=random.Random(1))
        mailbox = await network.host("a1").open("tcp://127.0.0.1:1001")
        listener = bind("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        kernel = assemble(
            settings=settings,
            identity=VmIdentity(
                vm_id="a1",
                incarnation=1,
                region="north",
                data_centre="north",
                control_address=mailbox.address,
                http_address=f"http://127.0.0.1:{self.port}",
            ),
            mailbox=mailbox,
            clock=SystemClock(),
            http=PooledHttpClient(),
            rng=random.Random(1),
        )
        self.web = WebServer(
            application=kernel.find("application", object), listener=listener
        )
        self.running = asyncio.create_task(self.web.run())
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.web.stop()
        await self.running

    async def send(self, *parts):
        """Send raw bytes and return the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
            async with asyncio.timeout(10):
                return await reader.read(65536)
        except OSError:
            return b""
        finally:
            writer.close()

    async def test_malformed_request_does_not_affect_others(self):
        _, half = await asyncio.open_connection("127.0.0.1", self.port)
        half.write(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-")
        self.assertIn(b" 400 ", await self.send(b"\x00\xff garbage\r\n\r\n"))
        for _ in range(3):
            head = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n"
            self.assertIn(b" 401 ", await self.send(head))
        half.close()

    async def test_declared_body_over_the_limit_is_rejected(self):
        head = (
            b"POST /v1/forward HTTP/1.1\r\nhost: x\r\n"
            b"content-length: %d\r\n\r\n" % (LIMIT_BYTES + 1)
        )
        # The refusal is sent before the body was received.
        self.assertIn(b" 413 ", await self.send(head))

    async def test_chunked_body_over_the_limit_is_rejected(self):
        head = (
            b"POST /v1/forward HTTP/1.1\r\nhost: x\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        reply = await self.send(head, *[chunk] * 5)
        self.assertIn(b" 413 ", reply)

    async def test_caller_that_leaves_is_no_failure(self):
        """Guards against a traceback for each body that is not ended."""
        failures = []
        sink = logger.add(failures.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, sink)
        await self.send(
            b"POST /v1/forward HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
            b"content-length: 100\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        self.assertEqual([], failures)


if __name__ == "__main__":
    unittest.main()
