"""Tests of response heads that end early, cut at each byte."""

import asyncio
import unittest
from unittest import mock

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import ResponseLost
from burdockdrum.system_ports.connections import ConnectionEnded
from burdockdrum.system_ports.connections import ResponseReceiver

START = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Endpoint: e\r\n"
HEADS = {
    "length": START + b"Content-Length: 120\r\n\r\n",
    "empty": START + b"Content-Length: 0\r\n\r\n",
    "chunked": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": START + b"Content-Type: text/plain\r\n\r\n",
    "closing": START + b"Connection: close\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n",
    "nothing": b"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
    "after an interim one": b"HTTP/1.1 100 Continue\r\n\r\n"
    + START
    + b"Content-Length: 2\r\n\r\n",
    "after a stray one": b"HTTP/1.1 200 OK\r\nX-Id: 9\r\n"
    b"Content-Length: 2\r\n\r\nno" + START + b"Content-Length: 2\r\n\r\n",
    "bare newlines": START.replace(b"\r", b"") + b"Content-Length: 2\n\n",
}
BODIES = {
    "length": HEADS["length"] + b"x" * 120,
    "chunked": HEADS["chunked"] + b"2\r\nok\r\n3\r\nyes\r\n0\r\n\r\n",
    "trailer": HEADS["chunked"] + b"2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
}
WHOLE = START + b"Content-Length: 2\r\n\r\nok"
ENDS = {"closed": None, "reset": ConnectionResetError("reset by the peer")}


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Responses of which only a part of the head arrives."""

    async def read(self, data, end, *, reuses):
        """Return the status and body that a caller would get."""
        connection = ClientConnection(id_header=b"x-id")
        transport = mock.Mock(**{"is_closing.return_value": False})
        transport.get_extra_info.return_value = None
        connection.connection_made(transport)
        if reuses:
            connection.send(b"", b"1")
            connection.data_received(WHOLE)
            await connection.read_head()
            self.assertEqual(b"ok", await connection.read_part())
        connection.send(b"", b"1")
        if data:
            connection.data_received(data)
        connection.connection_lost(end)
        async with asyncio.timeout(1):
            head = await connection.read_head()
            body = b""
            while (part := await connection.read_part()) is not None:
                body += part
        return head.status, body

    async def test_cut_head_is_no_answer(self):
        # Guards against a success with an empty or short body, framed as
        # whole, where an endpoint stopped in the middle of its head.
        for name, head in HEADS.items():
            for how, end in ENDS.items():
                for reuses in (False, True):
                    for size in range(len(head)):
                        with (
                            self.subTest(name, how=how, size=size),
                            self.assertRaises(ResponseLost),
                        ):
                            await self.read(head[:size], end, reuses=reuses)

    async def test_cut_body_is_no_answer(self):
        # Guards against a short body that is framed as whole.
        for name, response in BODIES.items():
            for how, end in ENDS.items():
                for size in range(len(HEADS["length"]), len(response)):
                    with (
                        self.subTest(name, how=how, size=size),
                        self.assertRaises(ResponseLost),
                    ):
                        await self.read(response[:size], end, reuses=False)

    async def test_cut_head_before_another_head_is_no_answer(self):
        # Guards against two heads that are read as one.
        for size in range(1, len(START)):
            with self.subTest(size=size):
                data = START[:size] + WHOLE
                try:
                    status, body = await self.read(data, None, reuses=False)
                except ResponseLost:
                    continue
                self.assertEqual((200, b"ok"), (status, body))

    async def test_whole_body_after_a_whole_head_is_read(self):
        for reuses in (False, True):
            answer = await self.read(WHOLE, None, reuses=reuses)
            self.assertEqual((200, b"ok"), answer)

    def test_cut_head_is_no_answer_on_the_own_interface(self):
        # Guards against the same on the product's own interface.
        for name, head in HEADS.items():
            if name == "after a stray one":
                # This interface doesn't skip responses to other requests.
                continue
            for size in range(len(head)):
                with self.subTest(name, size=size):
                    receiver = ResponseReceiver()
                    with self.assertRaises(ConnectionEnded):
                        receiver.feed(head[:size])
                        receiver.feed_end()
