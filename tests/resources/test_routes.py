"""Tests of route tables and evacuations in the replicated state."""

import unittest
from unittest import mock

import msgspec

from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.control_state import decode_change_result
from burdockdrum.configuration.control_state import encode_command
from burdockdrum.resources import ACCEPTED
from burdockdrum.resources import Backend
from burdockdrum.resources import CONFLICT
from burdockdrum.resources import evacuation_orders
from burdockdrum.resources import INVALID
from burdockdrum.resources import ListenerLimits
from burdockdrum.resources import Put
from burdockdrum.resources import ReplaceRoutes
from burdockdrum.resources import ResourceStore
from burdockdrum.resources import Route
from burdockdrum.resources import route_moves
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import SetEvacuation
from burdockdrum.resources import WeightedService


def make_route(**fields):
    defaults = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "services": [WeightedService(service="s")],
        "idempotent": True,
        "timeout_seconds": 1.0,
    }
    return Route(**{**defaults, **fields})


def make_table(generation, *routes, **fields):
    return RouteTableSpec(
        generation=generation,
        routes=list(routes) or [make_route()],
        backends=[Backend(name="s")],
        **fields,
    )


class RouteTableTest(unittest.TestCase):
    """HARD CASE 16: concurrent, resent and invalid route tables."""

    def setUp(self):
        self.store = ResourceStore()

    def replace(self, *arguments, **fields):
        spec = make_table(*arguments, **fields)
        return self.store.apply(ReplaceRoutes(spec=spec))

    def test_highest_generation_wins_in_any_order(self):
        # A resent older table must not replace a newer one.
        for generation in (4, 9, 7, 4):
            self.assertEqual(ACCEPTED, self.replace(generation).code)
        self.assertEqual(9, self.store.configuration.route_table.generation)
        self.assertEqual(2, self.store.configuration.revision)

    def test_different_table_of_the_same_generation_is_ignored(self):
        self.replace(4)
        before = self.store.configuration
        result = self.replace(4, make_route(host="other"))
        self.assertEqual(ACCEPTED, result.code)
        self.assertIs(before, self.store.configuration)

    def test_invalid_table_is_rejected_with_the_field(self):
        self.replace(4)
        before = self.store.configuration
        invalid_routes = {
            "host is empty": make_route(host=""),
            "path_prefix": make_route(path_prefix="/p"),
            "timeout_seconds": make_route(timeout_seconds=0),
            "attempts": make_route(attempts=0),
            "there is no service": make_route(
                services=[WeightedService(service="unknown")]
            ),
            "add up to 0": make_route(
                services=[WeightedService(service="s", weight=0)]
            ),
            "below 0": make_route(
                services=[WeightedService(service="s", weight=-1)]
            ),
        }
        for expected_text, route in invalid_routes.items():
            with self.subTest(expected_text=expected_text):
                result = self.replace(5, route)
                self.assertEqual(INVALID, result.code)
                self.assertIn(expected_text, result.message)
        result = self.replace(5, make_route(), make_route(name="twin"))
        self.assertIn("host and prefix", result.message)
        result = self.replace(5, limits=ListenerLimits(idle_seconds=0))
        self.assertIn("idle_seconds", result.message)
        self.assertIs(before, self.store.configuration)

    def test_put_of_a_route_table_checks_name_and_generation(self):
        def put(name, generation, version):
            return self.store.apply(
                Put(
                    change_id=f"{name}-{generation}-{version}",
                    kind="route_table",
                    name=name,
                    expected_version=version,
                    spec=make_table(generation),
                )
            )

        self.assertEqual(INVALID, put("another", 1, 0).code)
        self.assertEqual(ACCEPTED, put("main", 3, 0).code)
        self.assertEqual(INVALID, put("main", 3, 1).code)
        self.assertEqual(ACCEPTED, put("main", 4, 1).code)

    def test_change_of_many_routes_is_one_revision(self):
        # A VM applies whole revisions, so it never serves a partial table.
        revisions = []
        self.store.listeners.append(revisions.append)
        self.replace(4, make_route(), make_route(name="b", host="b"))
        (resource_revision,) = revisions
        self.assertEqual(2, len(resource_revision.resource.spec.routes))


