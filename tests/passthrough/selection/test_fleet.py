"""Tests of the choice among the endpoints of a region."""

import dataclasses
import unittest

from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import RegistrationState
from burdockdrum.resources import Backend
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL
from tests.passthrough.fakes import PLAIN

PLAIN_MODEL = Backend(name="model")


class ChoiceTest(unittest.TestCase):
    """Single choices among the endpoints of a region."""

    def test_short_request_avoids_a_long_prompt_of_another_entry(self):
        # Guards against queueing behind a long prompt that another entry VM
        # has just sent to one of the endpoints.
        world = FleetHarness("a", "b", "c")
        world.others["a"] = Load.from_ranks(
            [RankLoad(1, 1, 57_000, waiting=1)]
        )
        chosen = {
            world.choose(make_prompt(1000)).endpoint.endpoint_id
            for _ in range(30)
        }
        self.assertEqual({"b", "c"}, chosen)

    def test_long_prompt_counts_by_its_prefill_time(self):
        # Guards against underestimating the queue behind a long prompt, whose
        # prefill time grows with the square of its tokens.
        world = FleetHarness("a")
        long = world.send(make_prompt(64_000))
        expected = world.choose(make_prompt(100)).wait.queue
        engines = world.fleet.engines
        reading = long.choice.wait.service_time - engines.first_token_seconds(
            "model"
        )
        self.assertAlmostEqual(reading, expected, delta=0.02)
        short = 64_000 * engines.prefill_token_seconds("model")
        self.assertGreater(expected, 1.6 * short)

    def test_requests_spread_over_idle_endpoints(self):
        world = FleetHarness("a", "b", "c", "d")
        placed = [
            world.send(make_prompt(1000 + n)).endpoint.endpoint_id
            for n in range(12)
        ]
        self.assertEqual(3, max(placed.count(name) for name in placed))

    def test_unreported_load_of_other_entries_is_extrapolated(self):
        # Guards against overload right after a start, when 27 other entry VMs
        # send similar requests but have not reported any load yet.
        world = FleetHarness("a", "b")
        alone = [world.send(make_prompt(6000)) for _ in range(4)]
        self.assertEqual(4, len(alone))
        short = world.choose(make_prompt(6000)).wait.queue
        world.unreported_entries = 27
        long = world.choose(make_prompt(6000)).wait.queue
        self.assertLess(short, 0.3)
        self.assertGreater(long, 2.0)

    def test_prompt_goes_where_its_prefix_is_cached(self):
        # Guards against a shared prefix being computed several times: entry
        # VMs choose the same endpoint for it without communication.
        shared = (("head", 500), ("plan-7", 4900))
        chosen = set()
        for seed in range(3):
            world = FleetHarness("a", "b", "c", "d", "e", seed=seed)
            in_flight_request = world.send(make_prompt(6600, *shared), rank=1)
            chosen.add(in_flight_request.endpoint.endpoint_id)
        self.assertEqual(1, len(chosen))

    def test_busy_holder_of_a_prefix_is_avoided(self):
        # Guards against waiting for an overloaded endpoint only because it
        # has the prefix cached.
        world = FleetHarness("a", "b")
        prompt = make_prompt(6600, ("plan-7", 5000))
        home = world.choose(prompt).endpoint.endpoint_id
        world.others[home] = Load.from_ranks([RankLoad(0, 3, 85_000)])
        other = world.choose(prompt).endpoint.endpoint_id
        self.assertNotEqual(home, other)

    def test_long_body_stays_in_its_data_centre_if_not_slower(self):
        # Guards against paying for traffic to another data centre without
        # getting a faster response.
        world = FleetHarness("a", "b", crossing_seconds=1.5)
        for name in ("c", "d"):
            world.endpoints[name] = make_endpoint(name, data_centre="beside")
        chosen = {
            world.choose(
                make_prompt(1000), body_bytes=34_000
            ).endpoint.endpoint_id
            for _ in range(30)
        }
        self.assertEqual({"a", "b"}, chosen)

    def test_short_requests_stay_local_despite_stale_loads(self):
        # Guards against spreading work over both data centres because of
        # stale load reports, while the local one has free capacity.
        world = FleetHarness("a", "b", crossing_seconds=4.0)
        for name in ("c", "d"):
            world.endpoints[name] = make_endpoint(name, data_centre="beside")
        world.load_age_seconds = 0.5
        for name, tokens in zip("abcd", (2000, 2400, 1800, 2200), strict=True):
            load = Load.from_ranks([RankLoad(0, 3, tokens, 40_000, waiting=2)])
            world.others[name] = load
        chosen = {
            world.choose(make_prompt(300), body_bytes=400).endpoint.endpoint_id
            for _ in range(60)
        }
        self.assertEqual({"a", "b"}, chosen)

    def test_body_crosses_to_a_faster_data_centre(self):
        # Guards against queueing a second at local endpoints to save traffic
        # that is worth 0.05 s.
        world = FleetHarness("a", "b", crossing_seconds=1.5)
        world.endpoints["c"] = make_endpoint("c", data_centre="beside")
        for name in ("a", "b"):
            world.others[name] = Load.from_ranks(
                [RankLoad(0, 1, 57_000, waiting=1)]
            )
        choice = world.choose(make_prompt(1000), body_bytes=34_000)
        self.assertEqual("c", choice.endpoint.endpoint_id)

    def test_ineligible_endpoints_are_never_chosen(self):
        world = FleetHarness("ok")
        away = {
            "leaving": {"state": RegistrationState.DRAINING},
            "elsewhere": {"data_centre": "closed"},
            "other": {"service": "other"},
            "ended": {"ends_at": 99.0},
            "tried": {},
        }
        for name, fields in away.items():
            world.endpoints[name] = make_endpoint(name, **fields)
        for _ in range(20):
            choice = world.choose(
                make_prompt(100), tried=["tried"], closed=["closed"]
            )
            self.assertEqual("ok", choice.endpoint.endpoint_id)

    def test_endpoint_without_heartbeats_is_the_last_choice(self):
        world = FleetHarness("a", "quiet")
        quiet = world.endpoints["quiet"]
        world.endpoints["quiet"] = dataclasses.replace(
            quiet, state=RegistrationState.UNREACHABLE
        )
        for _ in range(5):
            self.assertEqual(
                "a", world.choose(make_prompt(10)).endpoint.endpoint_id
            )
        del world.endpoints["a"]
        self.assertEqual(
            "quiet", world.choose(make_prompt(10)).endpoint.endpoint_id
        )

    def record_failures(self, world, name, times, *, method="record_error"):
        """Record failures of an endpoint; return its health."""
        for _ in range(times):
            in_flight_request = world.send(make_prompt(10))
            world.fleet.record_end(in_flight_request, MODEL, whole=False)
        health = world.fleet.health_of(world.endpoints[name])
        for _ in range(times):
            getattr(health, method)(world.clock.now)
        return health

    def test_failing_endpoint_is_ejected_and_probed(self):
        # Guards against an endpoint that fails fast attracting all requests,
        # as it looks idle. After its ejection it gets one probe at a time.
        world = FleetHarness("bad", "good")
        for _ in range(3):
            world.send(make_prompt(10))
        health = world.fleet.health_of(world.endpoints["bad"])
        for _ in range(6):
            health.record_error(world.clock.now)
        chosen = [world.choose(make_prompt(10)) for _ in range(20)]
        self.assertEqual(
            {"good"}, {choice.endpoint.endpoint_id for choice in chosen}
        )
        world.clock.now += 1.5
        tried = 0
        for _ in range(20):
            in_flight_request = world.send(make_prompt(10))
            tried += in_flight_request.endpoint.endpoint_id == "bad"
        self.assertEqual(1, tried)
        health.record_success()
        self.assertFalse(health.is_ejected(world.clock.now))

    def test_ejected_endpoints_are_used_if_all_are_ejected(self):
        # Guards against refusing all requests because every endpoint has
        # been ejected.
        world = FleetHarness("a", "b")
        for name in "ab":
            self.record_failures(world, name, 8)
        choice = world.choose(make_prompt(10))
        self.assertGreater(choice.wait.penalty, 0.5)
        self.assertLess(choice.wait.queue, 0.5)

    def test_stalled_endpoint_is_avoided(self):
        # Guards against sending to an endpoint that lost its power until the
        # kernel reports an error, which takes seconds.
        world = FleetHarness("dark", "good")
        for _ in range(20):
            in_flight_request = world.send(make_prompt(0), backend=PLAIN_MODEL)
            if in_flight_request.endpoint.endpoint_id == "dark":
                break
            world.fleet.record_end(in_flight_request, PLAIN_MODEL, whole=True)
        world.fleet._timings._run_seconds_by_service["model"] = 0.03
        world.clock.now += 0.5
        for _ in range(10):
            in_flight_request = world.send(make_prompt(0), backend=PLAIN_MODEL)
            self.assertEqual("good", in_flight_request.endpoint.endpoint_id)
            world.fleet.record_end(in_flight_request, PLAIN_MODEL, whole=True)

    def test_endpoint_is_skipped_after_a_failed_connect(self):
        world = FleetHarness("a")
        self.record_failures(world, "a", 1, method="record_unreachable")
        self.assertIsNone(world.choose(make_prompt(10)))
        world.clock.now += 1.1
        self.assertIsNotNone(world.choose(make_prompt(10)))

    def test_broken_connections_count_double(self):
        world = FleetHarness("a")
        health = self.record_failures(world, "a", 3, method="record_loss")
        self.assertTrue(health.is_ejected(world.clock.now))

    def test_low_failure_rate_does_not_eject(self):
        # Guards against ejecting endpoints for a constant low failure rate.
        world = FleetHarness("a")
        health = world.fleet.health_of(world.endpoints["a"])
        world.send(make_prompt(10))
        for number in range(700):
            if number % 7 == 0:
                health.record_error(world.clock.now)
            else:
                health.record_success()
            self.assertIsNotNone(world.choose(make_prompt(10)))

    def test_load_returns_to_zero(self):
        world = FleetHarness("a")
        in_flight_requests = [
            world.send(make_prompt(100 + n)) for n in range(5)
        ]
        self.assertEqual(5, world.fleet.read_own_load()["a"][0].requests)
        for in_flight_request in in_flight_requests:
            world.fleet.record_output(in_flight_request)
            world.fleet.record_end(in_flight_request, MODEL, whole=True)
        ranks = world.fleet.read_own_load()["a"]
        self.assertEqual(0, sum(rank.requests for rank in ranks))
        self.assertEqual(0, sum(rank.uncached_tokens for rank in ranks))
        # Recently sent tokens decay.
        world.clock.now += 30
        self.assertEqual({}, world.fleet.read_own_load())


