"""Tests of the route that entries tell each other with a request."""

import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.forwarded_route import decode_route
from burdockdrum.passthrough.protocol.forwarded_route import encode_route
from burdockdrum.passthrough.protocol.forwarded_route import ForwardedRoute
from burdockdrum.passthrough.protocol.header_names import HOP_ROUTE
from burdockdrum.passthrough.protocol.header_names import HOP_SERVICE
from burdockdrum.passthrough.protocol.header_names import HOP_VERSION
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.resources import Backend
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import WeightedService
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import MODEL
from tests.passthrough.protocol.readers import make_reader

MAX_HEADER_BYTES = 250


def make_head(*headers):
    """Return the head of a request."""
    return RequestHead(
        method=b"GET",
        target=b"/p/x",
        headers=[(b"host", b"h"), *headers],
        body=b"",
        keep_alive=True,
        received_at=100.0,
    )


def forward(route, backend=MODEL):
    """Return what another entry is told 2 s after a request was read."""
    request = ProxiedRequest(
        request_id="r1",
        head=make_head(),
        route=route,
        backend=backend,
        prompt=make_prompt(100),
        received_at=100.0,
        deadline=105.0,
        attempts=2,
        revision=7,
    )
    return encode_route(ForwardedRoute.of(request, seconds_left=3.0))


class ForwardedRouteTest(unittest.TestCase):
    """The encoded route."""

    def test_route_and_service_are_kept(self):
        route = make_route(
            name="chat \u00e9, 100%",
            services=[WeightedService(service="model")],
            streams=True,
            resumable=True,
            rank=3,
            homes=["one", "tw\u00f6\r\n"],
            path_prefix="/",
        )
        value = forward(route)
        self.assertTrue(value.isascii())
        self.assertNotIn(b"\r", value)
        read = decode_route(value)
        self.assertEqual((7, 2.0), (read.generation, read.age_seconds))
        self.assertEqual(route, read.make_route(host="h", homes=read.homes))
        self.assertEqual(MODEL, read.make_backend())
        plain = Backend(name="plain", max_connections=7)
        read = decode_route(forward(make_route(), plain))
        self.assertEqual(plain, read.make_backend())

    def test_header_is_short(self):
        # Guards against traffic between regions for what seldom matters.
        route = make_route(homes=["region-one", "region-two"], rank=3)
        self.assertLess(len(forward(route)), MAX_HEADER_BYTES)

    def test_unreadable_route_is_ignored(self):
        # Guards against failing requests of entries of other versions.
        reader = make_reader([WeightedService(service="model")])
        for value in (b"", b"x", b"[1]", b"%FF", b"[%22a%22,2]"):
            request = reader.read(make_head((HOP_ROUTE, value)), is_hop=True)
            self.assertEqual((1, "r"), (request.revision, request.route.name))

    def test_route_of_callers_is_ignored(self):
        # Guards against a caller that makes up a route of its own.
        value = forward(make_route(name="made up"))
        reader = make_reader([WeightedService(service="model")])
        request = reader.read(make_head((HOP_ROUTE, value)), is_hop=False)
        self.assertEqual("r", request.route.name)
        request = reader.read(make_head((HOP_ROUTE, value)), is_hop=True)
        self.assertEqual("made up", request.route.name)

    def test_first_newer_table_supersedes_a_route(self):
        # Guards against taking the last change for the one that an entry
        # has missed, so that it may bring back routes for long.
        index = RouteIndex(
            table=RouteTableSpec(generation=9, routes=[], backends=[]),
            in_force_since={4: 10.0, 6: 20.0, 9: 30.0},
        )
        found = [index.superseded_at(n) for n in (3, 4, 5, 6, 8, 9, 10)]
        self.assertEqual([10.0, 20.0, 20.0, 30.0, 30.0, None, None], found)


class ForwardedServiceNameTest(unittest.TestCase):
    """Names of services that are not ASCII."""

    def test_stream_goes_on_at_the_service_that_began_it(self):
        # Guards against cutting a stream whose service's name is decoded in
        # two ways.
        name = "mod\u00e8le"
        reader = make_reader([WeightedService(service=name)], name)
        head = make_head((HOP_SERVICE, name.encode()), (HOP_VERSION, b"v1"))
        request = reader.read(head, is_hop=True)
        self.assertEqual(name, request.backend.name)
        self.assertEqual(name, request.origin.service)