class RouteMovesTest(unittest.TestCase):
    """The services to which paths of other services move."""

    def setUp(self):
        self.store = ResourceStore()
        self.generation = 0

    def replace(self, **services_by_prefix):
        """Replace the table; ``a_b`` stands for the prefix /a/b/."""
        self.generation += 1
        routes = [
            make_route(
                name=place,
                path_prefix=f"/{place.replace('_', '/')}/",
                services=[
                    WeightedService(service=name, weight=weight)
                    for name, weight in services.items()
                ],
            )
            for place, services in services_by_prefix.items()
        ]
        spec = RouteTableSpec(
            generation=self.generation,
            routes=routes,
            backends=[Backend(name=name) for name in "st"],
        )
        result = self.store.apply(ReplaceRoutes(spec=spec))
        self.assertEqual(ACCEPTED, result.code)
        return self.store.route_moves.revision_by_service

    def test_moved_paths_are_recorded(self):
        # Guards against a stream that goes on at another service.
        moves = {
            "to another": ({"a": {"s": 1}}, {"a": {"t": 1}}, {"t"}),
            "to both": ({"a": {"s": 1}}, {"a": {"s": 1, "t": 1}}, {"t"}),
            "from both": ({"a": {"s": 1, "t": 1}}, {"a": {"s": 1}}, {"s"}),
            "by weight": (
                {"a": {"s": 1, "t": 0}},
                {"a": {"s": 0, "t": 1}},
                {"t"},
            ),
            "to a longer prefix": (
                {"a": {"s": 1}},
                {"a": {"s": 1}, "a_b": {"t": 1}},
                {"t"},
            ),
            "to a shorter prefix": (
                {"a": {"s": 1}, "a_b": {"t": 1}},
                {"a": {"s": 1}},
                {"s"},
            ),
            "none": (
                {"a": {"s": 1, "t": 1}},
                {"a": {"s": 2, "t": 1}, "b": {"t": 1}},
                set(),
            ),
        }
        for name, (before, after, expected) in moves.items():
            with self.subTest(name):
                self.setUp()
                self.replace(**before)
                self.assertEqual(expected, set(self.replace(**after)))

    def test_paths_that_had_no_route_meanwhile_are_recorded(self):
        # Guards against a stream that goes on at the service that its path
        # has after a time without a route.
        returns = {
            "to another": ({"a": {"s": 1}}, {"a": {"t": 1}}, {"t"}),
            "to the same": ({"a": {"s": 1}}, {"a": {"s": 1}}, set()),
            "to a longer prefix": ({"a": {"s": 1}}, {"a_b": {"t": 1}}, {"t"}),
            "to a shorter prefix": ({"a_b": {"s": 1}}, {"a": {"t": 1}}, {"t"}),
            "to a new path": ({"a": {"s": 1}}, {"b": {"t": 1}}, set()),
        }
        other = {"z": {"s": 1}}
        for name, (before, after, expected) in returns.items():
            with self.subTest(name):
                self.setUp()
                self.replace(**before, **other)
                self.replace(**other)
                self.replace(z={"s": 2})
                self.assertEqual(expected, set(self.replace(**after, **other)))

    def test_closed_paths_are_in_the_snapshot(self):
        # Guards against a control VM that forgets them by its restart.
        self.replace(a={"s": 1}, b={"s": 1})
        self.replace(b={"s": 1})
        snapshot = self.store.snapshot()
        self.store = ResourceStore()
        self.store.restore(snapshot)
        self.assertEqual({"t"}, set(self.replace(a={"t": 1}, b={"s": 1})))

    def test_closed_paths_are_bounded(self):
        moves = route_moves.RouteMoves()
        limit = 3
        with mock.patch.object(route_moves, "MAX_CLOSED_PATHS", limit):
            for number in range(limit + 2):
                before, after = (
                    make_table(1, make_route(path_prefix=f"/{n}/"))
                    for n in (number, number + 1)
                )
                moves.advance(before, after, number)
        self.assertEqual(
            ["/2/", "/3/", "/4/"],
            [path.path_prefix for path in moves.snapshot().closed_paths],
        )

    def test_moves_are_in_the_snapshot(self):
        # Guards against a control VM that forgets a move by its restart.
        self.replace(a={"s": 1})
        moves = self.replace(a={"t": 1})
        self.assertEqual({"t": self.store.configuration.revision}, moves)
        other = ResourceStore()
        other.restore(self.store.snapshot())
        self.assertEqual(moves, other.route_moves.revision_by_service)


