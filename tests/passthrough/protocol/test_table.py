"""Tests of the route index and of parsing requests."""

import random
import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.refusal_responses import status_of
from burdockdrum.passthrough.protocol.request_reader import RequestReader
from burdockdrum.passthrough.protocol.route_index import choose_service
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.passthrough.state.prompts import parse_prompt
from burdockdrum.resources import Backend
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import WeightedService
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.callers.fakes import CERTAIN_SECONDS
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_meter
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import ManualClock


def make_index(*routes):
    backends = [Backend(name="model"), Backend(name="other")]
    return RouteIndex(
        table=RouteTableSpec(generation=4, routes=routes, backends=backends)
    )


class TableTest(unittest.TestCase):
    """Routes by host and path prefix, and services by weight."""

    def test_longest_matching_prefix_wins(self):
        index = make_index(
            make_route(name="all", path_prefix="/"),
            make_route(name="long", path_prefix="/a/b/"),
            make_route(name="short", path_prefix="/a/"),
            make_route(name="elsewhere", host="other", path_prefix="/a/b/c/"),
        )
        expected = {
            "/a/b/c/x": "long",
            "/a/c": "short",
            "/a": "all",
            "/ab/": "all",
        }
        for path, name in expected.items():
            self.assertEqual(name, index.find("h", path).name)
        self.assertIsNone(index.find("unknown", "/a/"))

    def test_requests_are_split_by_weight(self):
        route = make_route(
            services=[
                WeightedService(service="model", weight=90),
                WeightedService(service="other", weight=10),
                WeightedService(service="never", weight=0),
            ]
        )
        rng = random.Random(1)
        drawn = [choose_service(route, rng) for _ in range(1000)]
        self.assertNotIn("never", drawn)
        self.assertAlmostEqual(100, drawn.count("other"), delta=30)


class ReaderTest(unittest.TestCase):
    """Requests of callers and of other entries."""

    def setUp(self):
        self.clock = ManualClock()
        self.index = make_index(make_route(timeout_seconds=5.0, attempts=3))
        self.configuration = FakeConfiguration(age=0.5)

    def read(self, *headers, is_hop=False, target=b"/p/x"):
        finder = make_finder(self.configuration)
        self.reader = RequestReader(
            clock=self.clock,
            rng=random.Random(1),
            names=HeaderNames(),
            read_index=lambda: self.index,
            callers=finder,
            meter=make_meter(self.clock, finder),
        )
        head = RequestHead(
            method=b"GET",
            target=target,
            headers=[(b"Host", b"H:80"), *headers],
            body=b"",
            keep_alive=True,
            received_at=99.0,
        )
        return self.reader.read(head, is_hop=is_hop)

    def test_deadline_is_the_earlier_of_header_and_route_timeout(self):
        self.assertEqual(104.0, self.read().deadline)
        request = self.read((b"X-Deadline-Ms", b"1500"))
        self.assertEqual(100.5, request.deadline)
        request = self.read((b"X-Deadline-Ms", b"60000"))
        self.assertEqual(104.0, request.deadline)

    def test_hop_headers_of_callers_are_ignored(self):
        hop = (
            (b"X-Burdockdrum-From", b"far"),
            (b"X-Burdockdrum-Attempts", b"1"),
        )
        request = self.read(*hop)
        self.assertEqual((None, 3), (request.forwarded_from, request.attempts))
        request = self.read(*hop, is_hop=True)
        self.assertEqual(
            ("far", 1), (request.forwarded_from, request.attempts)
        )

    def test_stream_keeps_a_service_that_leaves_the_table(self):
        # Guards against refusing a request to take up a stream whose service
        # is removed while the entry asks others what began it.
        services = [
            WeightedService(service="model", weight=999),
            WeightedService(service="other", weight=1),
        ]
        self.index = make_index(make_route(services=services))
        request = self.read()
        self.assertEqual("model", request.backend.name)
        self.index = RouteIndex(
            table=RouteTableSpec(
                generation=5,
                routes=[make_route()],
                backends=[Backend(name="model")],
            )
        )
        found = self.reader.with_service(request, "other")
        self.assertEqual("other", found.backend.name)

    def test_missing_route_is_retryable_with_outdated_table(self):
        # Guards against a final "not found" from an entry whose table may
        # lack a new route.
        with self.assertRaises(Refusal) as caught:
            self.read(target=b"/q/")
        self.assertEqual(404, status_of(caught.exception))
        for age in (CERTAIN_SECONDS + 1, None):
            self.configuration.age = age
            with self.assertRaises(Refusal) as caught:
                self.read(target=b"/q/")
            self.assertEqual(503, status_of(caught.exception))
        self.index = None
        with self.assertRaises(Refusal) as caught:
            self.read()
        self.assertEqual(503, status_of(caught.exception))

    def test_malformed_prompt_headers_are_ignored(self):
        for value in (b"", b"a,b", b"1", b"1,2,3", b"9" * 5000 + b",1"):
            self.assertEqual(0, parse_prompt(value, None).tokens)
        for value in (b"x", b"x:", b":3", b"a:1,b"):
            self.assertEqual((), parse_prompt(b"5,1", value).parts)
        prompt = parse_prompt(b"30,9", b"a:10, b:15,own:5")
        self.assertEqual((30, 9), (prompt.tokens, prompt.max_output_tokens))
        self.assertEqual("b", prompt.affinity_key)


class StatusTest(unittest.TestCase):
    """HARD CASE 4: retryable statuses only for requests that did not run."""

    def test_request_that_may_have_run_gets_no_retryable_status(self):
        for code in RefusalCode:
            for verdict in (Verdict.MAY_HAVE_RUN, Verdict.RAN):
                refusal = Refusal(code=code, message="", verdict=verdict)
                self.assertIn(status_of(refusal), (502, 504))
