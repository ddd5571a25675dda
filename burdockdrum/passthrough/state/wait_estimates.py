"""Estimate a request's time to first token from the load of an endpoint.

The times per token come from the callers (see ``engines``).
"""

from dataclasses import dataclass

from burdockdrum.registrations import Load

# Decay time of recently sent tokens; about the duration of most responses,
# over which the share of steps that prefill hardly changes.
RECENT_WINDOW_SECONDS = 2.0
# Least fraction of an engine's time that more urgent requests leave to others;
# beyond it they are spilled to other regions or refused themselves.
MIN_CAPACITY_FRACTION = 0.2
# Fraction of the remaining time that decoding may take without a penalty. Less
# than 1, as more load can arrive and the output length is an estimate.
SAFE_DECODE_FRACTION = 0.6
# Penalty for each second beyond that, in seconds of waiting. The delay of a
# hop to another region matters least for the longest outputs.
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
    if load.requests + 1 <= slots:
        return 0.0
    for other_rank, part in load.sums_by_rank.items():
        if other_rank > rank and part.requests:
            return run_seconds
    return 0.0


@dataclass(frozen=True, kw_only=True)
class ExpectedWait:
    """The components of an expected wait, in seconds.

    ``queue`` is the time behind earlier requests, ``service_time`` the prefill
    of the request itself. ``expected_error`` is by how much such estimates
    were too low. ``penalty`` is no waiting time, but only ranks the endpoint
    lower. ``output`` is the time from the first token to the last.
    ``urgent_behind`` is no time but the number of more urgent responses there
    that are written too slowly for their deadline.
    """

    queue: float
    service_time: float
    penalty: float = 0.0
    expected_error: float = 0.0
    output: float = 0.0
    urgent_behind: float = 0.0

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
    memory_wait_seconds: float = 0.0,
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
    :param memory_wait_seconds: until the engine has memory for the request
    """
    # One pass, as this runs for each endpoint and request.
    requests = uncached = arriving_tokens = 0.0
    uncached_behind = waiting_behind = 0.0
    for other_rank, part in load.sums_by_rank.items():
        if other_rank > rank:
            uncached_behind += part.uncached_tokens
            waiting_behind += part.waiting
            continue
        requests += part.requests
        uncached += part.uncached_tokens
        if other_rank < rank:
            arriving_tokens += part.recent_tokens
    if uncached_behind:
        uncached += uncached_behind / max(1.0, waiting_behind)
    capacity = 1.0
    if counts_arrivals:
        arriving = arriving_tokens * prefill_token_seconds
        capacity = max(
            MIN_CAPACITY_FRACTION, 1 - arriving / RECENT_WINDOW_SECONDS
        )
    excess = max(0.0, requests + 1 - slots)
    start_wait = max(excess * run_seconds / slots, memory_wait_seconds)
    return uncached * prefill_token_seconds / capacity + start_wait


def memory_wait_seconds(
    load: Load,
    *,
    rank: int,
    request_tokens: int,
    memory_tokens: int,
    held_seconds: float,
) -> float:
    """Return how long a request waits for memory of an engine.

    Less urgent requests are preempted for it, and cached prefixes evicted.
    Memory is released evenly.

    :param request_tokens: tokens that the request needs
    :param memory_tokens: the engine's memory
    :param held_seconds: how long a token is held on average
    """
    if not memory_tokens:
        return 0.0
    needed = float(request_tokens)
    for other_rank, part in load.sums_by_rank.items():
        if other_rank <= rank:
            needed += part.held_tokens
    excess = max(0.0, needed - memory_tokens)
    return excess / memory_tokens * held_seconds
