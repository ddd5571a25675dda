"""Persists a control VM's registrations and crash records across restarts.

After a power failure entries know every endpoint at once, not only those that
have checked in again. Restored registrations count as received at the start:
live endpoints soon check in with their current state, and the others time out
as usual.
"""

import asyncio
import contextlib

import msgspec

from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import CrashRecord
from burdockdrum.crashes import MAX_RECORDS
from burdockdrum.decoding import decode_msgpack
from burdockdrum.decoding import InvalidData
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.logs import OutageLog
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.ports import replace_file
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.software_versions import ServiceVersion
from burdockdrum.software_versions import VersionReport

# Check-ins without a change cause no write.
WRITE_INTERVAL_SECONDS = 0.25
# Until a read or a write that the disk refused is repeated.
RETRY_SECONDS = 0.5
# An older file says little about which endpoints are alive. The wall clock may
# have been set meanwhile; then the file is ignored, or stale endpoints time
# out.
MAX_AGE_SECONDS = 60.0
_FILE_NAME = "registrations"
_TEMPORARY_FILE_NAME = "registrations.new"


class StoredRegistrations(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file; ``written_at`` is wall clock time.

    ``versions`` are all known software versions, ``own_versions`` those of
    endpoints that checked in here, and ``version_reports`` those of other
    control VMs; ``are_versions_complete`` says that none was forgotten.
    """

    written_at: float
    registrations: list[Registration]
    crashes: list[CrashRecord] = []
    versions: list[ServiceVersion] = []
    own_versions: list[ServiceVersion] = []
    version_reports: list[VersionReport] = []
    are_versions_complete: bool = False


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
        # The size in bytes of what was last read or written.
        self.file_bytes = 0
        self._written_version_serial = 0
        # Set once the file was read, or found missing or damaged.
        self.restored = asyncio.Event()
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._reading = OutageLog(
            failed="registrations.not_read",
            recovered="registrations.read",
            read_time=clock.monotonic,
        )
        self._writing = OutageLog(
            failed="registrations.not_stored",
            recovered="registrations.stored",
            read_time=clock.monotonic,
        )

    async def run(self) -> None:
        """Restore the file, then write changes until cancelled.

        Nothing is written before the file was read, as a write replaces it.
        """
        content = await self._read()
        if content is not None:
            self._restore(content)
        self.restored.set()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_INTERVAL_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            waiters = self._take_waiters()
            if not self._has_changed():
                _resolve(waiters)
                continue
            try:
                await self._write()
            except DiskError as error:
                # The next attempt writes all of it to a new file.
                self._writing.fail(str(error))
                _resolve(waiters, failure=str(error))
                await self._clock.sleep(RETRY_SECONDS)
                continue
            self._writing.succeed()
            _resolve(waiters)

    async def flush(self) -> None:
        """Wait until all that is known now is durable.

        :raises DiskError: if it can't be written, or what was stored before
            can't be read
        """
        if self._reading.reason is not None:
            raise DiskError(self._reading.reason)
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters.append(waiter)
        self._wake.set()
        await waiter

    def _has_changed(self) -> bool:
        return (
            self._table.serial != self._written_serial
            or self._table.versions.stored_serial
            != self._written_version_serial
            or self._crashes.serial != self._written_crash_serial
        )

    def _take_waiters(self) -> list[asyncio.Future[None]]:
        waiters, self._waiters = self._waiters, []
        return waiters

    async def _read(self) -> bytes | None:
        """Read the file, however long the disk refuses it."""
        while True:
            try:
                content = await self._disk.read(_FILE_NAME)
            except DiskError as error:
                self._reading.fail(str(error))
                _resolve(self._take_waiters(), failure=str(error))
                await self._clock.sleep(RETRY_SECONDS)
                continue
            self._reading.succeed()
            return content

    def _restore(self, content: bytes) -> None:
        self.file_bytes = len(content)
        try:
            stored = decode_msgpack(content, StoredRegistrations)
        except InvalidData as error:
            log_failure("registrations.not_restored", reason=str(error))
            return
        age = self._clock.wall() - stored.written_at
        is_recent = 0 <= age <= MAX_AGE_SECONDS
        self._restore_versions(stored, age if is_recent else 0.0)
        if not is_recent:
            log_decision("registrations.too_old", age=round(age, 1))
            return
        count = self._table.restore(
            _add_age(registration, age)
            for registration in stored.registrations
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

    def _restore_versions(
        self, stored: StoredRegistrations, seconds: float
    ) -> None:
        """Restore the versions; to know one for too long does no harm."""

        def add_age(versions: list[ServiceVersion]) -> list[ServiceVersion]:
            return [
                msgspec.structs.replace(known, age=known.age + seconds)
                for known in versions
            ]

        versions = self._table.versions
        versions.restore(
            add_age(stored.versions),
            add_age(stored.own_versions),
            stored.version_reports,
        )
        if stored.are_versions_complete:
            versions.complete()

    async def _write(self) -> None:
        serial = self._table.serial
        versions = self._table.versions
        version_serial = versions.stored_serial
        crashes, crash_serial = self._crashes.records_after(0, MAX_RECORDS)
        stored = StoredRegistrations(
            written_at=self._clock.wall(),
            registrations=self._table.ready_or_draining(),
            crashes=crashes,
            versions=versions.list_known(),
            own_versions=versions.list_own(),
            version_reports=versions.list_reports(),
            are_versions_complete=versions.is_complete,
        )
        content = msgspec.msgpack.encode(stored)
        await replace_file(
            self._disk,
            _FILE_NAME,
            content,
            temporary_name=_TEMPORARY_FILE_NAME,
        )
        self.file_bytes = len(content)
        self._written_serial = serial
        self._written_version_serial = version_serial
        self._written_crash_serial = crash_serial


def _add_age(registration: Registration, seconds: float) -> Registration:
    """Return a registration whose limit is older by the time since."""
    if registration.rate_limit_age is None:
        return registration
    return msgspec.structs.replace(
        registration, rate_limit_age=registration.rate_limit_age + seconds
    )


def _resolve(
    waiters: list[asyncio.Future[None]], *, failure: str | None = None
) -> None:
    for waiter in waiters:
        if waiter.done():
            continue
        if failure is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(DiskError(failure))
            # Marks it as retrieved, as its task may have been cancelled.
            waiter.exception()
