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
# A step that generates a token for each running request; one that also
# reads a part of a prompt, as an engine does while any waits to be read.
STEP_SECONDS = 0.0035
READING_STEP_SECONDS = 0.024
# Which part of its time an output may take without being at risk: others
# come while it is written, and its length is a guess.
SAFE_WRITING_PART = 0.6
# What a second beyond that counts against a second until the first part.
# The longest outputs are worth most, and a hop costs them least; at the
# usual load a few in a hundred are sent to another region for it.
RISK_WEIGHT = 0.3


def writing_seconds(prompt: Prompt, load: Load) -> float:
    """Return how long the output of a prompt is expected to take."""
    busy = min(1.0, load.recent_seconds / RECENT_SECONDS)
    step = STEP_SECONDS + busy * READING_STEP_SECONDS
    return prompt.expected_output * step


def writing_risk(prompt: Prompt, load: Load, seconds_left: float) -> float:
    """Return what an endpoint is worse by for an output that may be late.

    Failure: a region's endpoints read prompts without a pause. Symptom: each
    token takes up to eight times as long, 27 ms and not 3.5, and long
    outputs run into their deadline, though the first part came in time.

    :param seconds_left: until the caller's deadline
    """
    safe = seconds_left * SAFE_WRITING_PART
    return max(0.0, writing_seconds(prompt, load) - safe) * RISK_WEIGHT


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
