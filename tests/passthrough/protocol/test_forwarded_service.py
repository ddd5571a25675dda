"""Tests of the service of a request that another entry forwarded."""

import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.header_names import HOP_SERVICE
from burdockdrum.resources import WeightedService
from tests.passthrough.protocol.readers import make_reader

SERVICES = [
    WeightedService(service="model", weight=999),
    WeightedService(service="other", weight=1),
]


class ForwardedServiceTest(unittest.TestCase):
    """Requests on a route that is split between services."""

    def read(self, service, *, is_hop):
        """Return the service of a request with a forwarded service."""
        reader = make_reader(SERVICES)
        head = RequestHead(
            method=b"GET",
            target=b"/p/x",
            headers=[(b"host", b"h"), (HOP_SERVICE, service)],
            body=b"",
            keep_alive=True,
            received_at=0.0,
        )
        return reader.read(head, is_hop=is_hop).backend.name

    def test_forwarded_request_keeps_its_service(self):
        # Guards against a retry that is charged to one service and sent to
        # another, as each entry draws by the weights of the route.
        self.assertEqual("other", self.read(b"other", is_hop=True))

    def test_service_that_the_route_no_longer_has_is_drawn_again(self):
        self.assertEqual("model", self.read(b"gone", is_hop=True))

    def test_callers_can_not_choose_the_service(self):
        self.assertEqual("model", self.read(b"other", is_hop=False))
