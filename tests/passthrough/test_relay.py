"""Tests of requests through an entry, over sockets on loopback."""

import asyncio
import time

from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_unanswered
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import keep_silent
from tests.passthrough.entries import RelayCase

NOT_RUN = b"X-Not-Started: 1"


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
        entry.fleet._learning._run_seconds_by_service["model"] = 0.03
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
        entry.fleet._learning._run_seconds_by_service["model"] = 0.03
        status, _, body = await entry.call()
        self.assertEqual((200, b"ran"), (status, body))
        self.assertEqual(1, len(endpoint.seen))

    async def test_unrepeatable_request_waits_for_its_endpoint(self):
        entry = await self.open(
            Endpoint(keep_silent), Endpoint(answer()), idempotent=False
        )
        entry.fleet._learning._run_seconds_by_service["model"] = 0.03
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
