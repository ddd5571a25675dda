"""Days of requests: peaks that move, bursts, lost engines, restarts."""

from collections.abc import Iterator
from dataclasses import dataclass
import math
import random

from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.prompts import PromptPart
from scripts.experiment.passed.shapes import Kind
from scripts.experiment.passed.shapes import Mix
from scripts.experiment.passed.shapes import stretch_kind

REGIONS = ("east", "north", "west")
BURST_TIMES = 2.5


@dataclass(frozen=True, kw_only=True)
class Happening:
    """Something that goes wrong: engines that crash, entries that restart.

    ``count`` engines of the first region are lost for good; a restart takes
    all entries away for ``seconds``, and with them all that they knew.
    """

    at: float
    kind: str
    count: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Day:
    """A load over time; ``level`` is its mean against the usual one.

    Each region's load follows a wave of ``period`` seconds that peaks at
    ``peak`` times the mean, later in one region than in another; in
    ``burst`` it is ``BURST_TIMES`` as high everywhere.
    """

    name: str
    seconds: float = 30.0
    level: float = 1.0
    peak: float = 1.6
    period: float = 24.0
    burst: tuple[float, float] = (0.0, 0.0)
    happenings: tuple[Happening, ...] = ()

    def factor(self, region: int, moment: float) -> float:
        """Return the load of a region at a moment against its mean."""
        turn = moment / self.period - region / len(REGIONS)
        wave = 1 + (self.peak - 1) * math.sin(2 * math.pi * turn)
        in_burst = self.burst[0] <= moment < self.burst[1]
        return self.level * wave * (BURST_TIMES if in_burst else 1.0)

    def stretched(self, times: float) -> "Day":
        """Return the same day in slow motion."""
        return Day(
            name=self.name,
            seconds=self.seconds * times,
            level=self.level,
            peak=self.peak,
            period=self.period * times,
            burst=(self.burst[0] * times, self.burst[1] * times),
            happenings=tuple(
                Happening(
                    at=happening.at * times,
                    kind=happening.kind,
                    count=happening.count,
                    seconds=happening.seconds * times,
                )
                for happening in self.happenings
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
            happenings=(
                Happening(at=8.0, kind="crash", count=2),
                Happening(at=9.0, kind="crash", count=1),
            ),
        ),
        Day(
            name="full stop",
            level=1.5,
            happenings=(Happening(at=15.0, kind="restart", seconds=2.0),),
        ),
    )
}


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request that a caller sends."""

    at: float
    region: str
    kind: Kind
    prompt: Prompt
    output_tokens: int


def make_arrivals(
    day: Day, mix: Mix, seed: int, times: float = 1.0
) -> Iterator[Arrival]:
    """Draw the requests of a day, in the order of time.

    :param times: how much slower everything is
    """
    rng = random.Random(seed)
    kinds = [stretch_kind(kind, times) for kind in mix.kinds]
    moment, slow_day = 0.0, day.stretched(times)
    most = (
        BURST_TIMES * day.level * day.peak * sum(kind.rate for kind in kinds)
    )
    number = 0
    while True:
        moment += rng.expovariate(most)
        if moment >= slow_day.seconds:
            return
        kind = rng.choices(kinds, weights=[k.rate for k in kinds])[0]
        index = rng.randrange(len(REGIONS))
        share = slow_day.factor(index, moment) / (
            BURST_TIMES * day.level * day.peak
        )
        accepted = rng.random() < share
        number += 1
        arrival = _draw(rng, moment, REGIONS[index], kind, number)
        if accepted:
            yield arrival


def _draw(
    rng: random.Random, at: float, region: str, kind: Kind, number: int
) -> Arrival:
    # Subjects are asked for unevenly: the first of them most.
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
