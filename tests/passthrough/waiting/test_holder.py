"""Failures while requests wait at an entry, over loopback sockets.

Guards against requests that are lost silently or wait for nothing.
"""

import asyncio
import time
import unittest

from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_without_response
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import NAMES
from tests.passthrough.fakes import MODEL

# A queue of over 2 s.
LONG = Load.from_ranks([RankLoad(0, 1, 200_000, waiting=1)])
# A queue of about 0.57 s, which is soon short enough.
BUSY = Load.from_ranks([RankLoad(0, 1, 48_000, waiting=1)])


class WaitingCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with an entry and one busy endpoint."""

    has_line = False

    async def open(self, *behaviours):
        self.world = EntryDeployment(waiting_line=self.has_line)
        self.addAsyncCleanup(self.world.close)
        self.world.configuration.apply(
            routes=[self.world.route], backends=[MODEL]
        )
        self.endpoint = Endpoint(*(behaviours or [answer(b"ran")]))
        self.entry = await self.world.open_entry("here", [self.endpoint])
        self.entry.others = BUSY

    def read_metrics(self):
        return self.entry.metrics.text()


class WaitingTest(WaitingCase):
    """The queue of the only endpoint is over half of the objective of 1 s."""

    has_line = True

    async def begin_call(self, *headers):
        call = asyncio.create_task(self.entry.call(*headers))
        async with asyncio.timeout(2):
            while "burdockdrum_waiting_requests 1" not in self.read_metrics():
                await asyncio.sleep(0.005)
        self.assertEqual([], self.endpoint.seen)
        return call

    def count(self, outcome):
        line = f'burdockdrum_waited_seconds_count{{outcome="{outcome}"}} 1'
        return line in self.read_metrics()

    async def test_request_is_sent_when_the_queue_is_short(self):
        await self.open()
        call = await self.begin_call()
        self.entry.others = Load()
        self.entry.holder.wake_all()
        self.assertEqual(200, (await call)[0])
        self.assertTrue(self.count("sent"))

    async def test_request_is_refused_before_it_is_useless(self):
        await self.open()
        began = time.monotonic()
        call = await self.begin_call()
        self.entry.others = LONG
        status, head, _ = await call
        self.assertEqual(503, status)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertGreater(float(header(head, b"retry-after")), 0)
        self.assertTrue(self.count("refused"))

    async def test_request_that_cannot_be_served_is_refused_at_once(self):
        await self.open()
        self.entry.others = LONG
        self.assertEqual(503, (await self.entry.call())[0])
        self.assertNotIn("waited_seconds_count", self.read_metrics())

    async def test_request_of_a_caller_that_leaves_is_not_sent(self):
        await self.open()
        await self.begin_call()
        for connection in list(self.entry.callers.connections):
            connection._transport.abort()
        await asyncio.sleep(0.05)
        self.entry.others = Load()
        self.entry.holder.wake_all()
        await asyncio.sleep(0.1)
        self.assertEqual([], self.endpoint.seen)
        self.assertIn("burdockdrum_waiting_bytes 0", self.read_metrics())
        self.assertTrue(self.count("left"))

    async def test_drain_of_the_entry_ends_the_wait(self):
        await self.open()
        call = await self.begin_call()
        self.entry.drain.refusal = Refusal(
            code=RefusalCode.DRAINING,
            message="shutting down",
            verdict=Verdict.NOT_RUN,
            retry_after=1.0,
        )
        status, head, body = await call
        self.assertEqual(503, status)
        self.assertIn(b"shutting down", body)
        self.assertEqual([], self.endpoint.seen)

    async def test_loss_of_the_endpoint_ends_the_wait(self):
        await self.open()
        call = await self.begin_call()
        self.entry.registered.clear()
        status, _, body = await call
        self.assertEqual(503, status)
        self.assertIn(b"none of 0 local endpoints", body)

    async def test_request_sent_to_a_dying_endpoint_is_tried_again(self):
        await self.open(close_without_response, answer(b"ran"))
        second = Endpoint(answer(b"ran"))
        address = await second.open()
        self.addAsyncCleanup(second.close)
        call = await self.begin_call()
        self.entry.add_endpoint("spare", address)
        self.entry.others = Load()
        status, _, body = await call
        self.assertEqual((200, b"ran"), (status, body))

    async def test_forwarded_request_does_not_wait(self):
        await self.open()
        status, _, _ = await self.entry.call(forwarded_from=b"there")
        self.assertEqual(200, status)
        self.assertNotIn("waited_seconds_count", self.read_metrics())


class ReturnTest(WaitingCase):
    """Without the line, refused callers are told when to come back."""

    PARTS = (
        NAMES.token_counts + b": 8000,24",
        NAMES.prompt_parts + b": a1:2000,b2:6000",
    )

    async def refuse(self):
        """Return the body and the time of a refusal."""
        status, head, body = await self.entry.call(*self.PARTS)
        self.assertEqual(503, status)
        return body, float(header(head, b"retry-after"))

    async def test_request_that_returns_too_early_is_refused_again(self):
        # Guards against callers that gain by repeating at once.
        await self.open()
        self.entry.others = LONG
        body, _ = await self.refuse()
        self.assertIn(b"exceeds", body)
        self.entry.others = Load()
        body, seconds = await self.refuse()
        self.assertIn(b"returned before", body)
        await asyncio.sleep(seconds)
        self.assertEqual(200, (await self.entry.call(*self.PARTS))[0])


if __name__ == "__main__":
    unittest.main()
