"""The write-ahead log of a claim replica.

An append-only file of entries. A single writer appends all that is queued and
syncs once. What the disk refuses stays queued, and nothing of it counts as
durable until it was written anew: after a failed sync the kernel may drop the
pages and report success next time.

The whole file is replaced at a start, since what is read back may be in the
page cache only; by a compaction; and if too much was queued.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

from burdockdrum.claims.entries import decode_entries
from burdockdrum.claims.entries import encode_entry
from burdockdrum.claims.entries import Entry
from burdockdrum.claims.entries import LogContent
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError

FILE = "claims-log"
NEW_FILE = "claims-log-new"
MIN_COMPACTION_BYTES = 4 * 1024 * 1024
# Beyond this the whole state is written instead of what is queued.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Until a write that the disk refused is repeated. The delay doubles if the
# whole file is written, which may take the room that other files need.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0
# Until the disk counts as refusing if an operation does not end.
STALL_SECONDS = 1.0


class ClaimLog:
    """The log file of one replica.

    Each entry has a position, which says whether it is durable.
    """

    def __init__(
        self,
        *,
        disk: Disk,
        clock: Clock,
        compact_bytes: int = MIN_COMPACTION_BYTES,
    ) -> None:
        """Create a log whose file has not been read yet.

        :param compact_bytes: the smallest file size that is compacted
        """
        self._disk = disk
        self._clock = clock
        # What is read back at the start has the first position.
        self._position = 1
        self._durable_position = 0
        # Entries up to here are only in the replica's state.
        self._state_position = 1
        self._queue: collections.deque[tuple[int, bytes]] = collections.deque()
        self._queued_bytes = 0
        self._queued = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._size = 0
        # Whether the file may have more than its synced size.
        self._is_tail_doubtful = False
        # Whether a power loss may undo the last replacement of the file.
        self._is_name_doubtful = False
        self._compact_bytes = compact_bytes
        self._compaction_size = compact_bytes
        self._is_compaction_requested = False
        self._is_compaction_refused = False
        self._retry_seconds = RETRY_SECONDS
        self._refused_at = 0.0
        # Why the disk refused the last operation; None while it accepts them.
        self.refusal: str | None = None
        # Called with the reason when the disk begins to refuse.
        self.on_refused: Callable[[str], None] = _ignore

    @property
    def position(self) -> int:
        """Return the position of the last entry."""
        return self._position

    @property
    def queued_bytes(self) -> int:
        """Return the size of the entries that wait to be written."""
        return self._queued_bytes

    def is_durable(self, position: int) -> bool:
        """Return whether the entries up to a position are durable."""
        return position <= self._durable_position

    async def load(self) -> LogContent:
        """Read the file, repeatedly if the disk refuses."""
        while True:
            try:
                with self._watch_for_stall():
                    content = await self._disk.read(FILE)
                break
            except DiskError as error:
                self._record_refusal(str(error))
                await self._clock.sleep(RETRY_SECONDS)
        self._queued.set()
        return decode_entries(content or b"")

    async def run(self, read_state: Callable[[], Iterable[Entry]]) -> None:
        """Write what is queued until cancelled.

        :param read_state: returns entries from which the whole state can be
            restored, including those that are queued
        """
        while True:
            await self._queued.wait()
            self._queued.clear()
            try:
                with self._watch_for_stall():
                    await self._write(read_state)
                self._record_success()
                if self._is_compaction_requested:
                    self._is_compaction_requested = False
                    with self._watch_for_stall():
                        await self._compact(read_state)
            except DiskError as error:
                self._record_refusal(str(error))
                await self._clock.sleep(self._retry_seconds)
                self._queued.set()
            else:
                self._record_success()

    def add(self, entry: Entry) -> int:
        """Queue an entry and return its position."""
        content = encode_entry(entry)
        self._position += 1
        self._queue.append((self._position, content))
        self._queued_bytes += len(content)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._queue.clear()
            self._queued_bytes = 0
            self._state_position = self._position
        self._queued.set()
        return self._position

    async def wait_until_durable(self, position: int) -> None:
        """Wait until the entries up to a position are durable.

        :raises DiskError: at once if the disk refuses writes, and after
            ``STALL_SECONDS`` if it does not reply
        """
        if self.is_durable(position):
            return
        if self.refusal is not None:
            raise DiskError(self.refusal)
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters.append((position, waiter))
        await waiter

    def compact_if_large(self) -> None:
        """Have the file replaced if it has outgrown its compaction size."""
        if self._size > self._compaction_size:
            self._is_compaction_requested = True
            self._queued.set()

    async def _write(self, read_state: Callable[[], Iterable[Entry]]) -> None:
        if self._is_replacement_needed():
            position, content = self._encode(read_state)
            await self._write_new_file(content)
            await self._replace_file(position, content)
        if self._queue:
            await self._append_queue()

    @contextlib.contextmanager
    def _watch_for_stall(self) -> Iterator[None]:
        """Treat an operation that takes too long as refused until its end."""
        watch = asyncio.get_running_loop().call_later(
            STALL_SECONDS,
            self._record_refusal,
            f"no reply within {STALL_SECONDS:g} s",
        )
        try:
            yield
        finally:
            watch.cancel()

    def _is_replacement_needed(self) -> bool:
        return self._is_name_doubtful or not self.is_durable(
            self._state_position
        )

    async def _append_queue(self) -> None:
        position = self._queue[-1][0]
        content = b"".join(content for _, content in self._queue)
        if self._is_tail_doubtful:
            await self._disk.truncate(FILE, self._size)
            await self._disk.sync(FILE)
        # Until the sync is done, also if it fails.
        self._is_tail_doubtful = True
        await self._disk.append(FILE, content)
        await self._disk.sync(FILE)
        self._is_tail_doubtful = False
        self._size += len(content)
        self._set_durable(position)

    async def _compact(
        self, read_state: Callable[[], Iterable[Entry]]
    ) -> None:
        position, content = self._encode(read_state)
        try:
            await self._write_new_file(content)
        except DiskError as error:
            # The file that is there remains valid.
            if not self._is_compaction_refused:
                log_failure("claims.not_compacted", reason=str(error))
            self._is_compaction_refused = True
            return
        await self._replace_file(position, content)
        self._is_compaction_refused = False

    def _encode(
        self, read_state: Callable[[], Iterable[Entry]]
    ) -> tuple[int, bytes]:
        content = b"".join(encode_entry(entry) for entry in read_state())
        return self._position, content

    async def _write_new_file(self, content: bytes) -> None:
        try:
            await self._disk.write(NEW_FILE, content)
            await self._disk.sync(NEW_FILE)
        except DiskError:
            # Leaves the room to other files.
            await self._disk.remove(NEW_FILE)
            raise

    async def _replace_file(self, position: int, content: bytes) -> None:
        # Not ``ports.replace_file``: a failure before the rename leaves a
        # valid file, one after it does not.
        self._is_name_doubtful = True
        await self._disk.rename(NEW_FILE, FILE)
        await self._disk.sync_folder()
        self._is_name_doubtful = False
        self._is_tail_doubtful = False
        self._size = len(content)
        self._compaction_size = max(self._compact_bytes, 2 * self._size)
        self._set_durable(position)

    def _set_durable(self, position: int) -> None:
        self._durable_position = position
        while self._queue and self._queue[0][0] <= position:
            self._queued_bytes -= len(self._queue.popleft()[1])
        waiters, self._waiters = self._waiters, []
        for waited, waiter in waiters:
            if waited > position:
                self._waiters.append((waited, waiter))
            elif not waiter.done():
                waiter.set_result(None)

    def _record_refusal(self, reason: str) -> None:
        is_first = self.refusal is None
        self.refusal = reason
        if is_first:
            self._refused_at = self._clock.monotonic()
            log_failure("claims.disk_refuses", reason=reason)
            self.on_refused(reason)
        if is_first or not self._is_replacement_needed():
            self._retry_seconds = RETRY_SECONDS
        else:
            self._retry_seconds = min(
                2 * self._retry_seconds, MAX_RETRY_SECONDS
            )
        waiters, self._waiters = self._waiters, []
        for _, waiter in waiters:
            if not waiter.done():
                waiter.set_exception(DiskError(reason))
                # Marks it as retrieved, as its task may have been cancelled.
                waiter.exception()

    def _record_success(self) -> None:
        if self.refusal is not None:
            self.refusal = None
            log_decision(
                "claims.disk_accepts",
                seconds=round(self._clock.monotonic() - self._refused_at, 3),
            )


class NoLog:
    """The log of a replica without a disk, whose memory is all it has."""

    refusal: str | None = None
    position = 0

    def __init__(self) -> None:
        """Create a log that stores nothing."""
        self.on_refused: Callable[[str], None] = _ignore

    def is_durable(self, position: int) -> bool:
        """Return True: nothing has to be durable."""
        return True

    async def load(self) -> LogContent:
        """Return an empty log."""
        return decode_entries(b"")

    async def run(self, read_state: Callable[[], Iterable[Entry]]) -> None:
        """Do nothing."""

    def add(self, entry: Entry) -> int:
        """Ignore an entry."""
        return self.position

    async def wait_until_durable(self, position: int) -> None:
        """Return at once."""

    def compact_if_large(self) -> None:
        """Do nothing."""


def _ignore(reason: str) -> None:
    """Ignore a refusal while no callback is set."""
