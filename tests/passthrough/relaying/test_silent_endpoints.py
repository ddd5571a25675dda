"""Tests of endpoints that fall silent for a while, over loopback sockets."""

import asyncio
import time

from burdockdrum.passthrough.protocol import MAX_NOT_STARTED_ATTEMPTS
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.http1.wire import ScriptedServer
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_without_response
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import NAMES
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase
from tests.passthrough.streams import StreamCase

PAUSE_SECONDS = 2.0
NOT_RUN = NAMES.not_run + b": 1"
REJECT = answer(b"", b"503 Service Unavailable", NOT_RUN)
FAIL = answer(b"", b"500 Internal Server Error")


class _OpenWriter:
    """A writer whose connection stays open after ``close``."""

    def __init__(self, writer):
        self.write = writer.write

    def close(self):
        """Do nothing."""


async def pause_in_stream(writer, request_id):
    """Send three events, nothing for a while, and two more."""
    begin = events(1, 3, end=False)
    await begin(_OpenWriter(writer), request_id)
    await asyncio.sleep(PAUSE_SECONDS)
    for number in (4, 5):
        writer.write(b"%x\r\n%s\r\n" % (len(event(number)), event(number)))
    writer.write(b"0\r\n\r\n")


async def pause_before_stream(writer, request_id):
    """Send a stream after a while."""
    await asyncio.sleep(PAUSE_SECONDS)
    await events(1, 5)(writer, request_id)


async def pause_before_answer(writer, request_id):
    """Send a whole answer after a while."""
    await asyncio.sleep(PAUSE_SECONDS)
    await answer(b"late")(writer, request_id)


async def pause_before_answer_for_long(writer, request_id):
    """Send a whole answer after longer than any usual silence."""
    await asyncio.sleep(1.5 * PAUSE_SECONDS)
    await answer(b"late")(writer, request_id)


async def pause_twice(writer, request_id):
    """Be silent for longer than the other endpoint."""
    await asyncio.sleep(2 * PAUSE_SECONDS)
    await events(4, 5)(writer, request_id)


FAILURES = {
    "rejects": REJECT,
    "fails": FAIL,
    "closes": close_without_response,
    "pauses too": pause_twice,
    "never responds": never_respond,
}


def share(endpoints, *behaviours):
    """Let whichever endpoint gets the next request use the next behaviour."""
    shared = list(behaviours)
    for endpoint in endpoints:
        endpoint.behaviours = shared


class PausingStreamTest(StreamCase):
    """Streams of a sound endpoint that sends nothing for a while."""

    async def stream(self, *behaviours, **route):
        """Send a stream to two endpoints; return its parts."""
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(
            *endpoints, **{"timeout_seconds": 4.0, **self.ROUTE, **route}
        )
        share(endpoints, *behaviours)
        return await self.call(entry)

    async def test_stream_is_kept_while_its_successor_fails(self):
        # Guards against cutting a stream whose endpoint would have gone on,
        # for an attempt elsewhere that came to nothing.
        for name, other in FAILURES.items():
            with self.subTest(name):
                status, _, data, is_complete = await self.stream(
                    pause_in_stream, other
                )
                self.assertEqual((200, True), (status, is_complete))
                self.assertEqual(b"".join(map(event, range(1, 6))), data)

    async def test_unbegun_stream_is_kept_while_its_successor_fails(self):
        # Guards against failing a request for an attempt elsewhere that came
        # to nothing, before its first event.
        for name, other in FAILURES.items():
            with self.subTest(name):
                status, _, data, is_complete = await self.stream(
                    pause_before_stream, other
                )
                self.assertEqual((200, True), (status, is_complete))
                self.assertEqual(b"".join(map(event, range(1, 6))), data)

    async def test_stalled_stream_that_goes_on_ends_its_successor(self):
        # Guards against events of two runs in one response, and against a
        # successor that works on in vain.
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        share(endpoints, pause_in_stream, never_respond)
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(map(event, range(1, 6))), data)
        await asyncio.sleep(0.1)
        self.assertEqual({}, entry.fleet.read_own_load())

    async def test_no_more_endpoints_than_attempts_get_a_stalled_stream(self):
        # Guards against a retry for each time that an attempt stalls.
        endpoints = [Endpoint(None) for _ in range(4)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        share(endpoints, pause_in_stream, FAIL)
        await self.call(entry)
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))

    async def test_stalled_stream_tries_as_few_endpoints_as_any_request(self):
        # Guards against a rejection of each endpoint of a service, one after
        # another at once, for a single silent one.
        endpoints = [Endpoint(None) for _ in range(12)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        share(endpoints, pause_in_stream, REJECT)
        for _ in range(20):
            entry.budget.record_request("model")
        await self.call(entry)
        tried = sum(len(e.seen) for e in endpoints)
        self.assertLessEqual(tried, 2 + MAX_NOT_STARTED_ATTEMPTS)

    async def test_caller_that_leaves_ends_both_attempts(self):
        # Guards against work for a caller that has left.
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, **self.ROUTE)
        share(endpoints, pause_in_stream, never_respond)
        task = asyncio.create_task(self.call(entry))
        await asyncio.sleep(1.8)
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))
        for connection in list(entry.callers.connections):
            connection._transport.abort()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.2)
        self.assertEqual({}, entry.fleet.read_own_load())

    async def test_endpoint_that_goes_on_is_used_again(self):
        # Guards against an endpoint that is set aside for a pause.
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        share(endpoints, pause_before_stream, REJECT)
        await self.call(entry)
        for endpoint in entry.registered.values():
            health = entry.fleet.health_of(endpoint)
            self.assertFalse(health.is_ejected(time.monotonic()))


