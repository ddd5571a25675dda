"""Tests of the rate limits that endpoints announce in their responses."""

import asyncio
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.endpoint_limits import EndpointLimits
from burdockdrum.registrations import AnnouncedLimit
from burdockdrum.registrations import ServiceCapacity
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import ManualClock

METRIC = "burdockdrum_endpoint_limit_announcements_total"


class AnnouncementTest(RelayCase):
    """Announcements as an entry receives them."""

    async def call_once_each(self, *announcements):
        """Send a request for each list of announced values."""
        endpoint = Endpoint(
            *(
                answer(
                    b"ok", b"200 OK", *(b"X-Rate-Limit:" + v for v in values)
                )
                for values in announcements
            )
        )
        entry = await self.open(endpoint)
        for _ in announcements:
            self.assertEqual(200, (await entry.call())[0])
            # Long enough for another request at the limits announced here.
            await asyncio.sleep(0.01)
        counter = entry.metrics.counter(METRIC, "")
        return {
            result: counter.value(result=result)
            for result in ("announced", "withdrawn", "ignored")
        }

    async def test_changes_and_withdrawal_are_counted_once(self):
        counts = await self.call_once_each(
            [b" 900"], [b" 900"], [b" 950.5"], [], []
        )
        self.assertEqual(
            {"announced": 2, "withdrawn": 1, "ignored": 0}, counts
        )

    async def test_unreadable_announcement_is_ignored(self):
        # Guards against a limit of NaN or infinity, which compares as no
        # limit or as one that never ends.
        unreadable = [
            [b""],
            [b" -1"],
            [b" NaN"],
            [b" inf"],
            [b" 1e999"],
            [b" 1_000"],
            [b" 0x10"],
            [b" 2, 3"],
            [b" " + b"9" * 400],
            [b" 2", b" 2"],
            [b" 2", b" 3"],
        ]
        counts = await self.call_once_each(*unreadable)
        self.assertEqual(
            {"announced": 0, "withdrawn": 0, "ignored": len(unreadable)},
            counts,
        )

    async def test_unreadable_announcement_withdraws_nothing(self):
        counts = await self.call_once_each([b" 900"], [b" nan"], [b" 900"])
        self.assertEqual(
            {"announced": 1, "withdrawn": 0, "ignored": 1}, counts
        )


class EndpointLimitsTest(unittest.TestCase):
    """The limits of one endpoint at one entry."""

    def setUp(self):
        self.clock = ManualClock()
        self.endpoints = {"p": make_endpoint("p")}
        self.share = 2.0
        self.reports = 0
        self.limits = EndpointLimits(
            clock=self.clock,
            metrics=Metrics(),
            read_endpoints=lambda: self.endpoints,
            read_share=lambda endpoint_id, limit: self.share,
            report=self.count_report,
        )

    def count_report(self):
        self.reports += 1

    def observe(self, *values, sent_ago=0.01):
        self.limits.observe(
            self.endpoints["p"],
            list(values),
            sent_at=self.clock.now - sent_ago,
        )

    def rate(self):
        limit = self.limits.limit_of("p")
        return limit.requests_per_second if limit is not None else None

    def test_response_to_an_earlier_request_withdraws_nothing(self):
        # Guards against a slow response, begun before the endpoint announced
        # its limit, that ends it at all entries.
        self.observe(b"2")
        self.clock.now += 0.5
        self.observe(sent_ago=0.6)
        self.assertEqual(2.0, self.rate())
        self.observe(sent_ago=0.4)
        self.assertIsNone(self.rate())
        self.assertEqual(2, self.reports)

    def test_response_to_a_request_before_another_entry_was_told(self):
        # Guards against withdrawing a limit that another entry has just
        # reported.
        limit = AnnouncedLimit(
            requests_per_second=3.0, observed_at=self.clock.now
        )
        self.endpoints["p"] = make_endpoint("p", rate_limit=limit)
        self.clock.now += 0.5
        self.observe(sent_ago=0.6)
        self.assertEqual(3.0, self.rate())
        self.observe(sent_ago=0.4)
        self.assertIsNone(self.rate())

    def test_latest_of_own_and_reported_announcements_decides(self):
        self.observe(b"2")
        self.clock.now += 1
        limit = AnnouncedLimit(
            requests_per_second=None, observed_at=self.clock.now
        )
        self.endpoints["p"] = make_endpoint("p", rate_limit=limit)
        self.assertIsNone(self.rate())
        self.clock.now += 1
        self.observe(b"5")
        self.assertEqual(5.0, self.rate())

    def test_share_is_kept_with_a_bounded_burst(self):
        self.observe(b"2")
        sent = []
        for tick in range(2000):
            self.clock.now = 100 + tick / 100
            # Idle for a while, to collect what may be sent at once.
            is_idle = 5 <= tick / 100 < 10
            if not is_idle and self.limits.has_capacity("p"):
                self.limits.record_sent("p")
                sent.append(self.clock.now)
        for begin in sent:
            count = sum(begin <= at < begin + 4 for at in sent)
            self.assertLessEqual(count, 2 * 4 + 2)
        self.assertGreater(len(sent), 2 * 15 * 0.9)

    def test_withdrawn_limit_leaves_no_burst_for_the_next_one(self):
        self.observe(b"2")
        self.assertFalse(self.limits.has_capacity("p"))
        self.clock.now += 10
        self.observe()
        self.limits.record_sent("p")
        self.observe(b"2")
        self.assertFalse(self.limits.has_capacity("p"))

    def test_entry_without_a_share_sends_nothing(self):
        self.observe(b"4")
        self.share = None
        self.clock.now += 100
        self.assertFalse(self.limits.has_capacity("p"))
        self.assertAlmostEqual(0.25, self.limits.seconds_until_capacity("p"))

    def test_limit_that_changes_with_each_response_is_reported_rarely(self):
        # Guards against a message to every entry for each response.
        for tick in range(200):
            self.clock.now = 100 + tick / 100
            self.observe(b"%d" % (2 + tick % 7))
        self.assertLessEqual(self.reports, 9)
        self.assertGreaterEqual(self.reports, 7)

    def test_state_ends_with_the_endpoint(self):
        # Guards against tables that grow with each start of an endpoint.
        self.observe(b"2")
        self.assertFalse(self.limits.has_capacity("p"))
        self.endpoints.clear()
        self.limits.remove_ended()
        self.assertEqual({}, self.limits.announced_by_id)
        self.assertEqual({}, self.limits._buckets_by_id)


