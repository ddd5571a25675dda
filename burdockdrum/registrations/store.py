"""Persists a control VM's registrations and crash records across restarts.

After a power failure entries know every endpoint at once, not only those that
have checked in again. Restored registrations count as received at the start:
live endpoints soon check in with their current state, and the others time out
as usual.
"""

import msgspec

from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import CrashRecord
from burdockdrum.crashes import MAX_RECORDS
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import ServiceVersion
from burdockdrum.registrations.table import RegistrationTable

# Check-ins without a change cause no write.
WRITE_INTERVAL_SECONDS = 0.25
# An older file says little about which endpoints are alive. The wall clock may
# have been set meanwhile; then the file is ignored, or stale endpoints time
# out.
MAX_AGE_SECONDS = 60.0
_FILE_NAME = "registrations"
_TEMPORARY_FILE_NAME = "registrations.new"


class StoredRegistrations(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file; ``written_at`` is wall clock time."""

    written_at: float
    registrations: list[Registration]
    crashes: list[CrashRecord] = []
    versions: list[ServiceVersion] = []


class RegistrationStore:
    """Stores a control VM's registrations in a file."""

    def __init__(
        self,
        *,
        clock: Clock,
        disk: Disk,
        table: RegistrationTable,
        crashes: CrashLedger | None = None,
    ) -> None:
        """Create a store for a table that is still empty.

        :param crashes: the crashes that this VM knows; none by default
        """
        self._crashes = crashes or CrashLedger(clock=clock)
        self._written_crash_serial = 0
        self._clock = clock
        self._disk = disk
        self._table = table
        self._written_serial = 0

    async def run(self) -> None:
        """Restore the file, then write changes until cancelled."""
        await self._restore()
        while True:
            await self._clock.sleep(WRITE_INTERVAL_SECONDS)
            if (
                self._table.serial == self._written_serial
                and self._crashes.serial == self._written_crash_serial
            ):
                continue
            try:
                await self._write()
            except DiskError as error:
                # After a failed sync no later write can be trusted. Only the
                # next start is affected, so the VM keeps running.
                log_failure("registrations.not_stored", reason=str(error))
                return

    async def _restore(self) -> None:
        try:
            content = await self._disk.read(_FILE_NAME)
        except DiskError as error:
            log_failure("registrations.not_restored", reason=str(error))
            return
        if content is None:
            return
        try:
            stored = msgspec.msgpack.decode(content, type=StoredRegistrations)
        except msgspec.DecodeError as error:
            log_failure("registrations.not_restored", reason=str(error))
            return
        age = self._clock.wall() - stored.written_at
        if not 0 <= age <= MAX_AGE_SECONDS:
            log_decision("registrations.too_old", age=round(age, 1))
            return
        count = self._table.restore(
            _add_age(registration, age)
            for registration in stored.registrations
        )
        self._table.versions.restore(
            msgspec.structs.replace(known, age=known.age + age)
            for known in stored.versions
        )
        for record in stored.crashes:
            self._crashes.merge(
                msgspec.structs.replace(record, age=record.age + age)
            )
        log_decision(
            "registrations.restored",
            endpoints=count,
            crashes=len(stored.crashes),
            age=round(age, 3),
        )

    async def _write(self) -> None:
        serial = self._table.serial
        crashes, crash_serial = self._crashes.records_after(0, MAX_RECORDS)
        stored = StoredRegistrations(
            written_at=self._clock.wall(),
            registrations=self._table.ready_or_draining(),
            crashes=crashes,
            versions=self._table.versions.list_known(),
        )
        await self._disk.write(
            _TEMPORARY_FILE_NAME, msgspec.msgpack.encode(stored)
        )
        await self._disk.sync(_TEMPORARY_FILE_NAME)
        await self._disk.rename(_TEMPORARY_FILE_NAME, _FILE_NAME)
        await self._disk.sync_folder()
        self._written_serial = serial
        self._written_crash_serial = crash_serial


def _add_age(registration: Registration, seconds: float) -> Registration:
    """Return a registration whose limit is older by the time since."""
    if registration.rate_limit_age is None:
        return registration
    return msgspec.structs.replace(
        registration, rate_limit_age=registration.rate_limit_age + seconds
    )