class PausingAnswerTest(RelayCase):
    """Whole answers of a sound endpoint that is silent for a while."""

    async def test_answer_is_kept_while_its_successor_fails(self):
        # Guards against failing a request for an attempt elsewhere that came
        # to nothing.
        for name, other in FAILURES.items():
            with self.subTest(name):
                endpoints = [Endpoint(None), Endpoint(None)]
                entry = await self.open(*endpoints, timeout_seconds=4.0)
                share(endpoints, pause_before_answer, other)
                status, _, body = await entry.call()
                self.assertEqual((200, b"late"), (status, body))

    async def test_final_error_of_a_successor_is_delivered(self):
        # Guards against waiting for a silent endpoint although another one
        # has answered for good.
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, timeout_seconds=4.0)
        share(endpoints, never_respond, answer(b"no", b"404 Not Found"))
        status, _, body = await entry.call()
        self.assertEqual((404, b"no"), (status, body))


class PausingHopTest(RelayCase):
    """Answers that another entry has forwarded, after a while."""

    async def test_hop_that_may_use_all_attempts_is_kept(self):
        # Guards against giving up the only attempt that is allowed.
        self.world = EntryDeployment(timeout_seconds=4.0)
        self.addAsyncCleanup(self.world.close)
        first = await self.world.open_entry("here", capacities=["over"])
        first.budget.record_request("model")
        remote = Endpoint(pause_before_answer_for_long)
        await self.world.open_entry("over", [remote])

        async def answer_here(reader, writer):
            raise AssertionError("the request went to a second target")

        async def register_later():
            await asyncio.sleep(0.2)
            local = ScriptedServer(answer_here)
            first.add_endpoint("late", await local.open())
            self.addAsyncCleanup(local.close)

        task = asyncio.create_task(register_later())
        status, _, body = await first.call()
        await task
        self.assertEqual((200, b"late"), (status, body))


class FailingSuccessorTest(StreamCase):
    """A stalled attempt whose successor finds no target at once."""

    async def stream(self, error):
        """Raise an error in each successor.

        :returns: how many there were, and the response
        """
        endpoints = [Endpoint(pause_in_stream), Endpoint(pause_in_stream)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        finder = entry.relay._runner._finder
        find, calls = finder.find, []

        async def find_once(request, progress):
            calls.append(request)
            if len(calls) > 1:
                raise error
            return await find(request, progress)

        finder.find = find_once
        status, _, data, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(map(event, range(1, 6))), data)
        return len(calls) - 1

    async def test_stream_is_kept_when_its_successor_raises(self):
        # Guards against ending a sound stream by an unexpected exception in
        # the attempt that was to replace it.
        self.assertGreater(await self.stream(KeyError("a fault")), 0)

    async def test_refused_successor_is_not_started_again_at_once(self):
        # Guards against a loop that takes all processor time until the
        # stalled attempt goes on.
        refusal = Refusal(
            code=RefusalCode.QUARANTINED,
            message="refused",
            verdict=Verdict.NOT_RUN,
        )
        for error in (refusal, KeyError("a fault")):
            with self.subTest(error=error):
                self.assertLess(await self.stream(error), 5)

    async def test_refusal_of_a_successor_does_not_promise_too_much(self):
        # Guards against the promise that a request has not run, made before
        # the stalled attempt failed and given to the caller after it.
        async def fail_late(writer, request_id):
            await asyncio.sleep(PAUSE_SECONDS)
            writer.close()

        endpoints = [Endpoint(fail_late), Endpoint(fail_late)]
        entry = await self.open(*endpoints, timeout_seconds=4.0)
        finder = entry.relay._runner._finder
        find, calls = finder.find, []

        async def find_once(request, progress):
            calls.append(request)
            if len(calls) == 1:
                return await find(request, progress)
            refusal = Refusal(
                code=RefusalCode.OVERLOADED,
                message="waited in vain",
                verdict=progress.verdict,
            )
            await asyncio.sleep(PAUSE_SECONDS)
            raise refusal

        finder.find = find_once
        status, _, body = await entry.call()
        self.assertEqual((502, b"waited in vain"), (status, body))
