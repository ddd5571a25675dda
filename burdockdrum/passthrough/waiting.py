"""Estimate when a request's first output is to be expected.

The figures are those of a mid-size model on one server (a dense model of 70
billion parameters on four accelerators): they rank endpoints and price
waiting, and need not be exact.
"""

from dataclasses import dataclass

from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.registrations import Load

# Reading a prompt takes a time for each token, and one for each pair of
# tokens, which counts from some 10,000 tokens on.
READ_SECONDS_A_TOKEN = 1 / 85_000
READ_SECONDS_A_PAIR = 2.75e-10
# What was sent to an endpoint counts as recent for so long. It is as long as
# most outputs take: over it the share of reading steps hardly changes.
RECENT_SECONDS = 2.0
# From this part of its time on that an endpoint reads prompts, outputs are
# at risk. Below it, on the usual days, nothing is sent to another region for
# it: that cost more in bytes than it saved (0.06 of the score).
RISKY_PART = 0.85
# Shorter outputs end in time all the same.
LONG_OUTPUT_TOKENS = 100


def writing_risk(prompt: Prompt, load: Load) -> float:
    """Return what an endpoint is worse by for an output that may be late.

    Failure: a region's endpoints read prompts without a pause. Symptom: each
    token takes eight times as long, 27 ms and not 3.5, and long outputs run
    into their deadline, though the first part came in time. One second is
    counted for twice as much to read as can be.
    """
    if prompt.max_output < LONG_OUTPUT_TOKENS:
        return 0.0
    return max(0.0, load.recent_seconds / RECENT_SECONDS - RISKY_PART)


def reading_seconds(prompt: Prompt, unread_tokens: int) -> float:
    """Return how long it takes to read the last tokens of a prompt."""
    held = max(0, prompt.tokens - unread_tokens)
    pairs = (prompt.tokens**2 - held**2) / 2
    return unread_tokens * READ_SECONDS_A_TOKEN + pairs * READ_SECONDS_A_PAIR


@dataclass(frozen=True, kw_only=True)
class Wait:
    """The parts of an expected wait, in seconds.

    ``queue`` is spent on what came before, ``own`` on reading the prompt.
    ``penalty`` is what a doubtful endpoint, or one where the output would
    end late, must be better by to be chosen.
    """

    queue: float
    own: float
    penalty: float = 0.0

    @property
    def total(self) -> float:
        """Return what choices are compared by."""
        return self.queue + self.own + self.penalty


def estimate_queue(
    load: Load, *, rank: int, slots: int, run_seconds: float
) -> float:
    """Return how long a request of a rank waits at an endpoint.

    It is admitted ahead of what is less urgent, which may have to yield its
    slot; the prompts of what runs are read before its own.

    :param run_seconds: how long a request holds a slot, on average
    """
    ahead, reading = load.up_to(rank)
    behind, reading_behind = load.above(rank)
    free = slots - ahead - 1
    if behind and free > 0:
        reading += reading_behind * min(1.0, free / behind)
    over = max(0, -free)
    return reading + over * run_seconds / slots
