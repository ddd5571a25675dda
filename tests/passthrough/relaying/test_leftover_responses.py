"""Tests of responses that are left over on a kept connection."""

from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import NAMES
from tests.passthrough.entries import RelayCase

ONCE = {"idempotent": False, "attempts": 1}
NOT_RUN = b"X-Not-Started: 1\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
REJECTIONS = (
    b"HTTP/1.1 503 Full\r\n" + NOT_RUN + EMPTY,
    b"HTTP/1.1 429 Busy\r\n" + NOT_RUN + EMPTY,
    b"HTTP/1.1 400 Bad\r\n" + NOT_RUN + EMPTY,
    b"HTTP/1.1 421 Misdirected\r\n" + NOT_RUN + EMPTY,
    b"HTTP/1.1 421 Misdirected\r\n" + EMPTY,
    b"HTTP/1.1 503 Full\r\nX-Verdict: not run\r\n" + EMPTY,
)


class LeftoverEndpoint(ScriptedServer):
    """An endpoint that sends something more where the next response is due.

    ``first`` answers the first request of a connection; from the second on,
    ``leftover`` is sent before each answer. ``ran`` are the ids of requests
    that ran, of which there is none if ``first`` is a rejection.
    """

    def __init__(self, leftover, first=None):
        """Create an endpoint; ``open`` starts to listen."""
        super().__init__(self._answer)
        self.ran = []
        self._leftover = leftover
        self._first = first

    async def _answer(self, reader, writer):
        is_first = True
        while True:
            head, _ = await read_request(reader)
            request_id = header(head, NAMES.request_id)
            if is_first and self._first is not None:
                writer.write(self._first)
            else:
                writer.write(b"" if is_first else self._leftover)
                self.ran.append(request_id)
                await answer(b"ran")(writer, request_id)
            is_first = False


class LeftoverTest(RelayCase):
    """A request that follows another one on the same connection."""

    async def call_twice(self, entry, *ids):
        """Send two requests, one after the other; return the last status."""
        for request_id in ids:
            status, _, _ = await entry.call(
                method=b"POST", body=b"x", request_id=request_id
            )
        return status

    async def test_rejection_without_an_id_promises_nothing(self):
        # Guards against a response to nothing that is taken for a rejection
        # of a request which runs: its caller would send it again.
        for leftover in REJECTIONS:
            with self.subTest(leftover=leftover):
                endpoint = LeftoverEndpoint(leftover)
                entry = await self.open(endpoint, **ONCE)
                status = await self.call_twice(entry, b"r1", b"r2")
                self.assertIn(b"r2", endpoint.ran)
                self.assertIn(status, (200, 502))

    async def test_rejection_without_an_id_is_no_reason_to_send_again(self):
        # Guards against a request that runs at two endpoints, as the first
        # one's connection held a rejection of something else.
        for leftover in REJECTIONS:
            with self.subTest(leftover=leftover):
                first = LeftoverEndpoint(leftover)
                other = Endpoint(answer(b"other"))
                self.world = EntryDeployment(**ONCE)
                self.addAsyncCleanup(self.world.close)
                entry = await self.world.open_entry(
                    "here", [first], capacities=("there",)
                )
                await self.world.open_entry("there", [other])
                await self.call_twice(entry, b"r1", b"r2")
                self.assertEqual(([b"r1", b"r2"], []), (first.ran, other.seen))

    async def test_second_copy_of_a_rejection_rejects_no_later_try(self):
        # Guards against the rejection of a caller's earlier try, sent twice,
        # that is taken for the response to a try with the same id.
        rejection = (
            b"HTTP/1.1 503 Full\r\nX-Request-Id: r1\r\n" + NOT_RUN + EMPTY
        )
        endpoint = LeftoverEndpoint(rejection, first=rejection)
        entry = await self.open(endpoint, **ONCE)
        status = await self.call_twice(entry, b"r1", b"r1")
        self.assertNotIn((status, bool(endpoint.ran)), [(503, True)])

    async def test_response_to_an_id_of_any_bytes_is_recognized(self):
        # Guards against a response that is skipped for its id, so that its
        # caller waits until the deadline.
        entry = await self.open(Endpoint(answer(b"ran")), **ONCE)
        status = await self.call_twice(entry, b"r\xe9")
        self.assertEqual(200, status)
