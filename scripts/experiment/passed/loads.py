"""Loads over time: moving peaks, bursts, engine crashes, restarts."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
import math
import random

from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import PromptPart
from scripts.experiment.passed.shapes import Mix
from scripts.experiment.passed.shapes import RequestKind
from scripts.experiment.passed.shapes import scale_kind

REGIONS = ("east", "north", "west")
BURST_FACTOR = 2.5
# Load of a region outside its steep peak, relative to its mean.
STEEP_REST = 0.17
# Fraction of the period in which a steep peak rises, and in which it falls.
_STEEP_EDGE = 0.09
TEAM_COUNT = 16
FLOOD_FACTOR = 6.0
REPEATING_FRACTION = 0.25


@dataclass(frozen=True, kw_only=True)
class Incident:
    """A failure: engines that crash or entries that restart.

    A crash stops ``count`` engines of the first region for good; a restart
    stops all entries for ``seconds`` and drops their state.
    """

    at: float
    kind: str
    count: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Day:
    """A load over time; ``level`` scales the rates of the mix.

    The load of each region is a sine wave of ``period`` seconds that peaks
    at ``peak`` times the mean, with a phase shift between regions. With
    ``is_steep`` each region has ``peak`` times its mean for a third of the
    period and ``STEEP_REST`` of it otherwise. Between the two times of
    ``burst`` the load, or that of the kind ``burst_kind``, is multiplied by
    ``BURST_FACTOR``. Between the two times of ``flood`` the teams with the
    numbers ``flood_teams`` send ``FLOOD_FACTOR`` times their usual. Between
    the two times of ``repeats`` the fraction ``REPEATING_FRACTION`` of the
    callers repeat at once what is refused.
    """

    name: str
    seconds: float = 30.0
    level: float = 1.0
    peak: float = 1.6
    period: float = 24.0
    is_steep: bool = False
    burst: tuple[float, float] = (0.0, 0.0)
    burst_kind: str = ""
    flood: tuple[float, float] = (0.0, 0.0)
    flood_teams: tuple[int, ...] = ()
    incidents: tuple[Incident, ...] = ()
    repeats: tuple[float, float] = (0.0, 0.0)

    def factor(self, region: int, moment: float) -> float:
        """Return the load of a region at a time, relative to its mean."""
        phase = moment / self.period - region / len(REGIONS)
        daily_factor = 1 + (self.peak - 1) * math.sin(2 * math.pi * phase)
        if self.is_steep:
            daily_factor = _steep_factor(phase, self.peak)
        return self.level * daily_factor

    def burst_factor(self, kind: str, moment: float) -> float:
        """Return by how much a kind's load is multiplied at a time."""
        in_burst = self.burst[0] <= moment < self.burst[1]
        is_meant = self.burst_kind in ("", kind)
        return BURST_FACTOR if in_burst and is_meant else 1.0

    def team_weights(self, moment: float) -> list[float]:
        """Return the relative load of each team at a time."""
        weights = [1 / (number + 1) for number in range(TEAM_COUNT)]
        if self.flood[0] <= moment < self.flood[1]:
            for number in self.flood_teams:
                weights[number] *= FLOOD_FACTOR
        return weights

    def scaled(self, time_scale: float) -> "Day":
        """Return the day with all times multiplied."""
        return Day(
            name=self.name,
            seconds=self.seconds * time_scale,
            level=self.level,
            peak=self.peak,
            period=self.period * time_scale,
            is_steep=self.is_steep,
            burst=(self.burst[0] * time_scale, self.burst[1] * time_scale),
            burst_kind=self.burst_kind,
            flood=(self.flood[0] * time_scale, self.flood[1] * time_scale),
            flood_teams=self.flood_teams,
            incidents=tuple(
                Incident(
                    at=incident.at * time_scale,
                    kind=incident.kind,
                    count=incident.count,
                    seconds=incident.seconds * time_scale,
                )
                for incident in self.incidents
            ),
            repeats=(
                self.repeats[0] * time_scale,
                self.repeats[1] * time_scale,
            ),
        )


def _steep_factor(phase: float, peak: float) -> float:
    """Return the load of a region whose peak rises and falls steeply."""
    position = phase % 1.0
    high = 1 / len(REGIONS) + _STEEP_EDGE
    rise = min(1.0, position / _STEEP_EDGE)
    fall = min(1.0, max(0.0, (high - position) / _STEEP_EDGE))
    return STEEP_REST + (peak - STEEP_REST) * min(rise, fall)


