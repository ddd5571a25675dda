"""Tests that an entry keeps to the backoffs that endpoints request."""

import asyncio
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.selection import MAX_RETURN_SPREAD_SECONDS
from burdockdrum.passthrough.state.requested_backoffs import RequestedBackoffs
from burdockdrum.registrations import ServiceCapacity
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import events
from tests.passthrough.entries import RelayCase
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import ManualClock
from tests.passthrough.fakes import MODEL
from tests.passthrough.state.test_warmth import report_cache

DECISIONS = "burdockdrum_endpoint_backoff_decisions_total"
SHARED = [("head", 500), ("plan-7", 4900)]


def reject(seconds):
    """Return a behaviour that rejects a request and requests a backoff."""
    return answer(
        b"",
        b"503 Service Unavailable",
        b"X-Not-Started: 1",
        b"Retry-After: %g" % seconds,
        has_provenance=False,
    )


class RequestedBackoffsTest(unittest.TestCase):
    """The backoffs of some endpoints at one entry."""

    def setUp(self):
        self.clock = ManualClock()
        self.endpoints = {"p": make_endpoint("p"), "q": make_endpoint("q")}
        self.metrics = Metrics()
        self.backoffs = RequestedBackoffs(
            clock=self.clock,
            metrics=self.metrics,
            read_endpoints=lambda: self.endpoints,
        )

    def request(self, seconds, endpoint_id="p"):
        self.backoffs.observe(endpoint_id, [b"%g" % seconds], request_id="r")

    def test_backoff_lasts_its_whole_time(self):
        self.request(3)
        self.clock.now += 2.999
        self.assertTrue(self.backoffs.is_active("p"))
        self.assertFalse(self.backoffs.is_active("q"))
        self.clock.now += 0.002
        self.assertFalse(self.backoffs.is_active("p"))

    def test_shorter_backoff_does_not_end_a_longer_one(self):
        # Guards against the rejection of an older request, or one that
        # crossed the first, which cuts the time short.
        self.request(3)
        self.clock.now += 1
        self.request(0.5)
        self.request(0)
        self.assertAlmostEqual(2.0, self.backoffs.seconds_left("p"))

    def test_later_backoff_extends_the_first(self):
        self.request(3)
        self.clock.now += 2
        self.request(3)
        self.assertAlmostEqual(3.0, self.backoffs.seconds_left("p"))

    def test_wall_clock_has_no_effect(self):
        # Guards against a clock that an operator sets back or forward.
        self.request(3)
        for offset in (-1000.0, 1000.0):
            self.clock.wall_offset = offset
            self.assertAlmostEqual(3.0, self.backoffs.seconds_left("p"))

    def test_very_long_backoff_is_kept_and_shown(self):
        self.request(86_400)
        self.clock.now += 3600
        self.assertTrue(self.backoffs.is_active("p"))
        text = self.metrics.text()
        self.assertIn("burdockdrum_endpoints_in_backoff 1\n", text)
        self.assertIn(
            "burdockdrum_endpoint_backoff_longest_seconds 82800\n", text
        )

    def test_state_ends_with_the_backoff_and_with_the_endpoint(self):
        # Guards against a table that grows with each start of an endpoint,
        # and against another incarnation that inherits a backoff.
        self.request(3)
        self.request(90, "q")
        del self.endpoints["q"]
        self.clock.now += 4
        self.backoffs.remove_ended()
        self.assertEqual({}, self.backoffs._backoffs_by_id)