class ColdTest(unittest.TestCase):
    """Slow start of an endpoint that all entry VMs send to.

    It accepts 3.3 requests a second in total, and crashes above 1.5 times
    the rate plus three in any second.
    """

    def test_all_entries_together_keep_the_slow_start_rate(self):
        for entries in (1, 2, 3, 4, 12, 28):
            with self.subTest(entries=entries):
                self.assertLessEqual(self.busiest_second(entries), 7)

    def busiest_second(self, entries):
        worlds = [FleetHarness("cold", seed=n) for n in range(entries)]
        for world in worlds:
            world.fleet.entries = entries
            world.endpoints["cold"] = make_endpoint(
                "cold", slow_start_until=200.0
            )
        sent = []
        for tick in range(1000):
            for world in worlds:
                world.clock.now = 100 + tick / 100
                if world.choose(make_prompt(10)) is not None:
                    world.send(make_prompt(10))
                    sent.append(tick)
        self.assertGreater(len(sent), 10)
        return max(
            sum(begin <= tick < begin + 100 for tick in sent)
            for begin in range(0, 1000, 5)
        )

    def test_endpoint_after_slow_start_is_unlimited(self):
        world = FleetHarness("a")
        for _ in range(20):
            self.assertIsNotNone(world.choose(make_prompt(10)))
            world.send(make_prompt(10), backend=MODEL)

    def test_plain_service_needs_no_prompt(self):
        world = FleetHarness()
        world.endpoints["p"] = make_endpoint("p", service="plain")
        choice = world.choose(make_prompt(0), backend=PLAIN)
        self.assertEqual(0.0, choice.wait.total)