class RefusalTest(RelayCase):
    """Requests while endpoints are at their limits."""

    def decisions(self, entry, decision):
        counter = entry.metrics.counter(
            "burdockdrum_endpoint_limit_decisions_total", ""
        )
        return counter.value(decision=decision)

    async def test_request_beyond_every_limit_is_refused_at_once(self):
        # Guards against requests that wait until their deadline, and against
        # refusals that don't say that the limit decided.
        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        entry = await self.open(limited, idempotent=False)
        self.assertEqual(200, (await entry.call(method=b"POST"))[0])
        began = asyncio.get_running_loop().time()
        status, head, body = await entry.call(method=b"POST")
        seconds = asyncio.get_running_loop().time() - began
        self.assertEqual(503, status)
        self.assertLess(seconds, 0.25)
        retry_after = float(header(head + b"\r\n", b"retry-after"))
        self.assertGreater(retry_after, 1.0)
        self.assertIn(b"rate limit", body)
        self.assertEqual(1, len(limited.seen))
        self.assertEqual(1, self.decisions(entry, "refused"))

    async def test_time_to_come_back_is_not_cut(self):
        # Guards against a constant that brings all callers back at once,
        # long before the endpoint takes another request.
        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.1"))
        entry = await self.open(limited, idempotent=False)
        await entry.call(method=b"POST")
        _, head, _ = await entry.call(method=b"POST")
        retry_after = float(header(head + b"\r\n", b"retry-after"))
        self.assertGreater(retry_after, 9.0)

    async def test_other_endpoints_serve_instead(self):
        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        other = Endpoint(answer(b"other"))
        entry = await self.open(limited, other)
        for _ in range(30):
            self.assertEqual(200, (await entry.call())[0])
        self.assertEqual(1, len(limited.seen))
        self.assertGreater(self.decisions(entry, "skipped"), 10)
        self.assertEqual(0, self.decisions(entry, "refused"))

    async def test_another_region_serves_instead(self):
        limited = Endpoint(answer(b"ok", b"200 OK", b"X-Rate-Limit: 0.5"))
        far = Endpoint(answer(b"far"))
        entry = await self.open(limited)
        await self.world.open_entry("there", [far])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        bodies = [(await entry.call())[2] for _ in range(5)]
        self.assertEqual([b"ok", b"far", b"far", b"far", b"far"], bodies)

    async def test_limit_of_another_region_does_not_bind_here(self):
        # Guards against reading the announcement of a far endpoint, in a
        # response that another region passes on, as that of one here.
        far = Endpoint(answer(b"far", b"200 OK", b"X-Rate-Limit: 900"))
        entry = await self.open()
        there = await self.world.open_entry("there", [far])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        self.assertEqual(b"far", (await entry.call())[2])
        announced = [
            e.metrics.counter(METRIC, "").value(result="announced")
            for e in (entry, there)
        ]
        self.assertEqual([0, 1], announced)

    async def test_rejection_withdraws_no_limit(self):
        # Guards against ending a limit because an overloaded endpoint
        # rejects a request without announcing the limit.
        endpoint = Endpoint(
            answer(b"ok", b"200 OK", b"X-Rate-Limit: 900"),
            answer(b"", b"503 Full", b"X-Not-Started: 1"),
        )
        entry = await self.open(endpoint, idempotent=False)
        for expected in (200, 503):
            status, _, _ = await entry.call(method=b"POST", body=b"x")
            self.assertEqual(expected, status)
            await asyncio.sleep(0.01)
        self.assertEqual(900.0, entry.limits.rate_of("here-0"))

    async def test_rejection_can_announce_a_limit(self):
        full = answer(
            b"", b"503 Full", b"X-Not-Started: 1", b"X-Rate-Limit: 0.5"
        )
        limited = Endpoint(full)
        entry = await self.open(limited, idempotent=False)
        for _ in range(5):
            status, _, _ = await entry.call(method=b"POST", body=b"x")
            self.assertEqual(503, status)
        self.assertEqual(1, len(limited.seen))
