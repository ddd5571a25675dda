"""Checks the rate limits of teams over the requests of all entry VMs."""

from collections.abc import Iterable
from dataclasses import dataclass
import itertools

from burdockdrum.resources import RateLimit


@dataclass(frozen=True, kw_only=True)
class Began:
    """A team's request started to run; ``cost`` is in the limit's unit."""

    time: float
    team: str
    cost: float


@dataclass(frozen=True, kw_only=True)
class LimitInForce:
    """The rate limit of a team from ``time`` on; None for no limit."""

    time: float
    team: str
    limit: RateLimit | None


def check_limits(
    began: Iterable[Began],
    limits: Iterable[LimitInForce],
    *,
    window_seconds: float,
    over: float,
    slack: float = 0.0,
) -> list[str]:
    """Return a sentence for each team and limit that was exceeded.

    In each window the cost may reach the rate times the window plus the
    burst, plus the tolerances.

    :param over: relative tolerance, as a fraction of the limit
    :param slack: absolute tolerance, in the limit's unit
    """
    spans = _spans_by_team(limits)
    violations = []
    by_team = sorted(began, key=lambda one: (one.team, one.time))
    for team, group in itertools.groupby(by_team, key=lambda one: one.team):
        requests = list(group)
        for start, end, limit in spans.get(team, ()):
            inside = [one for one in requests if start <= one.time < end]
            peak = _peak_cost_in_window(inside, window_seconds)
            allowed = limit.per_second * window_seconds + limit.burst
            allowed = allowed * (1 + over) + slack
            if peak > allowed:
                violations.append(
                    f"{peak:.0f} of team {team!r} began in "
                    f"{window_seconds:g} s, {allowed:.0f} are allowed"
                )
    return violations


def _spans_by_team(
    limits: Iterable[LimitInForce],
) -> dict[str, list[tuple[float, float, RateLimit]]]:
    spans: dict[str, list[tuple[float, float, RateLimit]]] = {}
    changes = sorted(limits, key=lambda one: (one.team, one.time))
    for team, group in itertools.groupby(changes, key=lambda one: one.team):
        own = list(group)
        ends = [one.time for one in own[1:]] + [float("inf")]
        spans[team] = [
            (one.time, end, one.limit)
            for one, end in zip(own, ends, strict=True)
            if one.limit is not None
        ]
    return spans


def _peak_cost_in_window(requests: list[Began], seconds: float) -> float:
    peak = total = 0.0
    first = 0
    for request in requests:
        total += request.cost
        while requests[first].time <= request.time - seconds:
            total -= requests[first].cost
            first += 1
        peak = max(peak, total)
    return peak
