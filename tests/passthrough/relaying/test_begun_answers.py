"""Tests of whole answers that are longer than the buffer."""

import asyncio

from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase

BEGUN_BYTES = 600 * 1024


class BegunAnswerTest(RelayCase):
    """Failures after a part of an answer has been sent to the caller."""

    async def test_restart_of_the_endpoint_cuts_a_begun_answer(self):
        # Guards against the whole answer of another endpoint, head included,
        # in the middle of the first one's body.
        begin = answer(b"x" * BEGUN_BYTES, length=2 * BEGUN_BYTES)
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, timeout_seconds=3.0)
        shared = [begin, answer(b"other")]
        for endpoint in endpoints:
            endpoint.behaviours = shared
        call = asyncio.create_task(entry.call())
        await asyncio.sleep(0.3)
        for name in list(entry.registered):
            entry.attempts.abort_incarnation(name)
        status, _, body = await call
        self.assertEqual(200, status)
        self.assertGreaterEqual(len(body), BEGUN_BYTES)
        self.assertEqual(0, body.count(b"HTTP/1.1"))
        self.assertFalse(body.endswith(b"0\r\n\r\n"))
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))
