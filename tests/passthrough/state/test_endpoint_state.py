"""Tests of the load that this entry's requests cause at an endpoint."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.state import EndpointState
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankSum
from tests.drawing import draw as drawn
from tests.passthrough.fakes import make_endpoint

# A rank with the tokens of a new request, or which one begins to respond or
# ends, by its number.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["send", "respond", "end"]),
        strategies.integers(0, 2),
        strategies.integers(0, 9),
    ),
    max_size=40,
)


def make_request(rank, tokens):
    choice = RatedEndpoint(
        endpoint=make_endpoint("e"),
        wait=ExpectedWait(queue=0.0, service_time=0.0),
        uncached_tokens=tokens,
        prefill_cost_tokens=float(tokens),
    )
    prompt = Prompt(tokens=100 + tokens, max_output_tokens=10)
    return InFlightRequest(
        choice=choice, prompt=prompt, rank=rank, began_at=0.0
    )


class EndpointStateTest(unittest.TestCase):
    """Requests that are sent, respond and end in any order."""

    @drawn(200)
    @given(STEPS)
    def test_load_is_that_of_the_requests_in_flight(self, steps):
        state = EndpointState(service="s")
        requests = []
        answered = set()
        for step, rank, number in steps:
            if step == "send":
                requests.append(make_request(rank, number * 100))
                state.add_request(requests[-1])
            elif requests:
                request = requests[number % len(requests)]
                if step == "respond":
                    answered.add(request)
                    state.record_first_output(request, 0.0)
                else:
                    requests.remove(request)
                    state.remove_request(request)
                    state.remove_request(request)
        expected = Load()
        for request in requests:
            waits = request not in answered and request.uncached_tokens > 0
            part = RankSum(
                requests=1,
                waiting=int(waits),
                uncached_tokens=request.uncached_tokens if waits else 0.0,
                held_tokens=request.prompt.memory_tokens,
            )
            expected.add(request.rank, part)
        # The load has the most urgent rank even without requests.
        expected.of_rank(0)
        load = state.load(0.0, 1.0, counts_progress=False)
        self.assertEqual(expected, load)
        self.assertEqual(
            len([r for r in requests if r not in answered]),
            state.count_unanswered(),
        )
