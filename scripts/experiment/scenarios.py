"""What happens during a run."""

from dataclasses import dataclass

from scripts.experiment.workload import LoadOf

WARM_UP_SECONDS = 40.0


@dataclass(frozen=True, kw_only=True)
class Steady(LoadOf):
    """The same load in each region."""

    load: float

    def __call__(self, region_index: int, now: float) -> float:
        """Return the share."""
        return self.load


@dataclass(frozen=True, kw_only=True)
class Peak(LoadOf):
    """A peak in the first region for a while."""

    load: float
    peak: float
    begin: float
    end: float

    def __call__(self, region_index: int, now: float) -> float:
        """Return the share."""
        in_peak = region_index == 0 and self.begin <= now < self.end
        return self.peak if in_peak else self.load


@dataclass(frozen=True, kw_only=True)
class Event:
    """Something that happens to endpoints of the first region.

    ``kind`` is ``lose``, ``return`` or the name of a fault; ``all_of_them``
    is false where only the first endpoint of the main service is struck.
    """

    at: float
    kind: str
    all_of_them: bool = False


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load, what happens meanwhile, and the part that is measured."""

    name: str
    title: str
    load_of: LoadOf
    events: tuple[Event, ...] = ()
    seconds: float = 280.0
    measure_from: float = WARM_UP_SECONDS


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            name="steady",
            title="steady load",
            load_of=Steady(load=0.6),
            seconds=220.0,
        ),
        Scenario(
            name="peak",
            title="a peak in one region",
            load_of=Peak(load=0.5, peak=1.3, begin=100.0, end=240.0),
            measure_from=100.0,
        ),
        Scenario(
            name="loss",
            title="a region's loss and cold return",
            load_of=Steady(load=0.5),
            events=(
                Event(at=100.0, kind="lose", all_of_them=True),
                Event(at=200.0, kind="return", all_of_them=True),
            ),
            measure_from=100.0,
        ),
        Scenario(
            name="fast_errors",
            title="an endpoint that fails fast",
            load_of=Steady(load=0.5),
            events=(
                Event(at=80.0, kind="errors"),
                Event(at=160.0, kind="none"),
            ),
            seconds=200.0,
            measure_from=80.0,
        ),
        Scenario(
            name="overload",
            title="overload at twice the capacity",
            load_of=Steady(load=2.0),
            seconds=160.0,
        ),
    )
}
