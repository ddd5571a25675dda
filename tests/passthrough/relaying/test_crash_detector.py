"""Tests of what counts as a crash of an endpoint."""

import dataclasses
import random
import unittest

from burdockdrum.crashes import CrashLedger
from burdockdrum.http1 import NotConnected
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.relaying import crash_detector
from burdockdrum.passthrough.relaying.crash_detector import CrashDetector
from burdockdrum.registrations import RegistrationState
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import ManualClock


class DetectorTest(unittest.IsolatedAsyncioTestCase):
    """Endpoints a, b and c; connections to a are lost."""

    def setUp(self):
        self.clock = ManualClock()
        self.ledger = CrashLedger(clock=self.clock)
        self.endpoints = {name: make_endpoint(name) for name in "abc"}
        # Addresses that refuse connections, and that don't respond.
        self.refusing, self.silent = set(), set()
        self.probed = []
        self.detector = CrashDetector(
            clock=self.clock,
            rng=random.Random(1),
            ledger=self.ledger,
            vm_id="vm",
            read_endpoints=lambda: self.endpoints,
            connect=self.connect,
            metrics=Metrics(),
        )

    async def connect(self, address):
        self.probed.append(address)
        if address in self.refusing:
            raise NotConnected("refused", is_refused=True)
        if address in self.silent:
            raise NotConnected("timed out")

    async def lose(self, *fingerprints, name="a"):
        """Lose the connections of some requests to an endpoint."""
        for fingerprint in fingerprints:
            self.detector.record_lost((fingerprint,), self.endpoints[name])
        await self.detector.settle(["none"])
        for probe in list(self.detector._probes):
            await probe

    def crashes(self, fingerprint="f"):
        """Return how many crashes count against a request."""
        return len(self.ledger.assess(fingerprint).crashes)

    async def test_refused_connection_after_a_loss_is_a_crash(self):
        self.refusing = {"a:80"}
        await self.lose("f", "g")
        self.assertEqual((1, 1), (self.crashes("f"), self.crashes("g")))

    async def test_loss_of_many_requests_costs_one_probe(self):
        self.refusing = {"a:80"}
        await self.lose(*(f"f{n}" for n in range(30)))
        self.assertEqual(1, self.probed.count("a:80"))
        self.assertLessEqual(len(self.probed), 2)

    async def test_reset_by_a_sound_endpoint_is_no_crash(self):
        # Guards against suspecting requests because of a lost connection.
        await self.lose("f")
        self.clock.now += crash_detector.EVIDENCE_SECONDS + 1
        self.detector.update()
        self.assertEqual(0, self.crashes())

    async def test_cut_path_is_no_crash(self):
        # Connections that hang say nothing about the endpoint.
        self.silent = {"a:80"}
        await self.lose("f")
        self.clock.now += crash_detector.EVIDENCE_SECONDS + 1
        self.detector.update()
        self.assertEqual(0, self.crashes())

    async def test_entry_that_reaches_no_endpoint_sees_no_crash(self):
        # Guards against an entry whose links are cut suspecting all that it
        # forwards.
        self.refusing = {"a:80", "b:80", "c:80"}
        await self.lose("f")
        self.assertEqual(0, self.crashes())

    async def test_later_incarnation_at_the_address_is_a_crash(self):
        # Also of an endpoint that is back before it is probed.
        await self.lose("f")
        self.endpoints["a2"] = make_endpoint("a2", address="a:80")
        self.detector.update()
        self.assertEqual(1, self.crashes())

    async def test_earlier_incarnation_at_the_address_is_no_crash(self):
        self.endpoints["a0"] = make_endpoint("a0", address="a:80")
        await self.lose("f")
        self.detector.update()
        self.assertEqual(0, self.crashes())

    async def test_late_incarnation_is_no_crash(self):
        await self.lose("f")
        self.clock.now += crash_detector.EVIDENCE_SECONDS + 1
        self.detector.update()
        self.endpoints["a2"] = make_endpoint("a2", address="a:80")
        self.detector.update()
        self.assertEqual(0, self.crashes())

    async def test_draining_endpoint_does_not_crash(self):
        # Guards against suspecting what an endpoint leaves behind.
        draining = {"state": RegistrationState.DRAINING}
        for change in (draining, {"ends_at": self.clock.now + 2}):
            self.refusing = {"a:80"}
            self.endpoints["a"] = dataclasses.replace(
                make_endpoint("a"), **change
            )
            await self.lose("f")
            self.assertEqual(0, self.crashes())

    async def test_response_after_the_loss_shows_that_it_is_alive(self):
        await self.lose("f")
        self.clock.now += 1
        self.detector.record_response(
            "a", lambda: ["g"], self.clock.now, self.clock.now
        )
        self.endpoints["a2"] = make_endpoint("a2", address="a:80")
        self.detector.update()
        self.assertEqual(0, self.crashes())

    async def test_completed_run_clears_a_request(self):
        self.refusing = {"a:80"}
        await self.lose("f", "g")
        self.detector.record_response(
            "b", lambda: ["f"], self.clock.now, self.clock.now
        )
        self.assertEqual((0, 1), (self.crashes("f"), self.crashes("g")))

    async def test_run_at_another_region_clears_a_request(self):
        # Guards against a quarantine of what other regions serve.
        self.refusing = {"a:80"}
        await self.lose("f", "g")
        self.detector.record_response(
            None, lambda: ["f"], self.clock.now, self.clock.now
        )
        self.assertEqual((0, 1), (self.crashes("f"), self.crashes("g")))

    async def test_endpoints_that_end_together_count_for_no_sound_request(
        self,
    ):
        # Guards against a quarantine of polls after a data centre's power
        # was lost once.
        self.endpoints["d"] = make_endpoint("d")
        self.detector.record_run("f")
        self.clock.now += 1
        self.refusing = {"a:80", "b:80", "c:80"}
        for name in "abc":
            await self.lose("f", "g", name=name)
        self.assertEqual((0, 3), (self.crashes("f"), self.crashes("g")))

    async def test_later_crashes_count_for_a_request_that_was_sound(self):
        # Guards against a request that crashes endpoints since a release.
        self.endpoints["d"] = make_endpoint("d")
        self.detector.record_run("f")
        self.refusing = {"a:80", "b:80", "c:80"}
        for name in "abc":
            self.clock.now += 1
            await self.lose("f", name=name)
        self.assertEqual(2, self.crashes("f"))

    async def test_suspects_are_kept_apart(self):
        self.refusing = {"a:80"}
        await self.lose("f", "g")
        run = self.detector.begin_run(lambda: ["f"], "b")
        self.assertEqual({"b"}, self.detector.list_shared(["g"]))
        self.assertEqual(set(), self.detector.list_shared(["f"]))
        self.detector.end_run(run, "b")
        self.assertEqual(set(), self.detector.list_shared(["g"]))