class EvacuationTest(unittest.TestCase):
    """Data centres whose endpoints receive no new requests."""

    def test_repeated_changes_are_acknowledged(self):
        store = ResourceStore()
        expected = [
            (True, {"a"}),
            (True, {"a"}),
            (False, set()),
            (False, set()),
            (True, {"a"}),
        ]
        for evacuated, centres in expected:
            change = SetEvacuation(data_centre="a", evacuated=evacuated)
            self.assertEqual(ACCEPTED, store.apply(change).code)
            self.assertEqual(
                centres, set(store.configuration.evacuated_data_centres)
            )

    def test_order_that_arrives_after_a_later_one_changes_nothing(self):
        # Guards against an order that waits in a queue or at a leader.
        store = ResourceStore()
        before = store.evacuation_orders.number_of("a")
        late = SetEvacuation(
            data_centre="a", evacuated=True, expected_order=before
        )
        # It changes nothing, but it was acknowledged after the late one.
        later = SetEvacuation(data_centre="a", evacuated=False)
        self.assertEqual(ACCEPTED, store.apply(later).code)
        self.assertEqual(CONFLICT, store.apply(late).code)
        self.assertEqual(0, store.configuration.revision)
        other = msgspec.structs.replace(late, data_centre="b")
        self.assertEqual(ACCEPTED, store.apply(other).code)

    def test_order_that_is_resent_is_acknowledged_again(self):
        store = ResourceStore()
        change = SetEvacuation(
            data_centre="a", evacuated=True, expected_order=0
        )
        for _ in range(2):
            self.assertEqual(ACCEPTED, store.apply(change).code)

    def test_numbers_are_in_the_snapshot(self):
        # Guards against a late order at a leader that was just restored.
        store = ResourceStore()
        late = SetEvacuation(
            data_centre="a",
            evacuated=True,
            expected_order=store.evacuation_orders.number_of("a"),
        )
        store.apply(SetEvacuation(data_centre="a", evacuated=False))
        other = ResourceStore()
        other.restore(store.snapshot())
        self.assertEqual(CONFLICT, other.apply(late).code)

    def test_numbers_are_bounded(self):
        orders = evacuation_orders.EvacuationOrders()
        orders.advance("first")
        number = orders.number_of("first")
        for index in range(evacuation_orders.MAX_DATA_CENTRES):
            orders.advance(f"d{index}")
        self.assertEqual(
            evacuation_orders.MAX_DATA_CENTRES,
            len(orders.snapshot().numbers_by_data_centre),
        )
        self.assertEqual(number, orders.number_of("first"))

    def test_invalid_name_is_rejected(self):
        for name in ("", "A B", "x" * 64):
            change = SetEvacuation(data_centre=name, evacuated=True)
            self.assertEqual(INVALID, ResourceStore().apply(change).code)


class AgreedTest(unittest.TestCase):
    """Route tables and evacuations in the log and its snapshots."""

    def test_state_survives_the_log_and_a_snapshot(self):
        state = ControlState()
        commands = [
            ReplaceRoutes(spec=make_table(4, document=b"\x00text")),
            SetEvacuation(data_centre="a", evacuated=True),
        ]
        for index, command in enumerate(commands, 1):
            result = state.apply(index, encode_command(command))
            self.assertEqual(ACCEPTED, decode_change_result(result).code)
        other = ControlState()
        other.restore(state.snapshot())
        self.assertEqual(
            msgspec.to_builtins(state.store.configuration.route_table),
            msgspec.to_builtins(other.store.configuration.route_table),
        )
        self.assertEqual(
            {"a"}, set(other.store.configuration.evacuated_data_centres)
        )
