"""Tests of requests through an entry, over sockets on loopback."""

import asyncio
import time
import unittest

from loguru import logger

from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceRoom
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_unanswered
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryWorld
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import keep_silent

NOT_RUN = b"X-Not-Started: 1"


class _Open:
    """A writer that stays open."""

    def __init__(self, writer):
        self.write = writer.write

    def close(self):
        """Do nothing."""


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """An entry with some endpoints."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    async def open(self, *endpoints, **route):
        """Open an entry over endpoints for a route."""
        self.world = EntryWorld(**route)
        self.addAsyncCleanup(self.world.close)
        return await self.world.open_entry("here", endpoints)


class WholeAnswerTest(RelayCase):
    """Answers that are given in one piece."""

    async def test_request_and_answer_pass_untouched(self):
        endpoint = Endpoint(answer(b"\x00body", b"201 Created", b"X-Y: z"))
        entry = await self.open(endpoint, idempotent=False)
        status, head, body = await entry.call(
            b"X-Own: kept",
            b"X-Deadline-Ms: 2000",
            b"X-System: forged",
            b"X-Expected-Endpoint: forged",
            b"TE: trailers",
            method=b"POST",
            target=b"/p/a%20b?q=1&q=2",
            body=b"\x01\x02",
        )
        self.assertEqual((201, b"\x00body"), (status, body))
        self.assertEqual(b"z", header(head, b"x-y"))
        self.assertEqual(b"e", header(head, b"x-endpoint"))
        ((sent, sent_body),) = endpoint.seen
        self.assertTrue(sent.startswith(b"POST /p/a%20b?q=1&q=2 HTTP/1.1"))
        self.assertEqual(b"\x01\x02", sent_body)
        self.assertEqual(b"kept", header(sent, b"x-own"))
        self.assertEqual(b"here-0", header(sent, b"x-expected-endpoint"))
        self.assertIsNone(header(sent, b"x-system"))
        self.assertIsNone(header(sent, b"te"))
        self.assertLess(int(header(sent, b"x-deadline-ms")), 2001)
        self.assertGreater(int(header(sent, b"x-deadline-ms")), 1500)

    async def test_lost_unrepeatable_request_is_not_sent_again(self):
        # The endpoint reads the request and the connection ends: it may
        # have run. The caller hears so, and no other endpoint is asked.
        endpoints = [Endpoint(close_unanswered) for _ in range(2)]
        entry = await self.open(*endpoints, idempotent=False)
        status, _, _ = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(502, status)
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))

    async def test_lost_repeatable_request_is_sent_once_more(self):
        endpoints = [
            Endpoint(close_unanswered, answer()),
            Endpoint(close_unanswered, answer()),
        ]
        entry = await self.open(*endpoints, attempts=2)
        self.assertEqual(502, (await entry.call())[0])
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))
        self.assertEqual(200, (await entry.call())[0])

    async def test_refused_request_goes_elsewhere_though_unrepeatable(self):
        # A full endpoint promises that it has not run the request.
        endpoints = [
            Endpoint(answer(b"", b"503 Full", NOT_RUN)),
            Endpoint(answer(b"", b"421 Misdirected", stamp=False)),
            Endpoint(answer(b"ran")),
        ]
        entry = await self.open(*endpoints, idempotent=False)
        for _ in range(3):
            status, _, body = await entry.call(method=b"POST", body=b"x")
            self.assertEqual((200, b"ran"), (status, body))

    async def test_replaced_endpoint_is_asked_once(self):
        # An endpoint crashed without a word and another start, of another
        # service perhaps, has its address and says so. Each further request
        # there would only cost one of the retries.
        replaced = Endpoint(answer(b"", b"421 Misdirected", stamp=False))
        entry = await self.open(replaced, Endpoint(answer(b"ran")))
        for _ in range(8):
            self.assertEqual(200, (await entry.call())[0])
        self.assertLessEqual(len(replaced.seen), 1)

    async def test_refusal_by_all_is_passed_on_as_not_run(self):
        full = answer(b"", b"503 Full", NOT_RUN)
        entry = await self.open(Endpoint(full), idempotent=False)
        status, head, _ = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(503, status)
        self.assertGreater(float(header(head, b"retry-after")), 0)

    async def test_failure_that_sounds_like_a_promise_is_none(self):
        # The endpoint ran the request and answers 503 without saying that
        # it has not. Passed on as it is, it would promise "not run".
        for status in (b"503 Busy", b"429 Slow", b"408 Late"):
            with self.subTest(status=status):
                endpoint = Endpoint(answer(b"", status))
                entry = await self.open(endpoint, idempotent=False)
                given, head, _ = await entry.call(method=b"POST", body=b"x")
                self.assertEqual(502, given)
                self.assertIsNone(header(head, b"x-endpoint"))

    async def test_failure_of_the_endpoint_is_passed_on(self):
        entry = await self.open(
            Endpoint(answer(b"why", b"500 Bad")), idempotent=False
        )
        status, head, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual((500, b"why"), (status, body))
        self.assertEqual(b"e", header(head, b"x-endpoint"))

    async def test_failure_is_tried_elsewhere_where_it_may_be(self):
        bad = answer(b"why", b"500 Bad")
        endpoints = [Endpoint(bad, answer()), Endpoint(bad, answer())]
        entry = await self.open(*endpoints, attempts=3)
        status, _, body = await entry.call()
        self.assertEqual(500, status)
        self.assertEqual(b"why", body)
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))

    async def test_answers_that_are_not_the_endpoints_reach_nobody(self):
        # HARD CASE 6: no mark of the endpoint, another request's id, a cut
        # body, a coding that nobody asked for.
        async def crossed(writer, request_id):
            await answer(b"other")(writer, b"r9")
            writer.close()

        wrong = {
            "unmarked": answer(b"x", stamp=False),
            "crossed": crossed,
            "encoded": answer(b"x", b"200 OK", b"Content-Encoding: gzip"),
            "garbled": self.garble,
        }
        for name, behave in wrong.items():
            with self.subTest(name=name):
                entry = await self.open(Endpoint(behave), idempotent=False)
                status, _, body = await entry.call(method=b"POST", body=b"x")
                self.assertEqual(502, status)
                self.assertNotIn(b"other", body)

    async def garble(self, writer, request_id):
        writer.write(b"\x00\x01 no answer\r\n\r\n")
        writer.close()

    async def test_cut_body_is_never_begun(self):
        async def cut(writer, request_id):
            await answer(b"half", length=9)(writer, request_id)
            writer.close()

        entry = await self.open(Endpoint(cut), idempotent=False)
        status, _, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(502, status)
        self.assertNotIn(b"half", body)

    async def test_silent_endpoint_costs_no_more_than_the_deadline(self):
        entry = await self.open(Endpoint(keep_silent), idempotent=False)
        began = time.monotonic()
        status, _, _ = await entry.call(b"X-Deadline-Ms: 300")
        self.assertEqual(504, status)
        self.assertLess(time.monotonic() - began, 0.6)

    async def test_dark_endpoint_costs_a_repeatable_request_little(self):
        # The endpoint loses its power with the request on a connection. The
        # caller has an answer from another one long before its deadline.
        shared = [keep_silent, answer(b"ran")]
        endpoints = [Endpoint(keep_silent), Endpoint(keep_silent)]
        entry = await self.open(*endpoints, attempts=2)
        entry.fleet._run_seconds_by_service["model"] = 0.03
        for endpoint in endpoints:
            endpoint.behaviours = shared
        began = time.monotonic()
        status, _, body = await entry.call()
        self.assertEqual((200, b"ran"), (status, body))
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_slow_answer_is_waited_for_where_no_other_is(self):
        # Every endpoint is busy and the request waits in a queue for far
        # longer than usual. Given up it would lose its place, run nowhere
        # else and fail; it is answered once its turn has come.
        async def answer_late(writer, request_id):
            await asyncio.sleep(1.0)
            await answer(b"ran")(writer, request_id)

        endpoint = Endpoint(answer_late)
        entry = await self.open(endpoint, attempts=2)
        entry.fleet._run_seconds_by_service["model"] = 0.03
        status, _, body = await entry.call()
        self.assertEqual((200, b"ran"), (status, body))
        self.assertEqual(1, len(endpoint.seen))

    async def test_unrepeatable_request_waits_for_its_endpoint(self):
        entry = await self.open(
            Endpoint(keep_silent), Endpoint(answer()), idempotent=False
        )
        entry.fleet._run_seconds_by_service["model"] = 0.03
        codes = set()
        for _ in range(6):
            codes.add((await entry.call(b"X-Deadline-Ms: 700"))[0])
        self.assertLessEqual(codes, {200, 504})

    async def test_absurd_deadline_is_none(self):
        # A number of thousands of digits was answered 500: the conversion
        # raises an error of its own.
        entry = await self.open(Endpoint(answer(b"ran")))
        status, _, body = await entry.call(b"X-Deadline-Ms: " + b"9" * 5000)
        self.assertEqual((200, b"ran"), (status, body))

    async def test_nowhere_to_go_is_said_at_once(self):
        entry = await self.open()
        began = time.monotonic()
        status, head, _ = await entry.call()
        self.assertEqual(503, status)
        self.assertIsNotNone(header(head, b"retry-after"))
        self.assertLess(time.monotonic() - began, 0.2)

    async def test_closed_port_is_passed_over(self):
        # An endpoint has crashed: nothing listens at its address. Nothing
        # was sent, so even an unrepeatable request goes to another one.
        dead = Endpoint(answer())
        entry = await self.open(
            dead, Endpoint(answer(b"ran")), idempotent=False
        )
        await dead.close()
        for _ in range(4):
            status, _, body = await entry.call(method=b"POST", body=b"x")
            self.assertEqual((200, b"ran"), (status, body))


class StreamTest(RelayCase):
    """Answers that are streams of numbered events."""

    ROUTE = {"streams": True, "resumable": True}

    async def call(self, entry):
        status, head, body = await entry.call(method=b"POST", body=b"x")
        if b"chunked" not in head:
            return status, head, body, True
        whole = body.endswith(b"0\r\n\r\n")
        data = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            if not size or int(size, 16) == 0:
                break
            data += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return status, head, data, whole

    async def test_broken_stream_goes_on_where_it_stopped(self):
        # The first endpoint stops in the middle of event 3. The caller gets
        # one answer with every event once; the second endpoint was asked to
        # go on after event 2.
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
        status, _, data, whole = await self.call(entry)
        self.assertEqual((200, True), (status, whole))
        self.assertEqual(b"".join(event(n) for n in range(1, 6)), data)
        heads = [head for e in endpoints for head, _ in e.seen]
        asked = {header(head, b"last-event-id") for head in heads}
        self.assertEqual({None, b"2"}, asked)

    async def test_stream_that_may_not_resume_is_cut(self):
        endpoints = [
            Endpoint(events(1, 2, end=False)),
            Endpoint(events(1, 2, end=False)),
        ]
        entry = await self.open(*endpoints, streams=True, idempotent=False)
        status, _, data, whole = await self.call(entry)
        self.assertEqual((200, False), (status, whole))
        self.assertEqual(event(1) + event(2), data)
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))

    async def test_stream_that_stalls_goes_on_elsewhere(self):
        # The endpoint sends two events and then nothing, its connection
        # stays open. Callers leave after some seconds; before that another
        # endpoint has gone on.
        async def stall(writer, request_id):
            await events(1, 2, end=False, rest=b"")(_Open(writer), request_id)
            await asyncio.sleep(60)

        shared = [stall, events(3, 4)]
        endpoints = [Endpoint(stall), Endpoint(stall)]
        entry = await self.open(*endpoints, **self.ROUTE)
        for endpoint in endpoints:
            endpoint.behaviours = shared
        began = time.monotonic()
        status, _, data, whole = await self.call(entry)
        self.assertEqual((200, True), (status, whole))
        self.assertEqual(b"".join(event(n) for n in range(1, 5)), data)
        self.assertLess(time.monotonic() - began, 2.5)

    async def test_loss_before_the_first_event_costs_no_answer(self):
        # The head has come and the endpoint crashes: nothing has been
        # passed on yet, so another one gives the whole answer.
        early = events(1, 0, end=False)
        shared = [early, events(1, 3)]
        endpoints = [Endpoint(early), Endpoint(early)]
        entry = await self.open(*endpoints, **self.ROUTE)
        for endpoint in endpoints:
            endpoint.behaviours = shared
        status, _, data, whole = await self.call(entry)
        self.assertEqual((200, True), (status, whole))
        self.assertEqual(b"".join(event(n) for n in range(1, 4)), data)

    async def test_endpoint_stops_when_the_caller_goes(self):
        # HARD CASE 7, here and across a hop.
        endpoint = Endpoint(keep_silent)
        entry = await self.open(endpoint, **self.ROUTE)
        task = asyncio.create_task(self.call(entry))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for connection in list(entry.callers.connections):
            connection._transport.abort()
        await asyncio.sleep(0.2)
        self.assertEqual({}, entry.fleet.read_own_load())


class HopTest(RelayCase):
    """Requests that are served in another region."""

    async def open_two(self, here=(), there=(), rooms=("there",), **route):
        self.world = EntryWorld(**route)
        self.addAsyncCleanup(self.world.close)
        entry = await self.world.open_entry("here", here, rooms=rooms)
        await self.world.open_entry("there", there, rooms=("here",))
        return entry

    async def test_request_without_endpoints_here_is_passed_on(self):
        endpoint = Endpoint(answer(b"far"))
        entry = await self.open_two(there=[endpoint], idempotent=False)
        status, head, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual((200, b"far"), (status, body))
        ((sent, _),) = endpoint.seen
        self.assertEqual(b"there-0", header(sent, b"x-expected-endpoint"))
        for name in (b"x-burdockdrum-from", b"x-burdockdrum-attempts"):
            self.assertIsNone(header(sent, name))
        self.assertIsNone(header(head, b"x-verdict"))

    async def test_refusal_from_the_other_side_is_truthful(self):
        for behave, expected in (
            (answer(b"", b"503 Full", NOT_RUN), 503),
            (close_unanswered, 502),
        ):
            entry = await self.open_two(
                there=[Endpoint(behave)], idempotent=False
            )
            status, head, _ = await entry.call(method=b"POST", body=b"x")
            self.assertEqual(expected, status)
            self.assertIsNone(header(head, b"x-verdict"))

    async def test_attempts_are_counted_across_the_hop(self):
        # The entry here passes a request on; both endpoints there fail, and
        # the caller's route allows two. It must not run here as well.
        bad = answer(b"why", b"500 Bad")
        here = Endpoint(bad)
        there = [Endpoint(bad), Endpoint(bad)]
        entry = await self.open_two(
            here=[here], there=there, attempts=2, homes=["there", "here"]
        )
        busy = Load.of([RankLoad(0, 1, 550)])
        entry.fleet._read_load = lambda name: busy
        status, _, _ = await entry.call(b"X-Deadline-Ms: 60000")
        self.assertEqual(500, status)
        runs = len(here.seen) + sum(len(e.seen) for e in there)
        self.assertEqual(2, runs)

    async def test_lost_hop_counts_as_all_that_was_allowed(self):
        # The other entry is gone in the middle: it may have used every
        # attempt that it was given.
        there = Endpoint(keep_silent)
        entry = await self.open_two(
            here=[Endpoint(answer(b"here"))], there=[there], attempts=2
        )
        busy = Load.of([RankLoad(0, 1, 550)])
        entry.fleet._read_load = lambda name: busy
        task = asyncio.create_task(entry.call())
        await asyncio.sleep(0.2)
        self.assertEqual(1, len(there.seen))
        for connection in list(self.world.entries["there"].vms.connections):
            connection._transport.abort()
        self.assertEqual(502, (await task)[0])

    async def test_homes_are_kept_to(self):
        # HARD CASE 10: the entry's own region is no home, then no region
        # with room is.
        here, there = Endpoint(answer(b"here")), Endpoint(answer(b"there"))
        entry = await self.open_two(
            here=[here], there=[there], homes=["there"]
        )
        self.assertEqual(b"there", (await entry.call())[2])
        self.assertEqual([], here.seen)
        entry = await self.open_two(
            here=[Endpoint(answer())],
            there=[Endpoint(answer())],
            homes=["third"],
        )
        self.assertEqual(503, (await entry.call())[0])

    async def test_old_report_of_a_full_region_refuses_nothing(self):
        # There is no endpoint here. Half a second ago the one there was
        # busy, for a moment: whether it still is the entry there knows.
        there = Endpoint(answer(b"far"))
        entry = await self.open_two(there=[there])
        entry.rooms[:] = [
            ServiceRoom("there", "model", 1, 1, [RankLoad(0, 1, 0)])
        ]
        for _ in range(20):
            self.assertEqual(200, (await entry.call())[0])
        # How long requests run is learned from the answers that come.
        self.assertLess(entry.fleet.run_seconds("model"), 0.25)

    async def test_request_is_passed_on_once_only(self):
        # HARD CASE 11: each of two regions thinks that the other has room.
        entry = await self.open_two()
        began = time.monotonic()
        self.assertEqual(503, (await entry.call())[0])
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_stream_crosses_as_it_comes(self):
        entry = await self.open_two(
            there=[Endpoint(events(1, 3))], streams=True
        )
        _, _, body = await entry.call(method=b"POST", body=b"x")
        self.assertIn(event(3), body)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))

    async def test_lone_hop_leaves_no_work_behind(self):
        endpoint = Endpoint(keep_silent)
        entry = await self.open_two(there=[endpoint])
        task = asyncio.create_task(entry.call())
        await asyncio.sleep(0.2)
        for connection in list(entry.callers.connections):
            connection._transport.abort()
        await asyncio.sleep(0.2)
        other = self.world.entries["there"]
        self.assertEqual({}, other.fleet.read_own_load())
        await asyncio.gather(task, return_exceptions=True)
