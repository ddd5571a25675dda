"""Tests of who is taken, who is refused, and when to come back."""

import random
import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.placing import MIN_QUEUE_SECONDS
from burdockdrum.passthrough.placing import Placing
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import Verdict
from tests.passthrough.fakes import FleetWorld
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import MODEL


class OverloadTest(unittest.TestCase):
    """The pattern: a burst on the one endpoint of a region, nowhere to go.

    The objective is 1 s. What waits for less is in time and taken; what
    waits for longer would be late, and hold up those who come after it.
    """

    def setUp(self):
        self.world = FleetWorld("a")
        self.token_seconds = self.world.fleet.engines.token_seconds("model")

    def make_placing(self, **mechanisms):
        return Placing(
            clock=self.world.clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_rooms=list,
            read_entries=list,
            read_closed=frozenset,
            hop_address=lambda identity: "",
            mechanisms=MechanismSettings(**mechanisms),
        )

    def make_request(self, since=0.0, tokens=100):
        now = self.world.clock.now
        return PassedRequest(
            request_id="r",
            head=RequestHead(
                method=b"POST",
                target=b"/p/",
                headers=[],
                body=b"",
                keep_alive=True,
                received_at=now - since,
            ),
            route=make_route(objective_seconds=1.0),
            backend=MODEL,
            prompt=make_prompt(tokens),
            received_at=now - since,
            deadline=now + 3.0,
            attempts=2,
        )

    def fill(self, seconds):
        tokens = int(seconds / self.token_seconds)
        self.world.others["a"] = Load.of([RankLoad(0, 1, tokens, waiting=1)])

    def test_what_would_be_in_time_is_taken(self):
        self.fill(0.9)
        place = self.make_placing().place(self.make_request(), Progress())
        self.assertIsInstance(place, EndpointPlace)

    def test_what_would_be_late_is_refused_at_once(self):
        # It has not run, and may come back when the queue has gone down to
        # what is in time: 0.5 s from now.
        self.fill(1.5)
        with self.assertRaises(Refusal) as raised:
            self.make_placing().place(self.make_request(), Progress())
        self.assertIs(Verdict.NOT_RUN, raised.exception.verdict)
        self.assertAlmostEqual(0.5, raised.exception.retry_after, delta=0.1)

    def test_time_to_read_its_own_prompt_counts(self):
        """Prompts are let in that are late once they have been read."""
        tokens = int(0.3 / self.token_seconds)
        place = self.make_placing().place
        self.fill(0.5)
        place(self.make_request(tokens=tokens), Progress())
        self.fill(0.85)
        place(self.make_request(), Progress())
        with self.assertRaises(Refusal):
            place(self.make_request(tokens=tokens), Progress())

    def test_longest_prompts_are_not_kept_out(self):
        """The largest requests are refused under any load."""
        tokens = int(1.5 / self.token_seconds)
        self.fill(0.2)
        request = self.make_request(tokens=tokens)
        place = self.make_placing().place(request, Progress())
        self.assertIsInstance(place, EndpointPlace)

    def test_what_is_late_already_waits_a_moment_at_most(self):
        # It was held while the routes were learned. There is room for it
        # only where it takes little from those who are in time.
        request = self.make_request(since=2.0)
        self.fill(MIN_QUEUE_SECONDS / 2)
        place = self.make_placing().place(request, Progress())
        self.assertIsInstance(place, EndpointPlace)
        self.fill(MIN_QUEUE_SECONDS * 2)
        with self.assertRaises(Refusal):
            self.make_placing().place(request, Progress())

    def test_operator_may_have_all_wait_until_their_deadline(self):
        placing = self.make_placing(early_refusal=False)
        self.fill(2.5)
        place = placing.place(self.make_request(), Progress())
        self.assertIsInstance(place, EndpointPlace)
        self.fill(3.5)
        with self.assertRaises(Refusal):
            placing.place(self.make_request(), Progress())


if __name__ == "__main__":
    unittest.main()
