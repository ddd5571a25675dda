"""Numbers for the starts of a VM, in their order.

The time of day may be set back between two starts. A VM with a disk keeps the
last number there; without one, or after its loss, the time of day decides.

A start that can't store its number takes one of those that are left free
after each number that is stored, so that the next start is greater. It stores
what it couldn't as soon as the disk accepts it. Two starts in series that
store nothing while the clock is behind are told apart by the time of day, but
may be out of order.
"""

import asyncio

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.ports import replace_file

_FILE_NAME = "incarnation"
_TEMPORARY_FILE_NAME = "incarnation.new"
_MILLISECONDS = 1000
# Left free after each stored number. Starts a second apart don't run ahead of
# the time of day by this.
_FREE_NUMBERS = 1000
_RETRY_SECONDS = 0.5
# A process that starts serves nothing before it has its number.
DRAW_SECONDS = 1.0


class StartNumber:
    """The number of this start, greater than those of all earlier ones.

    ``run`` stores it, if that failed or takes long.
    """

    def __init__(self, *, clock: Clock, disk: Disk | None) -> None:
        """Create it with the time of day; ``draw`` reads the last number.

        :param disk: the data folder, on a control VM only
        """
        self._clock = clock
        self._disk = disk
        self._last: int | None = None
        self._is_stored = disk is None
        self._is_drawn = False
        self._attempt: asyncio.Task[None] | None = None
        self._refusal = f"no reply within {DRAW_SECONDS:g} s"
        self.number = int(clock.wall() * _MILLISECONDS)

    @classmethod
    async def draw(cls, *, clock: Clock, disk: Disk | None) -> "StartNumber":
        """Return the number of a start, stored if the disk accepts it."""
        start = cls(clock=clock, disk=disk)
        if disk is not None:
            # Not cancelled: an operation under way would end at any time.
            start._attempt = asyncio.create_task(start._try_to_store(disk))
            await asyncio.wait({start._attempt}, timeout=DRAW_SECONDS)
            start._decide()
        return start

    async def run(self) -> None:
        """Try again until the number is stored."""
        if self._attempt is not None and not self._attempt.done():
            await self._attempt
        while self._disk is not None and not self._is_stored:
            await self._clock.sleep(_RETRY_SECONDS)
            await self._try_to_store(self._disk)

    def _decide(self) -> None:
        """Decide on the number by what is known of the disk now."""
        self._is_drawn = True
        if self._last is None:
            log_failure(
                "incarnation.not_read",
                number=self.number,
                reason=self._refusal,
            )
            return
        time_of_day = self.number
        self.number = max(time_of_day, self._last + _FREE_NUMBERS + 1)
        if self._is_stored:
            return
        if self.number > time_of_day:
            self.number = self._last + 1 + time_of_day % _FREE_NUMBERS
        log_failure(
            "incarnation.not_stored", number=self.number, reason=self._refusal
        )

    async def _try_to_store(self, disk: Disk) -> None:
        try:
            if self._last is None:
                self._last = await _read_last(disk)
                self._log_if_too_low(self._last)
            await self._store(
                disk, max(self.number, self._last + _FREE_NUMBERS + 1)
            )
        except DiskError as error:
            # Logged with the decision.
            self._refusal = str(error)
        else:
            if self._is_drawn:
                log_decision("incarnation.stored", number=self.number)

    def _log_if_too_low(self, last: int) -> None:
        if self._is_drawn and self.number <= last:
            # Others take this start for a former one until they have heard
            # nothing of the VM for a while.
            log_failure("incarnation.too_low", number=self.number, last=last)

    async def _store(self, disk: Disk, number: int) -> None:
        await replace_file(
            disk,
            _FILE_NAME,
            b"%d" % number,
            temporary_name=_TEMPORARY_FILE_NAME,
        )
        self._is_stored = True


async def _read_last(disk: Disk) -> int:
    content = await disk.read(_FILE_NAME)
    if content is None:
        return 0
    try:
        return int(content)
    except ValueError:
        log_failure("incarnation.unreadable", reason=repr(content[:40]))
        return 0