DAYS = {
    day.name: day
    for day in (
        Day(name="quiet", level=1.0),
        Day(name="peaks", level=1.5, peak=2.0),
        Day(
            name="burst and lost engines",
            level=1.5,
            burst=(10.0, 12.5),
            incidents=(
                Incident(at=8.0, kind="crash", count=2),
                Incident(at=9.0, kind="crash", count=1),
            ),
        ),
        Day(
            name="full stop",
            level=1.5,
            incidents=(Incident(at=15.0, kind="restart", seconds=2.0),),
        ),
        Day(name="steep peaks", level=1.1, peak=2.8, is_steep=True),
        Day(
            name="burst of the least urgent",
            level=1.1,
            peak=2.8,
            is_steep=True,
            burst=(8.0, 14.0),
            burst_kind="hint",
            incidents=(Incident(at=12.0, kind="crash", count=1),),
        ),
        Day(
            name="flooding teams",
            level=1.3,
            peak=1.3,
            flood=(10.0, 16.0),
            flood_teams=(3, 5),
        ),
    )
}


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a caller.

    A caller that ``repeats`` does so at once and often when it is refused.
    """

    at: float
    region: str
    kind: RequestKind
    prompt: Prompt
    output_tokens: int
    team: int = 0
    repeats: bool = False


def make_arrivals(
    day: Day, mix: Mix, seed: int, time_scale: float = 1.0
) -> Iterator[Arrival]:
    """Yield the requests of a day in order of time.

    :param time_scale: factor of all times
    """
    rng = random.Random(seed)
    kinds = [scale_kind(kind, time_scale) for kind in mix.kinds]
    moment, scaled_day = 0.0, day.scaled(time_scale)
    max_factor = BURST_FACTOR * day.level * day.peak * _max_flood(day)
    max_rate = max_factor * sum(kind.rate for kind in kinds)
    number = 0
    while True:
        moment += rng.expovariate(max_rate)
        if moment >= scaled_day.seconds:
            return
        kind = rng.choices(kinds, weights=[k.rate for k in kinds])[0]
        index = rng.randrange(len(REGIONS))
        factor = scaled_day.factor(index, moment)
        factor *= scaled_day.burst_factor(kind.name, moment)
        weights = scaled_day.team_weights(moment)
        factor *= sum(weights) / sum(scaled_day.team_weights(-1.0))
        acceptance_rate = factor / max_factor
        accepted = rng.random() < acceptance_rate
        number += 1
        arrival = _draw_arrival(rng, moment, REGIONS[index], kind, number)
        if accepted:
            team_rng = random.Random(f"{seed} {number}")
            team = team_rng.choices(range(TEAM_COUNT), weights=weights)[0]
            first, last = scaled_day.repeats
            draws = team_rng.random() < REPEATING_FRACTION
            repeats = first <= moment < last and draws
            yield replace(arrival, team=team, repeats=repeats)


def _max_flood(day: Day) -> float:
    flooded = day.team_weights(day.flood[0])
    return max(1.0, sum(flooded) / sum(day.team_weights(-1.0)))


def _draw_arrival(
    rng: random.Random, at: float, region: str, kind: RequestKind, number: int
) -> Arrival:
    # The popularity of subjects is skewed towards the first.
    subject = min(
        kind.subjects - 1, int(rng.paretovariate(0.6) - 1) % kind.subjects
    )
    sizes = random.Random(f"{kind.name}{subject}")
    shared = int(kind.shared_tokens * sizes.uniform(0.6, 1.4))
    own = max(8, int(kind.own_tokens * rng.lognormvariate(-0.3, 0.8)))
    output = max(2, int(kind.output_tokens * rng.lognormvariate(-0.2, 0.6)))
    parts = (
        PromptPart(part_id=f"{kind.name}-{subject}", tokens=shared),
        PromptPart(part_id=f"own-{number}", tokens=own),
    )
    return Arrival(
        at=at,
        region=region,
        kind=kind,
        prompt=Prompt(
            tokens=shared + own,
            max_output_tokens=output * 2,
            hinted_output_tokens=output,
            parts=parts,
        ),
        output_tokens=output,
    )
