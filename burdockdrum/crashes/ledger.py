"""Crashes of endpoints by the requests that they ran, and what follows.

Every request that ran on an endpoint when it crashed is a suspect, as an
endpoint runs many at once. A completed run clears a request. One that has
collected ``MAX_CRASHES`` is quarantined, unless a rival ran on the same
endpoint each time: then they are told apart by running them apart. A rival is
another request under which several endpoints crashed.

All VMs merge the same records, in any order, and reach the same verdicts.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import enum

import msgspec

from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.records import RecordKey
from burdockdrum.logs import log_decision
from burdockdrum.ports import Clock

# Crashes under a request after which it is not run again.
MAX_CRASHES = 3
# A request with so many is quarantined though rivals ran beside it each time.
MAX_CONTESTED_CRASHES = 5
# So many of them no other quarantined request may explain. One could be a
# crash of another cause under a request that ran beside a crashing one.
MIN_UNEXPLAINED_CRASHES = 2
# Crashes under a request that may explain those of others. Each crash makes a
# suspect of whatever ran there, so that one says little.
MIN_RIVAL_CRASHES = 2
# How long a crash counts; a quarantine ends when fewer than the maximum do.
RECORD_SECONDS = 600.0
# Beyond this number, the oldest records of requests that are not quarantined
# are removed, a part at a time.
MAX_RECORDS = 4096
REMOVED_FRACTION = 0.1


class Standing(enum.Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONTESTED = "contested"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, kw_only=True)
class Assessment:
    """How a request is treated, and the crashes that count against it.

    ``seconds_left`` is the time until this ends without further crashes.
    """

    standing: Standing
    crashes: tuple[CrashRecord, ...] = ()
    seconds_left: float = 0.0

    def describe(self) -> str:
        """Return the crashes and who saw them, in words."""
        seen = ", ".join(
            f"{crash.endpoint_id} (seen by {crash.observer})"
            for crash in self.crashes
        )
        return (
            f"{len(self.crashes)} endpoints crashed while running it: {seen}; "
            f"rejected for {self.seconds_left:.0f} s more"
        )


_CLEAR = Assessment(standing=Standing.CLEAR)


@dataclass(frozen=True, kw_only=True)
class _Known:
    record: CrashRecord
    serial: int
    crashed_at: float


class CrashLedger:
    """The crashes known to a VM; each change gets a new serial."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty ledger."""
        self.serial = 0
        # Called with the key of each record that was added or cleared.
        self.listeners: list[Callable[[RecordKey], None]] = []
        self._clock = clock
        # In the order of their serials.
        self._known_by_key: dict[RecordKey, _Known] = {}
        self._endpoints_by_fingerprint: dict[str, set[str]] = {}
        # The requests with enough crashes to be the rivals of others.
        self._rivals: set[str] = set()
        self._quarantined: frozenset[str] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Return whether no crash counts against any request."""
        return not self._endpoints_by_fingerprint

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints of the quarantined requests."""
        return self._quarantined

    def keys(self) -> Iterable[RecordKey]:
        """Return the keys of all records."""
        return self._known_by_key.keys()

    def add(self, fingerprint: str, endpoint_id: str, observer: str) -> bool:
        """Record a crash that this VM saw; return whether it is new."""
        return self.merge(
            CrashRecord(
                fingerprint=fingerprint,
                endpoint_id=endpoint_id,
                age=0.0,
                observer=observer,
            )
        )

    def clear(self, fingerprint: str) -> bool:
        """Clear a request; return whether any crash counted against it."""
        endpoint_ids = self._endpoints_by_fingerprint.get(fingerprint, set())
        counted = list(endpoint_ids)
        for endpoint_id in counted:
            self._clear_record((fingerprint, endpoint_id))
        return bool(counted)

    def clear_endpoint(self, endpoint_id: str) -> None:
        """Clear the crashes of an incarnation that is alive."""
        for fingerprint, endpoint_ids in list(
            self._endpoints_by_fingerprint.items()
        ):
            if endpoint_id in endpoint_ids:
                self._clear_record((fingerprint, endpoint_id))

    def merge(self, record: CrashRecord) -> bool:
        """Merge a record of another VM; return whether it changes this one."""
        known = self._known_by_key.get(record.key)
        if record.age >= RECORD_SECONDS:
            return False
        if known is not None and (
            known.record.is_cleared or not record.is_cleared
        ):
            return False
        self._put(record, self._clock.monotonic() - record.age)
        return True

    def assess(self, fingerprint: str) -> Assessment:
        """Return how a request is treated now."""
        if fingerprint not in self._endpoints_by_fingerprint:
            return _CLEAR
        endpoint_ids = self._unexplained(fingerprint)
        if not endpoint_ids:
            return _CLEAR
        if fingerprint in self._quarantined:
            standing = Standing.QUARANTINED
        elif len(endpoint_ids) < MAX_CRASHES:
            standing = Standing.SUSPECT
        else:
            standing = Standing.CONTESTED
        return Assessment(
            standing=standing,
            crashes=tuple(
                self._known_by_key[(fingerprint, endpoint_id)].record
                for endpoint_id in sorted(endpoint_ids)
            ),
            seconds_left=self._seconds_left(fingerprint, endpoint_ids),
        )

    def suspects(self) -> dict[str, Assessment]:
        """Return how each request is treated that is not clear."""
        assessments = {
            fingerprint: self.assess(fingerprint)
            for fingerprint in self._endpoints_by_fingerprint
        }
        return {
            fingerprint: assessment
            for fingerprint, assessment in assessments.items()
            if assessment.standing is not Standing.CLEAR
        }

    def records_after(
        self, serial: int, limit: int
    ) -> tuple[list[CrashRecord], int]:
        """Return the first records after a serial, and that of the last."""
        found: list[CrashRecord] = []
        last = serial
        if serial >= self.serial:
            return [], self.serial
        for known in self._known_by_key.values():
            if known.serial <= serial:
                continue
            if len(found) == limit:
                return found, last
            found.append(self._with_age(known))
            last = known.serial
        return found, self.serial

    def find(self, key: RecordKey) -> CrashRecord | None:
        """Return a record with its age, None if unknown."""
        known = self._known_by_key.get(key)
        return self._with_age(known) if known is not None else None

    def prune(self) -> None:
        """Remove records that have expired."""
        since = self._clock.monotonic() - RECORD_SECONDS
        expired = [
            key
            for key, known in self._known_by_key.items()
            if known.crashed_at <= since
        ]
        if expired:
            self._remove(expired)

    def _clear_record(self, key: RecordKey) -> None:
        record = self.find(key)
        if record is not None:
            self.merge(msgspec.structs.replace(record, is_cleared=True))

    def _put(self, record: CrashRecord, crashed_at: float) -> None:
        self.serial += 1
        # Inserted anew, which keeps the records in the order of serials.
        self._known_by_key.pop(record.key, None)
        self._known_by_key[record.key] = _Known(
            record=record, serial=self.serial, crashed_at=crashed_at
        )
        endpoint_ids = self._endpoints_by_fingerprint.setdefault(
            record.fingerprint, set()
        )
        if record.is_cleared:
            endpoint_ids.discard(record.endpoint_id)
        else:
            endpoint_ids.add(record.endpoint_id)
        self._update_rival(record.fingerprint)
        if len(self._known_by_key) > MAX_RECORDS:
            self._remove_oldest()
        for listener in self.listeners:
            listener(record.key)

    def _update_rival(self, fingerprint: str) -> None:
        """Take notice of a change of the crashes under a request."""
        count = len(self._endpoints_by_fingerprint[fingerprint])
        if not count:
            del self._endpoints_by_fingerprint[fingerprint]
        was_rival = fingerprint in self._rivals
        if count >= MIN_RIVAL_CRASHES:
            self._rivals.add(fingerprint)
        else:
            self._rivals.discard(fingerprint)
        if was_rival or count >= MIN_RIVAL_CRASHES:
            self._update_quarantined()

    def _remove_oldest(self) -> None:
        oldest_first = sorted(
            self._known_by_key,
            key=lambda key: (
                key[0] in self._quarantined,
                self._known_by_key[key].crashed_at,
            ),
        )
        self._remove(oldest_first[: int(MAX_RECORDS * REMOVED_FRACTION)])

    def _remove(self, keys: list[RecordKey]) -> None:
        for key in keys:
            del self._known_by_key[key]
            fingerprint, endpoint_id = key
            endpoint_ids = self._endpoints_by_fingerprint.get(fingerprint)
            if endpoint_ids is not None:
                endpoint_ids.discard(endpoint_id)
                self._update_rival(fingerprint)

    def _update_quarantined(self) -> None:
        """Decide anew which requests are quarantined."""
        former, self._quarantined = self._quarantined, self._find_quarantined()
        for fingerprint in self._quarantined - former:
            self._report_quarantined(fingerprint)

    def _find_quarantined(self) -> frozenset[str]:
        """Return the requests to reject.

        Those with most crashes come first: they explain the crashes of the
        requests that ran beside them.
        """
        if not any(
            len(self._endpoints_by_fingerprint[fingerprint]) >= MAX_CRASHES
            for fingerprint in self._rivals
        ):
            return frozenset()
        suspects = sorted(
            (
                (fingerprint, self._endpoints_by_fingerprint[fingerprint])
                for fingerprint in self._rivals
            ),
            key=lambda item: (-len(item[1]), item[0]),
        )
        quarantined: list[str] = []
        explained: set[str] = set()
        rivals_by_endpoint = _count_rivals(suspects, explained)
        for fingerprint, endpoint_ids in suspects:
            if len(endpoint_ids) < MAX_CRASHES:
                break
            left = endpoint_ids - explained
            if len(left) < MIN_UNEXPLAINED_CRASHES:
                continue
            # The request itself is counted as well.
            is_contested = all(
                rivals_by_endpoint[endpoint_id] > 1 for endpoint_id in left
            )
            if is_contested and len(left) < MAX_CONTESTED_CRASHES:
                continue
            quarantined.append(fingerprint)
            explained |= left
            rivals_by_endpoint = _count_rivals(suspects, explained)
        return frozenset(quarantined)

    def _report_quarantined(self, fingerprint: str) -> None:
        assessment = self.assess(fingerprint)
        log_decision(
            "request.quarantined",
            fingerprint=fingerprint,
            reason=assessment.describe(),
            crashes=len(assessment.crashes),
            seconds_left=round(assessment.seconds_left, 1),
        )

    def _unexplained(self, fingerprint: str) -> set[str]:
        """Return the crashes that no quarantined request explains."""
        own = self._endpoints_by_fingerprint[fingerprint]
        if fingerprint in self._quarantined:
            return own
        others = (
            self._endpoints_by_fingerprint[other]
            for other in self._quarantined
        )
        return own.difference(*others)

    def _seconds_left(self, fingerprint: str, endpoint_ids: set[str]) -> float:
        crashed_at = sorted(
            self._known_by_key[(fingerprint, endpoint_id)].crashed_at
            for endpoint_id in endpoint_ids
        )
        last_needed = crashed_at[max(0, len(crashed_at) - MAX_CRASHES)]
        return last_needed + RECORD_SECONDS - self._clock.monotonic()

    def _with_age(self, known: _Known) -> CrashRecord:
        age = self._clock.monotonic() - known.crashed_at
        return msgspec.structs.replace(known.record, age=age)


def _count_rivals(
    suspects: list[tuple[str, set[str]]], explained: set[str]
) -> collections.Counter[str]:
    """Return how many rivals ran on each endpoint when it crashed.

    :param suspects: requests and the endpoints that crashed under them
    :param explained: endpoints that quarantined requests crashed
    """
    rivals = (endpoint_ids - explained for _, endpoint_ids in suspects)
    return collections.Counter(
        endpoint_id
        for endpoint_ids in rivals
        if len(endpoint_ids) >= MIN_RIVAL_CRASHES
        for endpoint_id in endpoint_ids
    )
