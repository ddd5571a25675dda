"""Estimate when a request's first output is to be expected.

What an engine takes for a token is not known here: callers give what they
have observed (see ``engines``).
"""

from dataclasses import dataclass

from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.registrations import Load

# What was sent to an endpoint counts as recent for so long. It is as long as
# most outputs take: over it the share of reading steps hardly changes.
RECENT_SECONDS = 2.0
# What more urgent requests leave of an engine's time at the least: beyond it
# they are passed on or refused themselves.
MIN_PART_LEFT = 0.2
# Which part of its time an output may take without being at risk: others
# come while it is written, and its length is a guess.
SAFE_WRITING_PART = 0.6
# What a second beyond that counts against a second until the first part.
# The longest outputs are worth most, and a hop costs them least; at the
# usual load a few in a hundred are sent to another region for it.
RISK_WEIGHT = 0.3


def writing_risk(
    prompt: Prompt, step_seconds: float, seconds_left: float
) -> float:
    """Return what an endpoint is worse by for an output that may be late.

    An engine that reads without a pause takes several times as long for a
    token, and long outputs run into their deadline though the first part came
    in time.

    :param step_seconds: what a token takes to write there
    :param seconds_left: until the caller's deadline
    """
    writing = prompt.expected_output * step_seconds
    safe = seconds_left * SAFE_WRITING_PART
    return max(0.0, writing - safe) * RISK_WEIGHT


def preemption_seconds(
    load: Load, *, rank: int, slots: int, run_seconds: float
) -> float:
    """Return what a request costs those that it takes a slot from.

    An engine whose slots are full admits what is more urgent and puts
    something back that runs, which is read anew later.

    :param run_seconds: how long a request holds a slot, on average
    """
    is_full = load.requests + 1 > slots
    return run_seconds if is_full and load.above(rank).requests else 0.0


@dataclass(frozen=True, kw_only=True)
class Wait:
    """The parts of an expected wait, in seconds.

    ``queue`` is spent on what came before, ``own`` on reading the prompt
    until the first part. ``usual_error`` is what first parts have come later
    by than these two say, at engines that read as much. ``penalty`` is what
    a doubtful endpoint, or one where the output would end late, must be
    better by to be chosen.
    """

    queue: float
    own: float
    penalty: float = 0.0
    usual_error: float = 0.0

    @property
    def total(self) -> float:
        """Return what choices are compared by."""
        return self.queue + self.own + self.usual_error + self.penalty


def estimate_queue(
    load: Load,
    *,
    rank: int,
    slots: int,
    run_seconds: float,
    token_seconds: float,
    counts_coming: bool = True,
) -> float:
    """Return how long a request of a rank waits at an endpoint.

    An engine reads one prompt after the other, the most urgent of those that
    wait first; the one that it reads it reads to its end. So a request waits
    for all that are as urgent or more, and for the rest of one other. While
    it waits, more urgent ones come and go before it.

    More urgent ones that are yet to come count as well: an engine that reads
    them most of the time leaves little for others.

    :param run_seconds: how long a request holds a slot, on average
    :param token_seconds: how long a token of a prompt takes to read
    :param counts_coming: whether more urgent ones are taken to come
    """
    ahead, behind = load.up_to(rank), load.above(rank)
    unread = ahead.unread_tokens
    if behind.unread_tokens:
        unread += behind.unread_tokens / max(1.0, behind.waiting)
    left = 1.0
    if counts_coming:
        coming = load.up_to(rank - 1).recent_tokens * token_seconds
        left = max(MIN_PART_LEFT, 1 - coming / RECENT_SECONDS)
    over = max(0.0, ahead.requests + 1 - slots)
    return unread * token_seconds / left + over * run_seconds / slots
