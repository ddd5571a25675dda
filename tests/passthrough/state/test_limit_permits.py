"""Tests of permits to send to endpoints that have rate limits."""

import random
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.endpoint_limits import EndpointLimits
from burdockdrum.passthrough.state.limit_permits import LimitPermits
from burdockdrum.passthrough.state.limit_permits import PERMIT_SECONDS
from burdockdrum.passthrough.state.limit_permits import PermitReply
from burdockdrum.passthrough.state.limit_permits import PermitRequest
from burdockdrum.peers import CallFailed
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import ManualClock

DENIED = PermitReply(is_granted=False, retry_after=3.0, next_after=0.5)
GRANTED = PermitReply(is_granted=True)


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Permits for the endpoint p, whose limit is 2 a second."""

    def setUp(self):
        self.clock = ManualClock()
        self.share = None
        self.holders = {"h": "tcp://h:1"}
        self.asked = []
        self.reply = GRANTED
        self.reply_seconds = 0.01
        endpoint = make_endpoint("p")
        self.limits = EndpointLimits(
            clock=self.clock,
            metrics=Metrics(),
            read_endpoints=lambda: {"p": endpoint},
            read_share=lambda endpoint_id, limit: self.share,
        )
        self.limits.observe(endpoint, [b"2"], sent_at=0.0)
        self.permits = LimitPermits(
            clock=self.clock,
            rng=random.Random(1),
            limits=self.limits,
            metrics=Metrics(),
            read_holders=lambda endpoint_id, limit: self.holders,
            ask=self.ask,
        )

    async def ask(self, address, request):
        self.asked.append((address, request.endpoint_id))
        self.clock.now += self.reply_seconds
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply

    async def acquire(self):
        return await self.permits.acquire(["p"], seconds_left=10.0)

    async def test_holder_grants_a_permit(self):
        result = await self.acquire()
        self.assertEqual("p", result.endpoint_id)
        self.assertEqual([("tcp://h:1", "p")], self.asked)

    async def test_denial_says_when_to_come_back(self):
        self.reply = DENIED
        result = await self.acquire()
        self.assertIsNone(result.endpoint_id)
        self.assertEqual(3.0, result.retry_after)

    async def test_holder_is_not_asked_again_before_the_next_permit(self):
        # Guards against a message for each of many refused requests.
        self.reply = DENIED
        for _ in range(20):
            result = await self.acquire()
            self.assertIsNone(result.endpoint_id)
            self.assertGreater(result.retry_after, 0.0)
        self.assertEqual(1, len(self.asked))
        self.clock.now += 0.5
        self.reply = GRANTED
        self.assertEqual("p", (await self.acquire()).endpoint_id)

    async def test_late_permit_is_not_used(self):
        # Guards against a permit that a frozen entry uses seconds later, in
        # addition to those that the holder has granted meanwhile.
        self.reply_seconds = PERMIT_SECONDS + 0.01
        self.assertIsNone((await self.acquire()).endpoint_id)

    async def test_holder_that_does_not_reply_is_avoided_for_a_while(self):
        self.reply = CallFailed("no reply")
        for _ in range(5):
            self.assertIsNone((await self.acquire()).endpoint_id)
        self.assertEqual(1, len(self.asked))

    async def test_another_holder_is_asked_as_well(self):
        self.holders = {"h": "tcp://h:1", "i": "tcp://i:1"}
        self.reply = DENIED
        for _ in range(20):
            await self.acquire()
        self.assertEqual(
            {"tcp://h:1", "tcp://i:1"}, {address for address, _ in self.asked}
        )
        self.assertEqual(2, len(self.asked))

    async def test_entry_without_rosters_sends_nothing(self):
        self.holders = {}
        result = await self.acquire()
        self.assertIsNone(result.endpoint_id)
        self.assertGreater(result.retry_after, 0.0)
        self.assertEqual([], self.asked)

    async def test_holder_grants_its_share_once(self):
        # Guards against granting without counting.
        self.share = 2.0
        self.clock.now += 0.6
        request = PermitRequest(endpoint_id="p")
        replies = [await self.permits.handle(None, request) for _ in range(4)]
        self.assertEqual(
            [True, False, False, False], [r.is_granted for r in replies]
        )

    async def test_denied_requests_are_told_different_times(self):
        # Guards against refused callers that all return for one permit.
        self.share = 2.0
        request = PermitRequest(endpoint_id="p")
        replies = [await self.permits.handle(None, request) for _ in range(5)]
        waits = [reply.retry_after for reply in replies]
        for first, second in zip(waits, waits[1:], strict=False):
            self.assertAlmostEqual(0.5, second - first)
        self.assertTrue(all(abs(r.next_after - 0.5) < 1e-6 for r in replies))

    async def test_times_that_are_too_late_are_not_reserved(self):
        # Guards against an order of return that grows with each refusal,
        # also of callers that never come back.
        self.share = 2.0
        request = PermitRequest(endpoint_id="p", seconds_left=3.0)
        for _ in range(100):
            reply = await self.permits.handle(None, request)
        self.assertLessEqual(reply.retry_after, 3.0 + 1 / 2.0)
        self.assertGreater(reply.retry_after, 3.0)
        self.clock.now += 10.0
        for _ in range(3):
            reply = await self.permits.handle(None, request)
        self.assertFalse(reply.is_granted)
        self.assertLess(reply.retry_after, 1.0)

    async def test_holder_learns_how_long_the_request_may_wait(self):
        requests = []

        async def ask(address, request):
            requests.append(request)
            return DENIED

        self.permits._ask = ask
        await self.acquire()
        self.assertEqual(10.0, requests[0].seconds_left)

    async def test_requests_denied_unasked_return_after_the_first_one(self):
        # Guards against telling them the next free time, which is taken.
        self.reply = DENIED
        waits = [(await self.acquire()).retry_after for _ in range(20)]
        self.assertGreaterEqual(min(waits), 2.9)
        self.assertGreater(max(waits) - min(waits), 1.0)

    async def test_holder_that_has_not_learned_the_limit_grants_nothing(self):
        # Guards against a holder that grants every request because it does
        # not know of a limit yet.
        self.share = 2.0
        self.clock.now += 10.0
        endpoint = make_endpoint("p")
        self.limits.observe(endpoint, [], sent_at=self.clock.now - 1)
        request = PermitRequest(endpoint_id="p")
        for _ in range(3):
            reply = await self.permits.handle(None, request)
            self.assertFalse(reply.is_granted)

    async def test_former_holder_grants_nothing(self):
        self.share = None
        self.clock.now += 10.0
        request = PermitRequest(endpoint_id="p")
        self.assertFalse((await self.permits.handle(None, request)).is_granted)


class PermittedRequestTest(RelayCase):
    """Requests at an entry that holds no share."""

    async def open_without_share(self, *endpoints, ask, **route):
        entry = await self.open(*endpoints, **route)
        entry.limits._read_share = lambda endpoint_id, limit: None
        permits = entry.permits
        permits._read_holders = lambda endpoint_id, limit: {"h": "tcp://h:1"}
        permits._ask = ask
        return entry

    async def test_permit_is_for_one_request(self):
        # Guards against sending a request twice, or a second one, with the
        # same permit.
        asked = []

        async def ask(address, request):
            asked.append(request.endpoint_id)
            return GRANTED

        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        entry = await self.open_without_share(
            limited, ask=ask, idempotent=False
        )
        for _ in range(4):
            self.assertEqual(200, (await entry.call(method=b"POST"))[0])
        self.assertEqual(4, len(limited.seen))
        # The first request was sent before the limit was known.
        self.assertEqual(3, len(asked))

    async def test_retry_asks_for_another_permit(self):
        # Guards against a second attempt that is refused, or sent without
        # a permit, because the first one had one.
        asked = []

        async def ask(address, request):
            asked.append(request.endpoint_id)
            return GRANTED

        limit = b"X-Rate-Limit: 0.5"
        ok = answer(b"ok", b"200 OK", limit)
        full = answer(b"", b"503 Full", b"X-Not-Started: 1", limit)
        endpoints = [Endpoint(ok, full), Endpoint(ok, full)]
        entry = await self.open_without_share(*endpoints, ask=ask)
        for _ in range(4):
            await entry.call()
        asked.clear()
        self.assertEqual(503, (await entry.call())[0])
        self.assertEqual(["here-0", "here-1"], sorted(asked))

    async def test_denied_request_is_refused_with_the_holders_time(self):
        async def ask(address, request):
            return PermitReply(
                is_granted=False, retry_after=2.5, next_after=0.5
            )

        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        entry = await self.open_without_share(limited, ask=ask)
        self.assertEqual(200, (await entry.call())[0])
        status, head, _ = await entry.call()
        self.assertEqual(503, status)
        self.assertEqual(2.5, float(header(head + b"\r\n", b"retry-after")))
        self.assertEqual(1, len(limited.seen))

    async def test_no_permit_is_asked_for_while_others_have_capacity(self):
        async def ask(address, request):
            raise AssertionError("asked for a permit")

        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        entry = await self.open_without_share(
            limited, Endpoint(answer(b"other")), ask=ask
        )
        for _ in range(10):
            self.assertEqual(200, (await entry.call())[0])