class SelectionTest(unittest.TestCase):
    """The choice among endpoints of which some requested a backoff."""

    def setUp(self):
        self.world = FleetHarness("a", "b")
        self.backoffs = self.world.fleet._backoffs

    def request(self, endpoint_id, seconds=3):
        self.backoffs.observe(endpoint_id, [b"%g" % seconds], request_id="r")

    def choose(self, prompt=None, **options):
        return self.world.choose(prompt or make_prompt(10), **options)

    def test_endpoint_in_backoff_is_skipped_until_its_end(self):
        self.request("a")
        choices = [self.choose() for _ in range(20)]
        self.assertEqual({"b"}, {c.endpoint.endpoint_id for c in choices})
        self.assertEqual({1}, {c.skipped_in_backoff for c in choices})
        self.world.clock.now += 3.01
        choices = [self.choose() for _ in range(20)]
        self.assertIn("a", {c.endpoint.endpoint_id for c in choices})

    def test_ejected_endpoint_is_used_sooner_than_one_in_backoff(self):
        # Guards against an ejected endpoint's last resort: it is used if
        # there is no better one, an endpoint in backoff is not.
        health = self.world.fleet._state_of(self.world.endpoints["b"]).health
        for _ in range(20):
            health.record_loss(self.world.clock.now)
        self.request("a")
        self.assertEqual("b", self.choose().endpoint.endpoint_id)
        self.request("b")
        self.assertIsNone(self.choose())

    def test_probe_of_an_ejected_endpoint_waits_for_its_backoff(self):
        health = self.world.fleet._state_of(self.world.endpoints["b"]).health
        for _ in range(20):
            health.record_loss(self.world.clock.now)
        self.request("b", seconds=60)
        self.world.clock.now += 30
        self.assertFalse(health.is_ejected(self.world.clock.now))
        self.assertIsNone(self.choose(tried=["a"]))

    def test_success_of_an_older_request_does_not_end_a_backoff(self):
        older = self.world.send(make_prompt(10))
        name = older.endpoint.endpoint_id
        self.request(name)
        self.world.fleet.record_output(older)
        self.world.fleet.record_end(older, MODEL, whole=True)
        self.world.fleet.health_of(older.endpoint).record_success()
        self.assertNotEqual(name, self.choose().endpoint.endpoint_id)

    def test_nothing_is_fetched_from_an_endpoint_in_backoff(self):
        # Guards against work by way of another endpoint, whether this entry
        # sent the prefix there or the endpoint reported it.
        names = {"head": 500, "plan_7": 4900}
        report_cache(self.world.prefix_cache_table, "b", **names)
        prompt = make_prompt(7000, *SHARED)
        choice = self.choose(prompt, tried=["b"])
        self.assertEqual("b:80", choice.fetch_from)
        self.assertEqual("b:80", self.world.fleet.current_fetch_from(choice))
        self.request("b")
        # It was chosen before the backoff, and the request is sent after.
        self.assertIsNone(self.world.fleet.current_fetch_from(choice))
        self.assertIsNone(self.choose(prompt).fetch_from)

    def test_first_backoff_is_known_only_if_all_endpoints_are_in_one(self):
        find = self.world.fleet.find_first_backoff
        self.request("a", seconds=9)
        self.assertIsNone(find(MODEL, frozenset()))
        self.request("b", seconds=4)
        self.assertEqual(4.0, find(MODEL, frozenset()).seconds)


class CongestionWindowTest(unittest.TestCase):
    """The requests at one endpoint after a backoff."""

    def setUp(self):
        self.world = FleetHarness("a")
        self.backoffs = self.world.fleet._backoffs

    def request(self):
        self.backoffs.observe("a", [b"1"], request_id="r")
        self.world.clock.now += 1.01

    def send_all(self):
        """Send requests until none is accepted; return them."""
        sent = []
        while self.world.choose(make_prompt(10)) is not None:
            sent.append(self.world.send(make_prompt(10)))
            if len(sent) > 100:
                break
        return sent

    def respond(self, requests):
        for request in requests:
            self.world.fleet.record_output(request)

    def end(self, requests, *, whole=True):
        for request in requests:
            self.world.fleet.record_end(request, MODEL, whole=whole)

    def test_requests_come_back_a_few_at_a_time(self):
        # Guards against filling the queue of an endpoint at the end of each
        # backoff, so that it requests the next one at once.
        before = [self.world.send(make_prompt(10)) for _ in range(12)]
        self.request()
        self.end(before, whole=False)
        sizes = []
        for _ in range(4):
            sent = self.send_all()
            sizes.append(len(sent))
            self.respond(sent)
            self.end(sent)
        self.assertEqual([2, 4, 7, 8], sizes)

    def test_window_counts_requests_without_a_response(self):
        # Guards against long streams that hold a window shut.
        self.request()
        streams = self.send_all()
        self.respond(streams)
        self.assertGreaterEqual(len(self.send_all()), 2)

    def test_window_opens_by_itself(self):
        # Guards against an endpoint with little traffic that stays limited.
        self.request()
        self.assertEqual(2, len(self.send_all()))
        self.world.clock.now += 61
        self.world.fleet.remove_ended()
        self.assertGreater(len(self.send_all()), 50)

    def test_backoff_of_no_time_reduces_nothing(self):
        self.backoffs.observe("a", [b"0"], request_id="r")
        self.assertGreater(len(self.send_all()), 50)

    def test_rejections_of_one_moment_reduce_it_once(self):
        before = [self.world.send(make_prompt(10)) for _ in range(12)]
        self.backoffs.observe("a", [b"1"], request_id="r")
        self.end(before[:10], whole=False)
        self.request()
        window = self.world.fleet._backoff_gate._windows._windows_by_id["a"]
        self.assertEqual(6, window.threshold)

    def test_state_ends_with_the_endpoint(self):
        self.request()
        self.world.endpoints.clear()
        self.world.fleet.remove_ended()
        self.assertEqual(
            {}, self.world.fleet._backoff_gate._windows._windows_by_id
        )


