"""Tests of the speeds that a fleet observes and is told."""

import unittest

from burdockdrum.passthrough.selection.speed_observer import SpeedObserver
from burdockdrum.registrations import SpeedSum
from burdockdrum.settings import MechanismSettings
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL


class PaceTest(unittest.TestCase):
    """Three endpoints write responses; one is slower, or hangs."""

    TICK = 0.02

    def start(self):
        """Return a fleet with a running response at each endpoint."""
        world = FleetHarness("a", "b", "c")
        self.running = {}
        for number in range(3):
            sent = world.send(make_prompt(2000 + number))
            self.running[sent.endpoint.endpoint_id] = sent
        self.assertEqual({"a", "b", "c"}, set(self.running))
        world.clock.now += 0.1
        for sent in self.running.values():
            world.fleet.record_output(sent)
        return world

    def play(self, world, seconds, ticks_by_id):
        """Let endpoints send an event each few ticks; report each 0.1 s."""
        for tick in range(1, round(seconds / self.TICK) + 1):
            world.clock.now += self.TICK
            for endpoint_id, every in ticks_by_id.items():
                if tick % every == 0:
                    world.fleet.record_output(self.running[endpoint_id])
            if tick % 5 == 0:
                world.fleet.speeds.pop_news()

    def factors(self, world):
        """Return the believed factors of the endpoints."""
        engines = world.fleet.engines
        return [engines.time_factor("model", name) for name in "abc"]

    def test_the_pace_of_running_responses_tells_a_slow_endpoint(self):
        # Guards against learning only when a response ends, after seconds.
        world = self.start()
        self.play(world, 2.0, {"a": 1, "b": 1, "c": 3})
        first, second, slow = self.factors(world)
        self.assertGreater(slow, 1.7 * max(first, second))

    def test_an_endpoint_that_hangs_seems_slow_before_its_next_event(self):
        world = self.start()
        self.play(world, 2.0, {"a": 1, "b": 1, "c": 1})
        self.play(world, 1.0, {"a": 1, "b": 1})
        first, _, slow = self.factors(world)
        self.assertGreater(slow, 1.7 * first)

    def test_a_slower_endpoint_gets_fewer_requests(self):
        world = self.start()
        world.fleet.speeds.receive([SpeedSum("c", 2000, 2000)])
        for sent in self.running.values():
            world.fleet.record_end(sent, MODEL, whole=True)
        chosen = [
            world.choose(make_prompt(3000)).endpoint.endpoint_id
            for _ in range(40)
        ]
        self.assertNotIn("c", chosen)

    def test_news_of_unknown_endpoints_are_ignored(self):
        world = self.start()
        world.fleet.speeds.receive([SpeedSum("gone", 2000, 2000)])
        self.assertNotIn("gone", world.fleet.engines.time_factors_by_id())

    def test_nothing_is_told_if_it_is_switched_off(self):
        world = self.start()
        fleet = world.fleet
        observer = SpeedObserver(
            clock=world.clock,
            engines=type(fleet.engines)(
                mechanisms=MechanismSettings(endpoint_speeds=False)
            ),
            read_endpoints=lambda: world.endpoints,
            read_load=lambda name: self.fail("the load was read"),
            states_by_id={},
            mechanisms=MechanismSettings(endpoint_speeds=False),
        )
        observer.receive([SpeedSum("a", 2000, 2000)])
        self.assertEqual([], observer.pop_news())
        self.assertEqual([], observer.read_all())
