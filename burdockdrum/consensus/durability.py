"""Waits for the disk on behalf of replies, for no longer than they matter.

What does not depend on the disk goes on while it refuses writes or stalls:
a leader keeps leading, and followers acknowledge its heartbeats, since a term
that is durable stays so. Entries and votes are acknowledged only once synced.
"""

import asyncio

from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.storage import Storage
from burdockdrum.logs import LoggedState
from burdockdrum.ports import Clock

# The unsynced entries that are kept in memory for a disk that is blocked, in
# multiples of the largest append.
_MAX_UNSYNCED_APPENDS = 4


class Durability:
    """Knows what of one member's log is durable, and if its disk is blocked.

    A disk is blocked if it refuses writes, or if it stalls: no sync has ended
    for an election timeout.
    """

    def __init__(
        self, *, storage: Storage, settings: LogSettings, clock: Clock
    ) -> None:
        """Create it for storage that was opened."""
        self._storage = storage
        self._settings = settings
        self._clock = clock
        self._stall = LoggedState(
            begun="log.disk_stalled",
            ended="log.disk_resumed",
            read_time=clock.monotonic,
        )
        self._synced_term = 0
        self._unsynced_since: float | None = None
        self._blocked_since: float | None = None
        self._await_next_sync()

    @property
    def blocked_because(self) -> str:
        """Return why the disk is blocked; empty if it is not."""
        if self._storage.refusal is not None:
            return f"the disk refuses writes: {self._storage.refusal}"
        return "the disk stalls" if self._stall.holds else ""

    @property
    def blocked_seconds(self) -> float:
        """Return for how long ``watch`` has found the disk blocked."""
        if self._blocked_since is None:
            return 0.0
        return self._clock.monotonic() - self._blocked_since

    @property
    def is_stalled(self) -> bool:
        """Return whether the disk stalls without an error."""
        return self._stall.holds

    @property
    def has_room(self) -> bool:
        """Return whether another entry may wait in memory for the disk."""
        if not self.blocked_because:
            return True
        storage = self._storage
        settings = self._settings
        first = max(0, storage.durable_index - storage.base_index)
        unsynced = storage.entries[first:]
        return (
            len(unsynced) < settings.max_uncommitted_entries
            and sum(len(entry.data) for entry in unsynced)
            < _MAX_UNSYNCED_APPENDS * settings.append_bytes
        )

    def is_term_synced(self, term: int) -> bool:
        """Return whether a term is known to be durable here."""
        return term <= self._synced_term

    async def sync(self, *, seconds: float) -> bool:
        """Wait until every change so far is durable.

        :param seconds: to wait at most
        :returns: False if the changes are not durable yet
        """
        if self.blocked_because:
            return False
        term = self._storage.term
        try:
            async with asyncio.timeout(seconds):
                await self._storage.sync()
        except TimeoutError:
            self.watch()
            return False
        self._synced_term = max(self._synced_term, term)
        return True

    def watch(self) -> None:
        """Detect a stall; called again and again by whoever notices first."""
        now = self._clock.monotonic()
        timeout = self._settings.election_timeout_seconds
        if not self._storage.has_unsynced:
            self._unsynced_since = None
        elif self._unsynced_since is None:
            self._unsynced_since = now
        elif now - self._unsynced_since > timeout:
            self._stall.report()
        if not self.blocked_because:
            self._blocked_since = None
        elif self._blocked_since is None:
            self._blocked_since = now

    def _await_next_sync(self) -> None:
        synced = self._storage.synced.subscribe()
        synced.add_done_callback(self._end_stall)

    def _end_stall(self, synced: asyncio.Future[None]) -> None:
        self._unsynced_since = None
        self._stall.end()
        if not synced.cancelled():
            self._await_next_sync()
