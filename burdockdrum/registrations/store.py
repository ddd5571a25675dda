"""Keep what a control VM knows of endpoints through its restarts.

After a loss of all power entries know every endpoint at once, not only those
that have checked in again.

What was known last is read back at the start and counts as heard then: an
endpoint that lives checks in soon, and another one is passed over at the
first connection that fails and falls silent like any other. An endpoint that
has left since, or whose leaving was not written yet, says so again with its
next check-in.
"""

import msgspec

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.registrations.book import RegistrationBook
from burdockdrum.registrations.messages import Registration

# A change is on the disk after so long. Check-ins without news change
# nothing, so a calm control VM writes nothing.
WRITE_SECONDS = 0.25
# What is older says little of who lives. The time of day may have been set
# meanwhile; then it is taken for older, or the silent ones are found out.
MAX_AGE_SECONDS = 60.0
_NAME = "registrations"
_TEMPORARY = "registrations.new"


class StoredRegistrations(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file; ``written_at`` is the time of day."""

    written_at: float
    registrations: list[Registration]


class RegistrationStore:
    """The file of one control VM's registrations."""

    def __init__(
        self, *, clock: Clock, disk: Disk, book: RegistrationBook
    ) -> None:
        """Create it over a book that has heard nothing yet."""
        self._clock = clock
        self._disk = disk
        self._book = book
        self._written_serial = 0

    async def run(self) -> None:
        """Read the file back, then write each change until cancelled."""
        await self._restore()
        while True:
            await self._clock.sleep(WRITE_SECONDS)
            if self._book.serial == self._written_serial:
                continue
            try:
                await self._write()
            except DiskError as error:
                # After a failed sync nothing that is written may last. The
                # next start knows less; all else goes on.
                log_failure("registrations.not_stored", reason=str(error))
                return

    async def _restore(self) -> None:
        try:
            content = await self._disk.read(_NAME)
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
        number = self._book.restore(stored.registrations)
        log_decision(
            "registrations.restored", endpoints=number, age=round(age, 3)
        )

    async def _write(self) -> None:
        serial = self._book.serial
        stored = StoredRegistrations(
            written_at=self._clock.wall(),
            registrations=self._book.present(),
        )
        await self._disk.write(_TEMPORARY, msgspec.msgpack.encode(stored))
        await self._disk.sync(_TEMPORARY)
        await self._disk.rename(_TEMPORARY, _NAME)
        await self._disk.sync_folder()
        self._written_serial = serial
