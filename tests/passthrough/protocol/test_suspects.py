"""Tests of what of a request may crash endpoints."""

import unittest

from burdockdrum.crashes import is_part
from burdockdrum.http1 import RequestHead
from burdockdrum.resources import WeightedService
from tests.passthrough.protocol.readers import make_reader

SERVICES = [
    WeightedService(service="model", weight=1),
    WeightedService(service="other", weight=1),
]


class SuspectsTest(unittest.TestCase):
    """Requests on a route that is split between services."""

    def list_parts(self, service):
        """Return the suspected parts of a request to a service."""
        reader = make_reader(SERVICES)
        head = RequestHead(
            method=b"POST",
            target=b"/p/x",
            headers=[
                (b"host", b"h"),
                (b"x-model", b"m"),
                (b"x-prompt-parts", b"a:1,b:1,own:1"),
            ],
            body=b"",
            keep_alive=True,
            received_at=0.0,
        )
        request = reader.with_service(reader.read(head, is_hop=False), service)
        self.assertEqual(service, request.backend.name)
        return list(filter(is_part, request.suspects))

    def test_part_is_the_same_at_another_service_of_its_model(self):
        # Guards against a part that is rejected at one service, and crashes
        # as many endpoints of another one when a route's weights change.
        parts = self.list_parts("model")
        self.assertEqual(2, len(parts))
        self.assertEqual(parts, self.list_parts("other"))
