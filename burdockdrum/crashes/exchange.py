"""What each control VM doesn't know yet of an entry's crash records.

An entry sends a record until the control VM sends it back, so that lost
messages, restarts and partitions only delay it.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.crashes.ledger import CrashLedger
from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.records import RecordKey

MAX_RECORDS_A_MESSAGE = 200
# Most requests that ran beside a crashing one complete within this time when
# they are retried, and nobody else needs to know of them.
SHARE_DELAY_SECONDS = 0.5
# A request under which so many endpoints crashed is rarely innocent.
MIN_URGENT_CRASHES = 2


@dataclass(kw_only=True)
class _Source:
    """A control VM: its last serial and the records that it lacks."""

    serial: int = 0
    unknown: set[RecordKey] = field(default_factory=set)


class CrashExchange:
    """Tracks what the control VMs know of this entry's ledger."""

    def __init__(self, *, ledger: CrashLedger) -> None:
        """Create it for the ledger of an entry."""
        self._has_unknown = asyncio.Event()
        self._has_urgent = asyncio.Event()
        self._ledger = ledger
        self._sources_by_id: dict[str, _Source] = {}
        # Records that other VMs know or may know.
        self._shared: set[RecordKey] = set()
        # The control VM whose records are being merged.
        self._sender: str | None = None
        ledger.listeners.append(self._record_change)

    def begin_epoch(self, vm_id: str) -> None:
        """Start anew with a control VM that has lost its memory."""
        self._sources_by_id[vm_id] = _Source(unknown=set(self._ledger.keys()))

    def forget(self, vm_id: str) -> None:
        """Forget a VM that is no control VM any more."""
        self._sources_by_id.pop(vm_id, None)

    def serial_of(self, vm_id: str) -> int:
        """Return the serial up to which a control VM's records are known."""
        return self._find(vm_id).serial

    async def wait_until_due(self) -> None:
        """Wait for records that should be sent without waiting for a poll.

        Records of a first crash are due after ``SHARE_DELAY_SECONDS``.
        """
        await self._has_unknown.wait()
        self._has_unknown.clear()
        try:
            async with asyncio.timeout(SHARE_DELAY_SECONDS):
                await self._has_urgent.wait()
        except TimeoutError:
            return
        self._has_urgent.clear()
        # The other records are due later.
        self._has_unknown.set()

    def list_unknown(self, vm_id: str) -> list[CrashRecord]:
        """Return records that a control VM doesn't know, some at a time."""
        source = self._find(vm_id)
        records: list[CrashRecord] = []
        for key in list(source.unknown):
            record = self._ledger.find(key)
            if record is None or record.is_cleared and key not in self._shared:
                source.unknown.discard(key)
            elif record.age >= SHARE_DELAY_SECONDS or self._is_urgent(key):
                records.append(record)
                self._shared.add(key)
            if len(records) == MAX_RECORDS_A_MESSAGE:
                break
        return records

    def receive(
        self, vm_id: str, records: list[CrashRecord], base: int, serial: int
    ) -> None:
        """Merge the records of a control VM.

        :param base: the serial that the records follow
        :param serial: that of the last record
        """
        source = self._find(vm_id)
        self._sender = vm_id
        for record in records:
            self._shared.add(record.key)
            self._ledger.merge(record)
            known = self._ledger.find(record.key)
            if known is None or known.is_cleared == record.is_cleared:
                source.unknown.discard(record.key)
        self._sender = None
        if base <= source.serial <= serial:
            source.serial = serial

    def prune(self) -> None:
        """Forget records that the ledger has removed."""
        self._shared.intersection_update(self._ledger.keys())

    def _find(self, vm_id: str) -> _Source:
        if vm_id not in self._sources_by_id:
            self.begin_epoch(vm_id)
        return self._sources_by_id[vm_id]

    def _record_change(self, key: RecordKey) -> None:
        for vm_id, source in self._sources_by_id.items():
            if vm_id != self._sender:
                source.unknown.add(key)
        if self._sender is None:
            self._has_unknown.set()
            if self._is_urgent(key):
                self._has_urgent.set()

    def _is_urgent(self, key: RecordKey) -> bool:
        record = self._ledger.find(key)
        if record is not None and record.is_cleared and key in self._shared:
            # Others may reject the request, or delay it.
            return True
        fingerprint, _ = key
        assessment = self._ledger.assess(fingerprint)
        return len(assessment.crashes) >= MIN_URGENT_CRASHES
