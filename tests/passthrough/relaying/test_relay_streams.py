"""Tests of streamed responses, over loopback sockets."""

import asyncio
import time

from tests.http1.wire import header
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import never_respond
from tests.passthrough.streams import StreamCase


class _UnclosableWriter:
    """A writer whose connection stays open after ``close``."""

    def __init__(self, writer):
        self.write = writer.write

    def close(self):
        """Do nothing."""


class StreamTest(StreamCase):
    """Responses that are streams of numbered events."""

    async def test_estimate_error_is_recorded(self):
        # An idle endpoint is expected to respond at once but takes 0.25 s;
        # the metric shows the difference.
        async def late(writer, request_id):
            await asyncio.sleep(0.25)
            await events(1, 3)(writer, request_id)

        entry = await self.open(Endpoint(late), **self.ROUTE)
        await self.call(entry)
        text = entry.metrics.text()
        name = "burdockdrum_first_part_error_seconds"
        [line] = [
            line
            for line in text.splitlines()
            if line.startswith(name) and 'quantile="0.5"' in line
        ]
        self.assertIn('side="later"', line)
        self.assertGreater(float(line.split()[-1]), 0.1)

    async def test_failed_stream_is_resumed_at_another_endpoint(self):
        # The first endpoint fails in the middle of event 3; another one
        # resumes after event 2. Guards against lost or duplicate events.
        first = events(1, 2, end=False, rest=event(3)[:8])
        endpoints = [
            Endpoint(first, events(3, 5)),
            Endpoint(first, events(3, 5)),
        ]
        endpoints[0].behaviours = [first, events(3, 5)]
        entry = await self.open(*endpoints, **self.ROUTE)
        shared = [first, events(3, 5)]
        for endpoint in endpoints:
            endpoint.behaviours = shared
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(event(n) for n in range(1, 6)), data)
        heads = [head for e in endpoints for head, _ in e.seen]
        asked = {header(head, b"last-event-id") for head in heads}
        self.assertEqual({None, b"2"}, asked)

    async def test_event_before_a_missing_one_is_sent(self):
        # Guards against a gap: event 4 comes in one part with event 6, for
        # which the attempt fails, so that the caller has not got it.
        async def skip(writer, request_id):
            await events(1, 3, end=None)(writer, request_id)
            data = event(4) + event(6)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await asyncio.sleep(0.1)

        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, **self.ROUTE)
        shared = [skip, events(4, 6)]
        for endpoint in endpoints:
            endpoint.behaviours = shared
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(event(n) for n in range(1, 7)), data)

    async def test_non_resumable_stream_is_truncated(self):
        endpoints = [
            Endpoint(events(1, 2, end=False)),
            Endpoint(events(1, 2, end=False)),
        ]
        entry = await self.open(*endpoints, streams=True, idempotent=False)
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, False), (status, is_complete))
        self.assertEqual(event(1) + event(2), data)
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))

    async def test_answer_holds_the_events_of_one_run(self):
        # Guards against a retry that appends its events to those of a run
        # which broke off, where no endpoint can go on with a stream.
        for broken in (
            events(1, 2, end=False),
            events(1, 2, end=False, rest=event(3)[:8]),
        ):
            shared = [broken, events(1, 5)]
            endpoints = [Endpoint(broken), Endpoint(broken)]
            entry = await self.open(*endpoints, streams=True, idempotent=True)
            for endpoint in endpoints:
                endpoint.behaviours = shared
            status, _, data, is_complete = await self.call(entry)
            self.assertEqual((200, False), (status, is_complete))
            self.assertEqual(event(1) + event(2), data)
            self.assertEqual(1, sum(len(e.seen) for e in endpoints))

    async def test_stream_that_goes_on_late_is_not_given_up(self):
        # Guards against breaking off an answer for a retry that can't go on
        # with it.
        async def pause(writer, request_id):
            await events(1, 2, end=False, rest=b"")(
                _UnclosableWriter(writer), request_id
            )
            await asyncio.sleep(2.5)
            data = event(3)
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))
            await writer.drain()

        endpoints = [Endpoint(pause), Endpoint(pause)]
        entry = await self.open(*endpoints, streams=True, idempotent=True)
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(event(n) for n in range(1, 4)), data)

    async def test_stalled_stream_is_resumed_at_another_endpoint(self):
        # The endpoint stops sending but its connection stays open. The
        # stream must resume elsewhere before callers disconnect.
        async def stall(writer, request_id):
            await events(1, 2, end=False, rest=b"")(
                _UnclosableWriter(writer), request_id
            )
            await asyncio.sleep(60)

        shared = [stall, events(3, 4)]
        endpoints = [Endpoint(stall), Endpoint(stall)]
        entry = await self.open(*endpoints, **self.ROUTE)
        for endpoint in endpoints:
            endpoint.behaviours = shared
        started_at = time.monotonic()
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(event(n) for n in range(1, 5)), data)
        self.assertLess(time.monotonic() - started_at, 2.5)

    async def test_failure_before_the_first_event_is_retried(self):
        # The endpoint crashes after the response head, which has not been
        # forwarded yet. Guards against losing the response.
        early = events(1, 0, end=False)
        shared = [early, events(1, 3)]
        endpoints = [Endpoint(early), Endpoint(early)]
        entry = await self.open(*endpoints, **self.ROUTE)
        for endpoint in endpoints:
            endpoint.behaviours = shared
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(event(n) for n in range(1, 4)), data)

    async def test_attempt_is_cancelled_when_the_caller_disconnects(self):
        # HARD CASE 7: a disconnected caller must leave no work behind.
        endpoint = Endpoint(never_respond)
        entry = await self.open(endpoint, **self.ROUTE)
        task = asyncio.create_task(self.call(entry))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for connection in list(entry.callers.connections):
            connection._transport.abort()
        await asyncio.sleep(0.2)
        self.assertEqual({}, entry.fleet.read_own_load())
