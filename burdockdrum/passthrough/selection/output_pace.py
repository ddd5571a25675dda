"""Estimate whether endpoints can write their responses in time.

An engine that processes a prompt generates only one token for each running
response with every chunk of it. So the prefill of a prompt delays all other
requests of the endpoint, whatever their rank.
"""

from dataclasses import dataclass

from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.registrations import Load
from burdockdrum.resources import Engine
from burdockdrum.resources import Route

# A prefill begins at any moment of the responses that it delays; on average it
# delays this fraction of the tokens of each.
MEAN_DELAYED_FRACTION = 0.5
# An output may be as short as this fraction of the caller's estimate.
MIN_LENGTH_FRACTION = 0.56


def delay_of_others(load: Load, *, prefill_seconds: float) -> float:
    """Return by how much a prompt delays the other responses, in seconds.

    The sum over all requests of the endpoint: a second that each token of one
    response is late counts like a second that the new request waits.

    :param load: the requests at the endpoint
    :param prefill_seconds: time that the prompt takes there
    """
    return prefill_seconds * load.requests * MEAN_DELAYED_FRACTION


def delays_urgent(wait: ExpectedWait) -> bool:
    """Return whether a prompt delays more urgent responses too much.

    While a more urgent response is too slow for its deadline, the endpoint
    gets no prompt that is less urgent. Other regions are rated by their mean:
    below 1 an endpoint there has no such response.
    """
    return wait.urgent_behind >= 1


@dataclass(frozen=True, kw_only=True)
class OutputNeeds:
    """What a response needs to be in time.

    ``seconds_left`` is the time until the caller's deadline. An event of
    ``event_tokens`` tokens may take ``max_pause_seconds``, 0 for any time.
    """

    prompt: Prompt
    seconds_left: float
    event_tokens: int = 1
    max_pause_seconds: float = 0.0

    @classmethod
    def of(
        cls, route: Route, engine: Engine, prompt: Prompt, seconds_left: float
    ) -> "OutputNeeds":
        """Return the needs of a request's response.

        :param seconds_left: until the caller's deadline
        """
        return cls(
            prompt=prompt,
            seconds_left=seconds_left,
            event_tokens=engine.tokens_an_event,
            max_pause_seconds=route.max_pause_seconds,
        )

    def are_met(self, wait: ExpectedWait) -> bool:
        """Return whether this and more urgent responses will be in time.

        :param wait: the expected times at an endpoint
        """
        return self.is_in_time(wait) and not delays_urgent(wait)

    def is_in_time(self, wait: ExpectedWait) -> bool:
        """Return whether this response is expected to be in time."""
        if wait.until_complete > self.seconds_left:
            return False
        tokens = self.prompt.expected_output_tokens
        if not self.max_pause_seconds or not tokens:
            return True
        event_seconds = wait.output / tokens * self.event_tokens
        return event_seconds <= self.max_pause_seconds

    def prefer_meeting(
        self, rated: list[RatedEndpoint]
    ) -> list[RatedEndpoint]:
        """Return the endpoints that meet the needs best; all if none does."""
        return (
            [one for one in rated if self.are_met(one.wait)]
            or [one for one in rated if self.is_in_time(one.wait)]
            or rated
        )

    def seconds_too_late(self, rated: RatedEndpoint) -> float:
        """Return by how much a response will miss its deadline.

        Without the caller's estimate only the maximum length of the output is
        known, and most outputs are shorter. At an idle endpoint a request
        can't be faster later; it is sent, and shows how fast the endpoint is.

        :returns: the seconds, 0 if it may be complete in time
        """
        is_estimated = self.prompt.hinted_output_tokens is not None
        if not is_estimated or rated.requests < 1:
            return 0.0
        wait = rated.wait
        # An output can be as much shorter than its estimate.
        unneeded = wait.output * (1 - MIN_LENGTH_FRACTION)
        return max(0.0, wait.until_complete - unneeded - self.seconds_left)
