"""Tests of when the listener may end a connection."""

import asyncio
import time
import unittest

from tests.http1.wire import ListenerCase

REQUEST = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"


class ConnectionEndTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """A request that was read gets a response."""

    async def asyncSetUp(self):
        self.received_at = []
        await self.open(self.handle)
        self.addAsyncCleanup(self.close_listener)

    async def close_listener(self):
        await self.listener.close()

    async def handle(self, exchange):
        """Respond with a stream."""
        self.received_at.append(exchange.request.received_at)
        exchange.start(200, [])
        exchange.write(exchange.request.target)
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
