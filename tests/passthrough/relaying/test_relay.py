"""Tests of responses with complete bodies, over loopback sockets."""

import asyncio
import time

from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_without_response
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase

NOT_RUN = b"X-Not-Started: 1"


class WholeAnswerTest(RelayCase):
    """Requests whose response is not a stream."""

    async def test_request_and_response_are_forwarded_unchanged(self):
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

    async def test_lost_non_idempotent_request_is_not_retried(self):
        # The endpoint closes the connection after reading the request, which
        # may have run. Guards against running it twice.
        endpoints = [Endpoint(close_without_response) for _ in range(2)]
        entry = await self.open(*endpoints, idempotent=False)
        status, _, _ = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(502, status)
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))

    async def test_lost_idempotent_request_is_retried_up_to_its_attempts(self):
        endpoints = [
            Endpoint(close_without_response, answer()),
            Endpoint(close_without_response, answer()),
        ]
        entry = await self.open(*endpoints, attempts=2)
        self.assertEqual(502, (await entry.call())[0])
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))
        self.assertEqual(200, (await entry.call())[0])

    async def test_refused_non_idempotent_request_is_retried(self):
        # Retrying is safe: the endpoints guarantee that it has not run.
        endpoints = [
            Endpoint(answer(b"", b"503 Full", NOT_RUN)),
            Endpoint(answer(b"", b"421 Misdirected", has_provenance=False)),
            Endpoint(answer(b"ran")),
        ]
        entry = await self.open(*endpoints, idempotent=False)
        for _ in range(3):
            status, _, body = await entry.call(method=b"POST", body=b"x")
            self.assertEqual((200, b"ran"), (status, body))

    async def test_replaced_endpoint_is_tried_once(self):
        # After a crash another endpoint has the address and responds with
        # 421. Guards against spending the retry budget on further requests.
        replaced = Endpoint(
            answer(b"", b"421 Misdirected", has_provenance=False)
        )
        entry = await self.open(replaced, Endpoint(answer(b"ran")))
        for _ in range(8):
            self.assertEqual(200, (await entry.call())[0])
        self.assertLessEqual(len(replaced.seen), 1)

    async def test_refusal_by_all_endpoints_is_retryable(self):
        full = answer(b"", b"503 Full", NOT_RUN)
        entry = await self.open(Endpoint(full), idempotent=False)
        status, head, _ = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(503, status)
        self.assertGreater(float(header(head, b"retry-after")), 0)

    async def test_retryable_status_without_not_run_header_is_replaced(self):
        # Callers take these statuses for "not run", but the endpoint ran the
        # request. Guards against a caller's unsafe retry.
        for status in (b"503 Busy", b"429 Slow", b"408 Late"):
            with self.subTest(status=status):
                endpoint = Endpoint(answer(b"", status))
                entry = await self.open(endpoint, idempotent=False)
                given, head, _ = await entry.call(method=b"POST", body=b"x")
                self.assertEqual(502, given)
                self.assertIsNone(header(head, b"x-endpoint"))

    async def test_endpoint_error_is_forwarded(self):
        entry = await self.open(
            Endpoint(answer(b"why", b"500 Bad")), idempotent=False
        )
        status, head, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual((500, b"why"), (status, body))
        self.assertEqual(b"e", header(head, b"x-endpoint"))

    async def test_failed_idempotent_request_is_retried_elsewhere(self):
        bad = answer(b"why", b"500 Bad")
        endpoints = [Endpoint(bad, answer()), Endpoint(bad, answer())]
        entry = await self.open(*endpoints, attempts=3)
        status, _, body = await entry.call()
        self.assertEqual(500, status)
        self.assertEqual(b"why", body)
        self.assertEqual(2, sum(len(e.seen) for e in endpoints))

    async def test_response_not_from_the_endpoint_is_not_forwarded(self):
        # HARD CASE 6: no provenance header, the id of another request, a
        # malformed response, an unrequested content coding.
        async def crossed(writer, request_id):
            await answer(b"other")(writer, b"r9")
            writer.close()

        wrong = {
            "unmarked": answer(b"x", has_provenance=False),
            "crossed": crossed,
            "encoded": answer(b"x", b"200 OK", b"Content-Encoding: gzip"),
            "garbled": self.garble,
        }
        for name, respond in wrong.items():
            with self.subTest(name=name):
                entry = await self.open(Endpoint(respond), idempotent=False)
                status, _, body = await entry.call(method=b"POST", body=b"x")
                self.assertEqual(502, status)
                self.assertNotIn(b"other", body)

    async def garble(self, writer, request_id):
        writer.write(b"\x00\x01 no answer\r\n\r\n")
        writer.close()

    async def test_truncated_body_is_not_forwarded(self):
        async def cut(writer, request_id):
            await answer(b"half", length=9)(writer, request_id)
            writer.close()

        entry = await self.open(Endpoint(cut), idempotent=False)
        status, _, body = await entry.call(method=b"POST", body=b"x")
        self.assertEqual(502, status)
        self.assertNotIn(b"half", body)

    async def test_unresponsive_endpoint_times_out_at_the_deadline(self):
        entry = await self.open(Endpoint(never_respond), idempotent=False)
        started_at = time.monotonic()
        status, _, _ = await entry.call(b"X-Deadline-Ms: 300")
        self.assertEqual(504, status)
        self.assertLess(time.monotonic() - started_at, 0.6)

    async def test_idempotent_request_is_retried_after_power_loss(self):
        # The endpoint loses power and its connection stays open. Guards
        # against waiting for the deadline instead of retrying.
        shared = [never_respond, answer(b"ran")]
        endpoints = [Endpoint(never_respond), Endpoint(never_respond)]
        entry = await self.open(*endpoints, attempts=2)
        entry.fleet._timings._run_seconds_by_service["model"] = 0.03
        for endpoint in endpoints:
            endpoint.behaviours = shared
        started_at = time.monotonic()
        status, _, body = await entry.call()
        self.assertEqual((200, b"ran"), (status, body))
        self.assertLess(time.monotonic() - started_at, 1.0)

    async def test_slow_response_is_awaited_without_an_alternative(self):
        # The only endpoint queues the request for longer than usual. Guards
        # against a timeout of the attempt that no other endpoint can follow.
        async def respond_late(writer, request_id):
            await asyncio.sleep(1.0)
            await answer(b"ran")(writer, request_id)

        endpoint = Endpoint(respond_late)
        entry = await self.open(endpoint, attempts=2)
        entry.fleet._timings._run_seconds_by_service["model"] = 0.03
        status, _, body = await entry.call()
        self.assertEqual((200, b"ran"), (status, body))
        self.assertEqual(1, len(endpoint.seen))

    async def test_non_idempotent_request_waits_until_its_deadline(self):
        entry = await self.open(
            Endpoint(never_respond), Endpoint(answer()), idempotent=False
        )
        entry.fleet._timings._run_seconds_by_service["model"] = 0.03
        codes = set()
        for _ in range(6):
            codes.add((await entry.call(b"X-Deadline-Ms: 700"))[0])
        self.assertLessEqual(codes, {200, 504})

    async def test_oversized_deadline_is_ignored(self):
        # Guards against status 500: Python refuses to convert a number with
        # thousands of digits.
        entry = await self.open(Endpoint(answer(b"ran")))
        status, _, body = await entry.call(b"X-Deadline-Ms: " + b"9" * 5000)
        self.assertEqual((200, b"ran"), (status, body))

    async def test_request_without_endpoints_is_refused_at_once(self):
        entry = await self.open()
        started_at = time.monotonic()
        status, head, _ = await entry.call()
        self.assertEqual(503, status)
        self.assertIsNotNone(header(head, b"retry-after"))
        self.assertLess(time.monotonic() - started_at, 0.2)

    async def test_closed_port_is_skipped(self):
        # Nothing listens at a crashed endpoint's address. As nothing was
        # sent, even a non-idempotent request can be retried.
        dead = Endpoint(answer())
        entry = await self.open(
            dead, Endpoint(answer(b"ran")), idempotent=False
        )
        await dead.close()
        for _ in range(4):
            status, _, body = await entry.call(method=b"POST", body=b"x")
            self.assertEqual((200, b"ran"), (status, body))
