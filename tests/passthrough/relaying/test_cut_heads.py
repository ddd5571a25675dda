"""Tests of endpoints that stop in the middle of a head, on loopback."""

import asyncio

from burdockdrum.http1.sockets import reset
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import events
from tests.passthrough.streams import StreamCase

HEADS = {
    "length": (b"Content-Length: 5",),
    "chunked": (
        b"Content-Type: text/event-stream",
        b"Transfer-Encoding: chunked",
    ),
    "unframed": (b"Content-Type: text/event-stream",),
}
# Of the head that is sent, from its end.
MISSING_BYTES = (1, 2, 3, 4, 12, 30)


def cut_head(lines, missing, end):
    """Return a behaviour that sends a head without its last bytes."""

    async def respond(writer, request_id):
        head = b"\r\n".join(
            [
                b"HTTP/1.1 200 OK",
                b"X-Request-Id: " + request_id,
                b"X-Endpoint: e",
                *lines,
                b"\r\n",
            ]
        )
        writer.write(head[:-missing])
        # Else a reset overtakes what was written.
        await asyncio.sleep(0.01)
        end(writer)

    return respond


def close(writer):
    """Close a connection."""
    writer.close()


def reset_connection(writer):
    """Reset a connection."""
    reset(writer.transport)


class CutHeadTest(StreamCase):
    """Responses of which a part of the head arrives."""

    async def check(self, entry, endpoint, first):
        """Check that no caller gets a success for a cut head."""
        for name, lines in HEADS.items():
            for missing in MISSING_BYTES:
                for end in (close, reset_connection):
                    endpoint.behaviours = [
                        first,
                        cut_head(lines, missing, end),
                    ]
                    with self.subTest(name, missing=missing, end=end.__name__):
                        # The second response comes on the same connection.
                        status, _, _, _ = await self.call(entry)
                        self.assertEqual(200, status)
                        status, _, _, _ = await self.call(entry)
                        self.assertEqual(502, status)

    async def test_cut_head_of_an_endpoint_is_no_answer(self):
        # Guards against a 200 with an empty or short body, framed as whole.
        for first, route in (
            (answer(b"first"), {}),
            (events(1, 2), {"streams": True}),
        ):
            endpoint = Endpoint(None)
            entry = await self.open(endpoint, attempts=1, **route)
            await self.check(entry, endpoint, first)

    async def test_cut_head_behind_another_entry_is_no_answer(self):
        # Guards against the same where another entry forwards the answer.
        self.world = EntryDeployment(attempts=1)
        self.addAsyncCleanup(self.world.close)
        first = await self.world.open_entry("here", capacities=["over"])
        endpoint = Endpoint(None)
        await self.world.open_entry("over", [endpoint])
        await self.check(first, endpoint, answer(b"first"))