class RelayBackoffTest(RelayCase):
    """Requests of callers while endpoints want none."""

    def decisions(self, entry, decision):
        return entry.metrics.counter(DECISIONS, "").value(decision=decision)

    async def call(self, entry, **options):
        """Send a request; return its status, seconds and Retry-After."""
        began = asyncio.get_running_loop().time()
        status, head, _ = await entry.call(**options)
        seconds = asyncio.get_running_loop().time() - began
        retry_after = None
        if status == 503:
            retry_after = float(header(head + b"\r\n", b"retry-after"))
        return status, seconds, retry_after

    async def test_other_endpoints_serve_instead(self):
        rejecting, other = Endpoint(reject(9)), Endpoint(answer(b"other"))
        entry = await self.open(rejecting, other)
        for _ in range(20):
            self.assertEqual(200, (await entry.call())[0])
        self.assertEqual(1, len(rejecting.seen))
        self.assertGreater(self.decisions(entry, "skipped"), 10)
        self.assertEqual(0, self.decisions(entry, "refused"))

    async def test_refusal_is_immediate_and_its_time_is_true(self):
        # Guards against requests that wait, and against a time to come back
        # that is cut to a constant, when every endpoint is in a backoff.
        endpoint = Endpoint(reject(40))
        entry = await self.open(endpoint, idempotent=False)
        results = [await self.call(entry, method=b"POST") for _ in range(20)]
        self.assertEqual(1, len(endpoint.seen))
        for status, seconds, retry_after in results:
            self.assertEqual(503, status)
            self.assertLess(seconds, 0.25)
            self.assertGreater(retry_after, 39)
            self.assertLess(retry_after, 40 + MAX_RETURN_SPREAD_SECONDS)
        self.assertEqual(20, self.decisions(entry, "refused"))

    async def test_returning_requests_are_spread(self):
        # Guards against all callers that were refused coming back at once.
        entry = await self.open(Endpoint(reject(4)), idempotent=False)
        times = [
            (await self.call(entry, method=b"POST"))[2] for _ in range(40)
        ]
        self.assertGreater(max(times) - min(times), 2.0)

    async def test_requests_return_after_the_backoff(self):
        endpoint = Endpoint(reject(0.2), answer(b"ok"))
        entry = await self.open(endpoint, idempotent=False)
        self.assertEqual(503, (await self.call(entry, method=b"POST"))[0])
        self.assertEqual(503, (await self.call(entry, method=b"POST"))[0])
        await asyncio.sleep(0.25)
        self.assertEqual(200, (await self.call(entry, method=b"POST"))[0])
        self.assertEqual(2, len(endpoint.seen))

    async def test_another_region_serves_instead(self):
        rejecting, far = Endpoint(reject(9)), Endpoint(answer(b"far"))
        entry = await self.open(rejecting)
        await self.world.open_entry("there", [far])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        bodies = [(await entry.call())[2] for _ in range(5)]
        self.assertEqual([b"far"] * 5, bodies)
        self.assertEqual(1, len(rejecting.seen))

    async def test_backoff_of_another_region_does_not_bind_here(self):
        # Guards against taking the time that another entry tells for one
        # that an endpoint requested.
        entry = await self.open()
        there = await self.world.open_entry("there", [Endpoint(reject(9))])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        self.assertEqual(503, (await self.call(entry))[0])
        self.assertEqual({}, entry.backoffs._backoffs_by_id)
        self.assertTrue(there.backoffs.is_active("there-0"))

    async def test_sooner_time_of_another_region_is_told(self):
        # Guards against a caller that stays away although another region
        # takes the request sooner.
        entry = await self.open(Endpoint(reject(40)))
        await self.world.open_entry("there", [Endpoint(reject(2))])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        for _ in range(3):
            _, _, retry_after = await self.call(entry)
        self.assertLess(retry_after, 4)

    async def test_placed_request_is_withheld(self):
        # Guards against sending a request that waited for its connection
        # while the endpoint requested a backoff.
        rejecting, other = (
            Endpoint(answer(b"first")),
            Endpoint(answer(b"other")),
        )
        entry = await self.open(rejecting, other)
        pool = entry.attempts._endpoint_pool
        acquire = pool.acquire

        async def acquire_late(address, **options):
            connection = await acquire(address, **options)
            entry.backoffs.observe("here-0", [b"9"], request_id="other")
            return connection

        pool.acquire = acquire_late
        for _ in range(10):
            self.assertEqual(b"other", (await entry.call())[2])
        self.assertEqual([], rejecting.seen)
        # A withheld request says nothing about the endpoint's health.
        health = entry.fleet.health_of(entry.registered["here-0"])
        self.assertFalse(health.was_unreachable)

    async def test_stream_is_not_resumed_at_an_endpoint_in_backoff(self):
        broken = Endpoint(events(1, 2, end=False))
        rejecting = Endpoint(events(3, 4))
        entry = await self.open(
            broken, rejecting, streams=True, resumable=True
        )
        entry.backoffs.observe("here-1", [b"9"], request_id="other")
        _, _, body = await entry.call()
        self.assertIn(b"piece-2", body)
        self.assertNotIn(b"piece-3", body)
        self.assertEqual([], rejecting.seen)

    async def test_rejected_request_returns_soon_if_others_are_free(self):
        # Guards against telling the caller the backoff of one endpoint if
        # only the retry was not possible.
        rejecting, other = Endpoint(reject(40)), Endpoint(answer(b"other"))
        entry = await self.open(rejecting, other)
        entry.budget.acquire = lambda service, request_id: None
        results = [await self.call(entry) for _ in range(10)]
        times = [after for status, _, after in results if status == 503]
        self.assertEqual(1, len(times))
        self.assertLess(times[0], 1)
