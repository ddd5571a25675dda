"""Tests of requests to an endpoint that restarts."""

import asyncio
import unittest

import msgspec

from burdockdrum.registrations import Load
from burdockdrum.registrations import make_incarnation_id
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL

PROMPT = make_prompt(1000, ("shared", 800))
SLOW_START_SECONDS = 3.0


def make_incarnation(incarnation):
    """Return endpoint e1 as registered at one of its starts."""
    return make_endpoint(
        make_incarnation_id("e1", incarnation),
        name="e1",
        incarnation=incarnation,
        address="e1:80",
    )


class NewStartTest(unittest.TestCase):
    """The state of an endpoint across its restarts."""

    def setUp(self):
        self.world = FleetHarness()
        self.replace_endpoint(make_incarnation(1000))

    def replace_endpoint(self, endpoint):
        self.world.endpoints.clear()
        self.world.endpoints[endpoint.endpoint_id] = endpoint

    def test_restarted_endpoint_has_no_load_and_empty_cache(self):
        # Guards against counting the load or the cached prompts from before
        # a crash.
        for _ in range(20):
            self.world.send(PROMPT)
        before = self.world.choose(PROMPT)
        self.assertGreater(before.wait.queue, 0.1)
        self.replace_endpoint(make_incarnation(2000))
        after = self.world.choose(PROMPT)
        self.assertEqual(0.0, after.wait.queue)
        self.assertEqual(1000, after.uncached_tokens)

    def test_reported_load_of_previous_start_is_ignored(self):
        self.world.others["e1@1000"] = self.make_load()
        self.replace_endpoint(make_incarnation(2000))
        self.assertEqual(0.0, self.world.choose(PROMPT).wait.queue)

    def make_load(self):
        for _ in range(20):
            self.world.send(PROMPT)
        own = self.world.fleet.read_own_load()
        return Load.from_ranks(own["e1@1000"])


class UnheardStartTest(unittest.TestCase):
    """An endpoint that was down and whose restart is not reported yet."""

    MODEL = msgspec.structs.replace(MODEL, cold_seconds=SLOW_START_SECONDS)

    def setUp(self):
        self.world = FleetHarness()
        endpoint = make_incarnation(1000)
        self.world.endpoints[endpoint.endpoint_id] = endpoint
        self.health = self.world.fleet._state_of(endpoint).health

    def count_admitted(self, seconds):
        """Send requests as fast as admitted; return their number."""
        admitted = 0
        for _ in range(int(seconds / 0.02)):
            choice = self.world.choose(PROMPT, backend=self.MODEL)
            if choice is not None:
                self.world.fleet.record_sent(choice, self.MODEL, PROMPT, 0)
                admitted += 1
            self.world.clock.now += 0.02
        return admitted

    def test_recovered_endpoint_gets_slow_start(self):
        # The endpoint accepts connections again before its restart is
        # reported. Guards against overloading it with its former traffic.
        self.health.record_unreachable(self.world.clock.now)
        self.assertIsNone(self.world.choose(PROMPT, backend=self.MODEL))
        self.world.clock.now += 1.1
        bound = MODEL.cold_requests_per_second
        self.assertLessEqual(self.count_admitted(1.0), bound + 1)
        self.health.record_reached(self.world.clock.now)
        self.assertLessEqual(self.count_admitted(1.0), bound + 1)
        self.world.clock.now += SLOW_START_SECONDS
        self.assertEqual(50, self.count_admitted(1.0))

    def test_endpoint_with_a_new_id_for_each_start_gets_no_slow_start(self):
        # A restarted endpoint would refuse requests to its former id.
        self.world.endpoints = {"e2": make_endpoint("e2")}
        health = self.world.fleet._state_of(make_endpoint("e2")).health
        health.record_unreachable(self.world.clock.now)
        self.world.clock.now += 1.1
        self.assertEqual(50, self.count_admitted(1.0))


class RunningAttemptTest(RelayCase):
    """Attempts that are running when their endpoint restarts."""

    async def test_attempt_is_retried_when_its_endpoint_restarts(self):
        # The endpoint lost power and its connection stays open. Guards
        # against waiting for the deadline although its restart is known.
        unresponsive, healthy = (
            Endpoint(never_respond),
            Endpoint(answer(b"ok")),
        )
        entry = await self.open(unresponsive, healthy, timeout_seconds=4.0)
        calls = []
        # Until one of them is sent to the unresponsive endpoint.
        while not unresponsive.seen:
            calls.append(asyncio.create_task(entry.call()))
            await asyncio.sleep(0.05)
        entry.attempts.abort_incarnation("here-0")
        async with asyncio.timeout(1.0):
            responses = await asyncio.gather(*calls)
        for status, _, body in responses:
            self.assertEqual((200, b"ok"), (status, body))

    async def test_non_idempotent_attempt_fails_when_its_endpoint_restarts(
        self,
    ):
        unresponsive = Endpoint(never_respond)
        entry = await self.open(
            unresponsive, idempotent=False, attempts=1, timeout_seconds=4.0
        )
        call_task = asyncio.create_task(entry.call(method=b"POST", body=b"x"))
        while not unresponsive.seen:
            await asyncio.sleep(0.01)
        entry.attempts.abort_incarnation("here-0")
        async with asyncio.timeout(1.0):
            status, _, body = await call_task
        self.assertEqual(502, status)
        self.assertIn(b"started again", body)
