"""The load at each endpoint, summed over several sources.

A report replaces the source's former one. The sums are updated incrementally,
as they are read for each request.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad

LoadById = dict[str, list[RankLoad]]
_NO_LOAD = Load()


@dataclass(frozen=True, kw_only=True)
class _SourceLoads:
    """The report of one source, as it was received and decoded."""

    report: LoadById
    loads_by_id: dict[str, Load]
    received_at: float


_NO_REPORT = _SourceLoads(report={}, loads_by_id={}, received_at=0.0)


class LoadSums:
    """The loads of each source, and their sums by endpoint."""

    def __init__(self) -> None:
        """Create empty sums."""
        self._parts_by_source: dict[str, _SourceLoads] = {}
        self._sums_by_id: dict[str, Load] = {}

    @property
    def sums_by_id(self) -> Mapping[str, Load]:
        """Return the sums of all sources, by endpoint."""
        return self._sums_by_id

    @property
    def source_count(self) -> int:
        """Return the number of sources with a report."""
        return len(self._parts_by_source)

    @property
    def sources(self) -> Collection[str]:
        """Return the sources with a report."""
        return self._parts_by_source.keys()

    def load_of(self, endpoint_id: str) -> Load:
        """Return the sum of all sources at one endpoint."""
        return self._sums_by_id.get(endpoint_id, _NO_LOAD)

    def loads_of_source(self, source: str) -> Mapping[str, Load]:
        """Return the last report of one source, by endpoint."""
        part = self._parts_by_source.get(source)
        return part.loads_by_id if part is not None else {}

    def put(self, source: str, load_by_id: LoadById, now: float) -> None:
        """Replace the report of a source.

        Endpoints whose load is as in the former report cost nearly nothing.
        """
        former = self._parts_by_source.get(source, _NO_REPORT)
        loads = {
            endpoint_id: former.loads_by_id[endpoint_id]
            if former.report.get(endpoint_id) == ranks
            else Load.from_ranks(ranks)
            for endpoint_id, ranks in load_by_id.items()
        }
        for endpoint_id, load in former.loads_by_id.items():
            if loads.get(endpoint_id) is not load:
                self._subtract(endpoint_id, load, source)
        for endpoint_id, load in loads.items():
            if former.loads_by_id.get(endpoint_id) is not load:
                self._sums_by_id.setdefault(endpoint_id, Load()).merge(load)
        self._parts_by_source[source] = _SourceLoads(
            report=load_by_id, loads_by_id=loads, received_at=now
        )

    def drop(self, source: str) -> None:
        """Remove a source."""
        part = self._parts_by_source.pop(source, None)
        if part is None:
            return
        for endpoint_id, load in part.loads_by_id.items():
            self._subtract(endpoint_id, load, source)

    def _subtract(self, endpoint_id: str, load: Load, source: str) -> None:
        """Subtract what a source reported of an endpoint.

        A sum is removed with its last source, not when it becomes zero: a
        remaining source with a load of zero still subtracts from it later.
        """
        for other, part in self._parts_by_source.items():
            if other != source and endpoint_id in part.loads_by_id:
                self._sums_by_id[endpoint_id].subtract(load)
                return
        del self._sums_by_id[endpoint_id]

    def keep_only(self, source: str) -> None:
        """Remove every source but one."""
        for other in list(self._parts_by_source):
            if other != source:
                self.drop(other)

    def prune(self, since: float) -> None:
        """Remove the sources without a report since a time."""
        for source, part in list(self._parts_by_source.items()):
            if part.received_at < since:
                self.drop(source)


def sum_loads(*parts: Mapping[str, Load]) -> dict[str, Load]:
    """Return the sum of several loads by endpoint, as new objects."""
    sums: dict[str, Load] = {}
    for part in parts:
        for endpoint_id, load in part.items():
            sums.setdefault(endpoint_id, Load()).merge(load)
    return sums


def decode_loads(load_by_id: LoadById) -> dict[str, Load]:
    """Convert loads from their form in messages."""
    return {name: Load.from_ranks(ranks) for name, ranks in load_by_id.items()}


def encode_loads(loads_by_id: Mapping[str, Load]) -> LoadById:
    """Convert loads to their form in messages, without empty ones."""
    ranks_by_id = {name: load.ranks() for name, load in loads_by_id.items()}
    return {name: ranks for name, ranks in ranks_by_id.items() if ranks}
