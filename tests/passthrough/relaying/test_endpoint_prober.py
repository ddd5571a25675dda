"""Tests of how an entry finds out which endpoints it reaches."""

import asyncio
import unittest

from burdockdrum.http1 import NotConnected
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.relaying import endpoint_prober
from burdockdrum.passthrough.relaying.endpoint_prober import EndpointProber
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL

UPDATE_SECONDS = 0.25


class ProberTest(unittest.IsolatedAsyncioTestCase):
    """An entry with endpoints a to f."""

    def setUp(self):
        self.harness = FleetHarness(*"abcdef")
        self.cut = set()
        self.probed = []
        self.mute = set()
        self.checked = []
        self.given_up = []
        self.prober = EndpointProber(
            clock=self.harness.clock,
            fleet=self.harness.fleet,
            read_endpoints=lambda: self.harness.endpoints,
            connect=self.connect,
            check_health=self.check_health,
            on_unreachable=self.given_up.append,
            metrics=Metrics(),
        )

    async def connect(self, address):
        self.probed.append(address[0])
        if address[0] in self.cut:
            raise NotConnected("timed out")

    async def check_health(self, endpoint):
        self.checked.append(endpoint.endpoint_id)
        if endpoint.endpoint_id in self.mute:
            raise NotConnected("no response")

    async def run_for(self, seconds):
        """Update the prober for some seconds."""
        for _ in range(round(seconds / UPDATE_SECONDS)):
            self.harness.clock.now += UPDATE_SECONDS
            self.prober.update()
            for _ in range(3):
                await asyncio.sleep(0)

    def reached(self):
        """Return the endpoints that requests may be sent to."""
        now = self.harness.clock.now
        fleet = self.harness.fleet
        return {
            name
            for name, endpoint in self.harness.endpoints.items()
            if fleet.health_of(endpoint).is_reachable(now)
        }

    async def test_sound_endpoints_are_not_probed(self):
        await self.run_for(10)
        self.assertEqual([], self.probed)

    async def test_unreachable_endpoint_is_skipped_until_a_probe_succeeds(
        self,
    ):
        # Guards against requests of callers that find out once a second.
        self.cut = {"a"}
        self.harness.fleet.record_unreachable(self.harness.endpoints["a"], 1)
        self.prober.record_unreachable("a")
        for _ in range(80):
            await self.run_for(UPDATE_SECONDS)
            self.assertNotIn("a", self.reached())
        self.assertLessEqual(self.probed.count("a"), 13)
        self.cut = set()
        await self.run_for(endpoint_prober.MAX_PROBE_INTERVAL_SECONDS + 0.5)
        self.assertIn("a", self.reached())

    async def test_one_failed_probe_checks_all_endpoints_once(self):
        # Guards against learning about cut links endpoint by endpoint.
        self.cut = set("abcde")
        self.prober.record_unreachable("a")
        await self.run_for(1.5)
        self.assertEqual({"f"}, self.reached())
        self.assertEqual(1, self.probed.count("f"))
        self.assertTrue(self.harness.fleet.has_doubtful("model"))
        self.assertFalse(self.harness.fleet.is_cut_off("model"))

    async def test_entry_knows_that_it_is_cut_off_and_when_it_is_back(self):
        self.cut = set("abcdef")
        self.prober.record_unreachable("a")
        await self.run_for(14)
        self.assertTrue(self.harness.fleet.is_cut_off("model"))
        self.cut = set()
        await self.run_for(endpoint_prober.MAX_PROBE_INTERVAL_SECONDS + 0.5)
        self.assertEqual(set("abcdef"), self.reached())
        self.assertFalse(self.harness.fleet.has_doubtful("model"))

    async def test_probes_of_a_cut_entry_are_few(self):
        self.cut = set("abcdef")
        self.prober.record_unreachable("a")
        await self.run_for(20)
        most = 6 * 20 / endpoint_prober.MAX_PROBE_INTERVAL_SECONDS
        self.assertLess(len(self.probed), 1.5 * most)

    async def test_silent_endpoint_is_probed_and_given_up_if_unreachable(self):
        # Guards against requests that wait on connections that are dead.
        sent = self.harness.send(make_prompt(100), backend=MODEL)
        name = sent.endpoint.endpoint_id
        self.cut = {name}
        await self.run_for(3)
        self.assertEqual([name], self.given_up)

    async def test_busy_endpoint_is_probed_rarely(self):
        # Guards against connections to endpoints that are only slow.
        self.harness.send(make_prompt(100), backend=MODEL)
        await self.run_for(30)
        most = 30 / endpoint_prober.SILENCE_PROBE_INTERVAL_SECONDS
        self.assertLessEqual(len(self.probed), most + 1)
        self.assertEqual(set("abcdef"), self.reached())

    def record_silent(self, names):
        """Let requests be lost at endpoints that sent nothing."""
        for name in names:
            sent = self.harness.send_to(name, make_prompt(100))
            self.harness.fleet.health_of(sent.endpoint).record_loss(
                self.harness.clock.now, is_silent=True
            )

    async def test_endpoints_that_are_all_silent_are_asked(self):
        # Guards against callers' requests that find out again and again.
        self.mute = set("abcdef")
        self.record_silent("abcdef")
        await self.run_for(3)
        self.assertEqual(set(), self.reached())
        self.assertTrue(self.harness.fleet.is_cut_off("model"))
        self.mute = set()
        await self.run_for(endpoint_prober.MAX_PROBE_INTERVAL_SECONDS + 0.5)
        self.assertEqual(set("abcdef"), self.reached())

    async def test_silent_endpoint_beside_others_is_not_asked(self):
        # Guards against checks of endpoints that are only busy.
        self.mute = set("a")
        self.record_silent("a")
        await self.run_for(10)
        self.assertEqual([], self.checked)
        self.assertIn("a", self.reached())

    async def test_ended_endpoint_is_not_probed_any_more(self):
        self.cut = {"a"}
        self.prober.record_unreachable("a")
        await self.run_for(2)
        del self.harness.endpoints["a"]
        self.probed.clear()
        await self.run_for(10)
        self.assertNotIn("a", self.probed)
