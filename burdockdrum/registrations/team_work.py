"""The work that teams request and get, summed over several sources.

A report replaces the source's former one. Amounts are whole numbers, so that
sums stay exact however often reports are added and subtracted.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec


class TeamWork(msgspec.Struct, frozen=True, array_like=True):
    """The work of a team of one rank at one service, in messages.

    ``requested`` and ``served`` are in microseconds of an engine per
    second; refused requests count in ``requested`` only, and a
    served one from its first output on.
    """

    service: str
    rank: int
    team: str
    requested: int
    served: int


class WorkKey(NamedTuple):
    """What work is summed by."""

    service: str
    rank: int
    team: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Summed work, in microseconds of an engine per second."""

    requested: int = 0
    served: int = 0

    def plus(self, other: "Work", factor: int = 1) -> "Work":
        """Return this sum plus another one times 1 or -1."""
        return Work(
            requested=self.requested + factor * other.requested,
            served=self.served + factor * other.served,
        )


NO_WORK = Work()
WorkByKey = Mapping[WorkKey, Work]


@dataclass(frozen=True, kw_only=True)
class _SourceWork:
    work_by_key: WorkByKey
    received_at: float


class TeamWorkSums:
    """The work that each source reported last, and the sums of all."""

    def __init__(self) -> None:
        """Create empty sums."""
        self._parts_by_source: dict[str, _SourceWork] = {}
        self._sums: dict[WorkKey, Work] = {}

    @property
    def sums(self) -> WorkByKey:
        """Return the sums of all sources."""
        return self._sums

    def work_of_source(self, source: str) -> WorkByKey:
        """Return the last report of one source."""
        part = self._parts_by_source.get(source)
        return part.work_by_key if part is not None else {}

    def put(self, source: str, works: Iterable[TeamWork], now: float) -> None:
        """Replace the report of a source."""
        self.drop(source)
        work_by_key = decode_work(works)
        self._parts_by_source[source] = _SourceWork(
            work_by_key=work_by_key, received_at=now
        )
        add_work(self._sums, work_by_key)

    def drop(self, source: str) -> None:
        """Remove a source."""
        part = self._parts_by_source.pop(source, None)
        if part is not None:
            add_work(self._sums, part.work_by_key, -1)

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


def add_work(
    sums: dict[WorkKey, Work], works: WorkByKey, factor: int = 1
) -> None:
    """Add work times 1 or -1 to sums; sums of nothing are removed."""
    for key, work in works.items():
        total = sums.get(key, NO_WORK).plus(work, factor)
        if total == NO_WORK:
            sums.pop(key, None)
        else:
            sums[key] = total


def sum_work(*parts: WorkByKey) -> dict[WorkKey, Work]:
    """Return the sums of several parts, as a new object."""
    sums: dict[WorkKey, Work] = {}
    for part in parts:
        add_work(sums, part)
    return sums


def decode_work(works: Iterable[TeamWork]) -> dict[WorkKey, Work]:
    """Convert work from its form in messages.

    Negative amounts count as none, so that no sum can become negative.
    """
    return {
        WorkKey(work.service, work.rank, work.team): Work(
            requested=max(0, work.requested), served=max(0, work.served)
        )
        for work in works
    }


def encode_work(work_by_key: WorkByKey) -> list[TeamWork]:
    """Convert work to its form in messages, without empty sums."""
    return [
        TeamWork(*key, work.requested, work.served)
        for key, work in work_by_key.items()
        if work.requested > 0
    ]
