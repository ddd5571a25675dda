"""Loads over time: moving peaks, bursts, engine crashes, restarts."""

from collections.abc import Iterator
from dataclasses import dataclass
import math
import random

from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import PromptPart
from scripts.experiment.passed.shapes import Mix
from scripts.experiment.passed.shapes import RequestKind
from scripts.experiment.passed.shapes import scale_kind

REGIONS = ("east", "north", "west")
BURST_FACTOR = 2.5


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
    at ``peak`` times the mean, with a phase shift between regions. Between
    the two times of ``burst`` it is multiplied by ``BURST_FACTOR``.
    """

    name: str
    seconds: float = 30.0
    level: float = 1.0
    peak: float = 1.6
    period: float = 24.0
    burst: tuple[float, float] = (0.0, 0.0)
    incidents: tuple[Incident, ...] = ()

    def factor(self, region: int, moment: float) -> float:
        """Return the load of a region at a time, relative to its mean."""
        phase = moment / self.period - region / len(REGIONS)
        daily_factor = 1 + (self.peak - 1) * math.sin(2 * math.pi * phase)
        in_burst = self.burst[0] <= moment < self.burst[1]
        return self.level * daily_factor * (BURST_FACTOR if in_burst else 1.0)

    def scaled(self, time_scale: float) -> "Day":
        """Return the day with all times multiplied."""
        return Day(
            name=self.name,
            seconds=self.seconds * time_scale,
            level=self.level,
            peak=self.peak,
            period=self.period * time_scale,
            burst=(self.burst[0] * time_scale, self.burst[1] * time_scale),
            incidents=tuple(
                Incident(
                    at=incident.at * time_scale,
                    kind=incident.kind,
                    count=incident.count,
                    seconds=incident.seconds * time_scale,
                )
                for incident in self.incidents
            ),
        )


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
    )
}


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a caller."""

    at: float
    region: str
    kind: RequestKind
    prompt: Prompt
    output_tokens: int


def make_arrivals(
    day: Day, mix: Mix, seed: int, time_scale: float = 1.0
) -> Iterator[Arrival]:
    """Yield the requests of a day in order of time.

    :param time_scale: factor of all times
    """
    rng = random.Random(seed)
    kinds = [scale_kind(kind, time_scale) for kind in mix.kinds]
    moment, scaled_day = 0.0, day.scaled(time_scale)
    max_rate = (
        BURST_FACTOR * day.level * day.peak * sum(kind.rate for kind in kinds)
    )
    number = 0
    while True:
        moment += rng.expovariate(max_rate)
        if moment >= scaled_day.seconds:
            return
        kind = rng.choices(kinds, weights=[k.rate for k in kinds])[0]
        index = rng.randrange(len(REGIONS))
        acceptance_rate = scaled_day.factor(index, moment) / (
            BURST_FACTOR * day.level * day.peak
        )
        accepted = rng.random() < acceptance_rate
        number += 1
        arrival = _draw_arrival(rng, moment, REGIONS[index], kind, number)
        if accepted:
            yield arrival


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
