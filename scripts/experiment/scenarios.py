"""Scenarios: loads over time and failures of endpoints."""

from dataclasses import dataclass

from scripts.experiment.workload import LoadOf

WARM_UP_SECONDS = 40.0


@dataclass(frozen=True, kw_only=True)
class Steady(LoadOf):
    """The same load in each region."""

    load: float

    def __call__(self, region_index: int, now: float) -> float:
        """Return the load as a fraction of capacity."""
        return self.load


@dataclass(frozen=True, kw_only=True)
class Peak(LoadOf):
    """A temporary peak in the first region."""

    load: float
    peak: float
    begin: float
    end: float

    def __call__(self, region_index: int, now: float) -> float:
        """Return the load as a fraction of capacity."""
        in_peak = region_index == 0 and self.begin <= now < self.end
        return self.peak if in_peak else self.load


@dataclass(frozen=True, kw_only=True)
class Event:
    """A failure or recovery of endpoints of the first region.

    ``kind`` is ``lose``, ``return`` or the name of a fault. Unless
    ``all_in_region`` is set, only the first endpoint of the main service is
    affected.
    """

    at: float
    kind: str
    all_in_region: bool = False


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load with events; outcomes count from ``measure_from`` on."""

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
                Event(at=100.0, kind="lose", all_in_region=True),
                Event(at=200.0, kind="return", all_in_region=True),
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
