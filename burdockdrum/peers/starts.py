"""Numbers for the starts of a VM, in their order.

The time of day may be set back between two starts. A VM with a disk keeps the
last number there; without one, or after its loss, the time of day decides.
"""

from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.ports import replace_file

_FILE_NAME = "incarnation"
_TEMPORARY_FILE_NAME = "incarnation.new"
_MILLISECONDS = 1000


async def number_start(*, clock: Clock, disk: Disk | None) -> int:
    """Return a number greater than those of all earlier starts.

    :param disk: the data folder, on a control VM only
    :returns: the time of day in milliseconds, or more
    """
    number = int(clock.wall() * _MILLISECONDS)
    if disk is None:
        return number
    try:
        number = max(number, await _read_last(disk) + 1)
        await _write(disk, number)
    except DiskError as error:
        # The next start may get a lower number, if the clock is set back.
        log_failure("incarnation.not_stored", reason=str(error))
    return number


async def _read_last(disk: Disk) -> int:
    content = await disk.read(_FILE_NAME)
    if content is None:
        return 0
    try:
        return int(content)
    except ValueError:
        log_failure("incarnation.unreadable", reason=repr(content[:40]))
        return 0


async def _write(disk: Disk, number: int) -> None:
    await replace_file(
        disk,
        _FILE_NAME,
        b"%d" % number,
        temporary_name=_TEMPORARY_FILE_NAME,
    )
