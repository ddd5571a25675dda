"""Crashes of endpoints by what they ran, and what follows.

Every request that ran on an endpoint when it crashed is a suspect, as an
endpoint runs many at once, and so is each part of their prompts that others
may share. A run that began to write after the crash clears both. A suspect
that has collected ``MAX_CRASHES`` is quarantined, unless a rival ran on the
same endpoint each time: then they are told apart by running them apart. A
rival is another suspect under which several endpoints crashed.

A part that many requests share runs on several endpoints at once, and all may
crash of one other cause. So its crashes within a short time count once.

Parts that ran together each time can't be told apart. Such a part is only
rejected together with another one of them, so that requests with one alone
can clear it, or show that it is the cause.

All VMs merge the same records, in any order, and reach the same verdicts.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

import msgspec

from burdockdrum.crashes.assessments import Assessment
from burdockdrum.crashes.assessments import CLEAR
from burdockdrum.crashes.assessments import Standing
from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.records import is_part
from burdockdrum.crashes.records import RecordKey
from burdockdrum.crashes.verdicts import find_quarantined
from burdockdrum.crashes.verdicts import MAX_CRASHES
from burdockdrum.crashes.verdicts import MIN_RIVAL_CRASHES
from burdockdrum.logs import log_decision
from burdockdrum.ports import Clock

# An endpoint that crashes under a request does so earlier after it began to
# write the response.
SOUND_SECONDS = 0.3
# Crashes of a part of prompts within this time count once.
PART_CRASH_INTERVAL_SECONDS = 0.25
# How long a crash counts; a quarantine ends when fewer than the maximum do.
RECORD_SECONDS = 600.0
# Beyond this number, the oldest records of requests that are not quarantined
# are removed, a part at a time.
MAX_RECORDS = 4096
REMOVED_FRACTION = 0.1


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
        # The suspects with enough crashes to be the rivals of others, with
        # the crashes that count against them.
        self._rivals: dict[str, int] = {}
        self._quarantined: frozenset[str] = frozenset()
        # Other parts that ran whenever an endpoint crashed under a
        # quarantined one, unless one crashed without them.
        self._rivals_by_quarantined: dict[str, frozenset[str]] = {}

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

    def add(
        self,
        fingerprint: str,
        endpoint_id: str,
        observer: str,
        age: float = 0.0,
    ) -> bool:
        """Record a crash that this VM saw; return whether it is new.

        :param age: how many seconds ago it was
        """
        return self.merge(
            CrashRecord(
                fingerprint=fingerprint,
                endpoint_id=endpoint_id,
                age=age,
                observer=observer,
            )
        )

    def clear(
        self, fingerprint: str, wrote_since: float = float("inf")
    ) -> bool:
        """Clear a suspect; return whether any crash counted against it.

        :param wrote_since: when the run that shows it to be sound began to
            write; later crashes go on counting
        """
        endpoint_ids = self._endpoints_by_fingerprint.get(fingerprint, set())
        counted = [
            endpoint_id
            for endpoint_id in endpoint_ids
            if self._known_by_key[(fingerprint, endpoint_id)].crashed_at
            < wrote_since
        ]
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
            return CLEAR
        endpoint_ids = self._unexplained(fingerprint)
        if not endpoint_ids:
            return CLEAR
        if fingerprint in self._quarantined:
            standing = Standing.QUARANTINED
        elif self._count(fingerprint, endpoint_ids) < MAX_CRASHES:
            standing = Standing.SUSPECT
        else:
            standing = Standing.CONTESTED
        return Assessment(
            standing=standing,
            fingerprint=fingerprint,
            crashes=tuple(
                self._known_by_key[(fingerprint, endpoint_id)].record
                for endpoint_id in sorted(endpoint_ids)
            ),
            seconds_left=self._seconds_left(fingerprint, endpoint_ids),
            since_latest=self._clock.monotonic()
            - max(
                self._known_by_key[(fingerprint, endpoint_id)].crashed_at
                for endpoint_id in endpoint_ids
            ),
        )

    def assess_all(self, fingerprints: Sequence[str]) -> Assessment:
        """Return how a request is treated by all that may be its cause.

        :param fingerprints: of the request and the parts of its prompt
        """
        worst = CLEAR
        for fingerprint in fingerprints:
            if fingerprint not in self._endpoints_by_fingerprint:
                continue
            assessment = self.assess(fingerprint)
            rivals = self._rivals_by_quarantined.get(fingerprint)
            if rivals and rivals.isdisjoint(fingerprints):
                assessment = replace(assessment, standing=Standing.SUSPECT)
            if assessment.standing.severity > worst.standing.severity:
                worst = assessment
        return worst

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
            self._rivals[fingerprint] = self._count(
                fingerprint, self._endpoints_by_fingerprint[fingerprint]
            )
        else:
            self._rivals.pop(fingerprint, None)
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
        former = self._quarantined
        self._rivals_by_quarantined = find_quarantined(
            self._rivals, self._endpoints_by_fingerprint, self._count
        )
        self._quarantined = frozenset(self._rivals_by_quarantined)
        for fingerprint in self._quarantined - former:
            self._report_quarantined(fingerprint)

    def _count(self, fingerprint: str, endpoint_ids: Collection[str]) -> int:
        """Return how many crashes count against a suspect.

        Those of a part of a prompt within a short time count once.
        """
        if not is_part(fingerprint):
            return len(endpoint_ids)
        count, counted_at = 0, float("-inf")
        for crashed_at in sorted(
            self._known_by_key[(fingerprint, endpoint_id)].crashed_at
            for endpoint_id in endpoint_ids
        ):
            if crashed_at - counted_at >= PART_CRASH_INTERVAL_SECONDS:
                count, counted_at = count + 1, crashed_at
        return count

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
