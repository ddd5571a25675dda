"""Tests of which endpoints are taken for brittle."""

import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle import BrittleEndpoints
from burdockdrum.registrations import AnnouncedLimit
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import ManualClock


class BrittleEndpointsTest(unittest.TestCase):
    """Two endpoints of a service and one of another."""

    def setUp(self):
        self.clock = ManualClock()
        self.endpoints = {
            "a": make_endpoint("a"),
            "b": make_endpoint("b"),
            "other": make_endpoint("other", service="other"),
        }
        self.announced = {}
        self.brittle = BrittleEndpoints(
            clock=self.clock,
            metrics=Metrics(),
            read_endpoints=lambda: self.endpoints,
            read_limit=self.announced.get,
        )

    def announce(self, endpoint_id, number):
        self.announced[endpoint_id] = AnnouncedLimit(
            requests_per_second=None,
            observed_at=self.clock.now,
            max_rejections=number,
        )
        self.brittle.update()

    def find(self, endpoint_id):
        return self.brittle.max_rejections_of(self.endpoints[endpoint_id])

    def test_no_endpoint_is_brittle_without_an_announcement(self):
        self.brittle.update()
        self.assertIsNone(self.find("a"))

    def test_endpoint_that_said_nothing_is_taken_for_one_of_its_service(self):
        # Guards against an endpoint that has crashed, comes back and is
        # taken for sound while the requests for it wait.
        self.announce("a", 3)
        self.assertEqual(3, self.find("a"))
        self.assertEqual(3, self.find("b"))
        self.assertIsNone(self.find("other"))

    def test_fewest_rejections_of_a_service_count(self):
        self.announce("a", 3)
        self.announce("b", 8)
        self.endpoints["c"] = make_endpoint("c")
        self.assertEqual(8, self.find("b"))
        self.assertEqual(3, self.find("c"))

    def test_word_of_the_endpoint_goes_before_that_of_others(self):
        self.announce("a", 0)
        self.announce("b", None)
        self.assertEqual(0, self.find("a"))
        self.assertIsNone(self.find("b"))

    def test_service_is_remembered_while_all_its_endpoints_are_gone(self):
        # Guards against forgetting it when all crash at once.
        self.announce("a", 3)
        self.endpoints = {"c": make_endpoint("c")}
        self.clock.now += 50
        self.brittle.update()
        self.assertEqual(3, self.find("c"))
        self.clock.now += 11
        self.brittle.update()
        self.assertIsNone(self.find("c"))
