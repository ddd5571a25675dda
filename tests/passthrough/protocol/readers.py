"""Builds readers of requests for tests."""

import random

from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.request_reader import RequestReader
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.resources import Backend
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_meter
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import ManualClock


def make_reader(services, *more):
    """Return a reader for a route that is split between services.

    :param more: services that the table has besides the usual ones
    """
    configuration = FakeConfiguration()
    names = ["model", "other", *more]
    configuration.apply(
        routes=[make_route(services=services)],
        backends=[Backend(name=name) for name in names],
    )
    clock = ManualClock()
    finder = make_finder(configuration)
    return RequestReader(
        clock=clock,
        rng=random.Random(1),
        names=HeaderNames(),
        read_index=lambda: RouteIndex(table=configuration.current.route_table),
        callers=finder,
        meter=make_meter(clock, finder),
    )
