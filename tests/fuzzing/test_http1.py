"""Fuzzes the HTTP/1.1 listener: it responds or closes the connection."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tests.http1.wire import ListenerCase

PIECES = strategies.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"Host: x\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"abc",
        b": \r\n",
        b"\x00\xff",
    ]
)


class Http1FuzzTest(ListenerCase, unittest.TestCase):
    """Requests made of valid and invalid pieces in any order."""

    @settings(max_examples=150, deadline=None)
    @given(strategies.lists(PIECES, max_size=12))
    def test_every_byte_string_gets_an_end(self, pieces):
        asyncio.run(self.check(b"".join(pieces)))

    async def check(self, data):
        bodies = []

        async def handle(exchange):
            bodies.append(exchange.request.body)
            exchange.answer(200, [], b"")

        await self.open(handle, header_seconds=0.05, idle_seconds=0.05)
        answer = await self.send(data)
        count = answer.count(b"HTTP/1.1 200 ")
        self.assertEqual(len(bodies), count)
        # Guards against request smuggling: each body has the length that its
        # head declares.
        self.assertTrue(
            all(len(b) in (0, 1) or len(b) % 3 == 0 for b in bodies)
        )
        if not answer.startswith(b"HTTP/1.1 ") and data:
            self.assertEqual(b"", answer)
        await self.listener.close()
