"""Estimate a request's time to first token from the load of an endpoint.

The times per token come from the callers (see ``engines``).
"""

from dataclasses import dataclass

from burdockdrum.registrations import Load

# Decay time of recently sent tokens; about the duration of most responses.
RECENT_WINDOW_SECONDS = 2.0
# Least fraction of an engine's time that more urgent requests leave to others;
# beyond it they are spilled to other regions or refused themselves.
MIN_CAPACITY_FRACTION = 0.2
# Fraction of the remaining time that decoding may take without a penalty. Less
# than 1, as more load can arrive and the output length is an estimate.
SAFE_DECODE_FRACTION = 0.6
# Penalty for each second beyond that, in seconds of waiting.
DECODE_RISK_WEIGHT = 0.3


def decode_risk_seconds(output_seconds: float, seconds_left: float) -> float:
    """Return the penalty for an output that may miss its deadline.

    Decoding is several times slower on an engine that is busy with prefill:
    long outputs can be late although their first token came in time.

    :param output_seconds: expected time of the output at the endpoint
    :param seconds_left: until the caller's deadline
    """
    safe = seconds_left * SAFE_DECODE_FRACTION
    return max(0.0, output_seconds - safe) * DECODE_RISK_WEIGHT


def preemption_seconds(
    load: Load, *, rank: int, slots: int, run_seconds: float
) -> float:
    """Return the penalty for preempting a less urgent request.

    An engine with full slots admits a more urgent request by preempting a
    running one, whose prefill is repeated later.

    :param run_seconds: how long a request holds a slot on average
    """
    is_full = load.requests + 1 > slots
    return run_seconds if is_full and load.above(rank).requests else 0.0


@dataclass(frozen=True, kw_only=True)
class ExpectedWait:
    """The components of an expected wait, in seconds.

    ``queue`` is the time behind earlier requests, ``service_time`` the prefill
    of the request itself. ``expected_error`` is by how much such estimates
    were too low. ``penalty`` is no waiting time, but only ranks the endpoint
    lower. ``output`` is the time from the first token to the last.
    """

    queue: float
    service_time: float
    penalty: float = 0.0
    expected_error: float = 0.0
    output: float = 0.0

    @property
    def total(self) -> float:
        """Return the sum, by which endpoints are compared."""
        return (
            self.queue + self.service_time + self.expected_error + self.penalty
        )

    @property
    def until_complete(self) -> float:
        """Return the expected time until the response is complete."""
        return (
            self.queue + self.service_time + self.expected_error + self.output
        )


def estimate_queue(
    load: Load,
    *,
    rank: int,
    slots: int,
    run_seconds: float,
    prefill_token_seconds: float,
    counts_arrivals: bool = True,
) -> float:
    """Return how many seconds a request of a rank queues at an endpoint.

    Models a non-preemptive priority queue: an engine prefills one prompt at a
    time, the most urgent first. A request waits for all that are at least as
    urgent, for the rest of a less urgent one in prefill, and for more urgent
    ones that arrive meanwhile.

    :param rank: priority; lower is more urgent
    :param slots: how many requests the endpoint runs at once
    :param run_seconds: how long a request holds a slot on average
    :param prefill_token_seconds: prefill time of a token
    :param counts_arrivals: whether to expect further more urgent requests
    """
    ahead, behind = load.up_to(rank), load.above(rank)
    uncached = ahead.uncached_tokens
    if behind.uncached_tokens:
        uncached += behind.uncached_tokens / max(1.0, behind.waiting)
    capacity = 1.0
    if counts_arrivals:
        arriving = load.up_to(rank - 1).recent_tokens * prefill_token_seconds
        capacity = max(
            MIN_CAPACITY_FRACTION, 1 - arriving / RECENT_WINDOW_SECONDS
        )
    excess = max(0.0, ahead.requests + 1 - slots)
    return (
        uncached * prefill_token_seconds / capacity
        + excess * run_seconds / slots
    )
