"""Publishes the prefix caches of endpoints to the other entries.

Within a data centre every entry sends the changes of the endpoints that it
polls to all others. Between data centres one entry, the reporter, sends each
batch to one entry of every other data centre of its region and of every other
region; the receiver forwards it there. So the traffic between data centres
does not grow with the number of entries. Only shared parts are published.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import itertools
import random

import msgspec

from burdockdrum.holdings.messages import PrefixCacheChange
from burdockdrum.holdings.messages import PrefixCacheQuery
from burdockdrum.holdings.messages import PrefixCacheUpdate
from burdockdrum.holdings.shared_parts import SharedParts
from burdockdrum.holdings.table import PrefixCacheTable
from burdockdrum.logs import log_decision
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.vms import choose_by_hash

SEND_INTERVAL_SECONDS = 0.25
# Traffic between regions is expensive, and a fetch from another region rarely
# depends on the last second.
REGION_SEND_INTERVAL_SECONDS = 1.0
# Shorter parts are computed faster than fetched from another region, whose
# round trip alone takes 110 ms.
MIN_CROSS_REGION_TOKENS = 1000
# Snapshots are sent regularly to repair updates lost with a connection.
SNAPSHOT_INTERVAL_SECONDS = 15.0
# A starting entry queries so many other entries, one after the other; a reply
# takes a few milliseconds.
MAX_SYNC_ATTEMPTS = 3
SYNC_TIMEOUT_SECONDS = 0.2
# How long a starting entry waits until it knows of any other entry.
PEER_WAIT_SECONDS = 0.5
PEER_CHECK_INTERVAL_SECONDS = 0.05
# Without a report for so long, an endpoint is gone or partitioned, and nothing
# can be fetched from it.
MAX_AGE_SECONDS = 40.0


class PrefixCacheSharing:
    """Sends and receives changes of endpoints' prefix caches."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        table: PrefixCacheTable,
        shared: SharedParts,
        region_data_centres: frozenset[str],
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_polled: Callable[[], Collection[str]] = tuple,
    ) -> None:
        """Register the message handlers; sending starts with ``run``.

        :param region_data_centres: the data centres of this region
        :param read_entries: returns the other live entries of all regions
        :param read_polled: returns the ids of the endpoints polled here
        """
        # Set once another entry's table was loaded, or no entry answered.
        self.initial_sync_done = asyncio.Event()
        self.read_polled = read_polled
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._table = table
        self._shared = shared
        self._region_data_centres = region_data_centres
        self._read_entries = read_entries
        self._regions_sent_at = float("-inf")
        self._snapshot_at_by_id: dict[str, float] = {}
        # Changes to send, by scope.
        self._queued_for_data_centre = _Batch()
        self._queued_for_region = _Batch()
        self._queued_for_other_regions = _Batch()
        # From other regions, for the other data centres of this region.
        self._queued_for_forwarding = _Batch()
        self._data_centres_with_entries: frozenset[str] = frozenset(
            {self._own.data_centre}
        )
        table.listeners.append(self._queue_change)
        peers.register(PrefixCacheUpdate, self._receive_update)
        peers.register(PrefixCacheQuery, self._answer_query)

    def mark_shared(self, part_id: str) -> None:
        """Mark a part as shared and publish the endpoints that cache it."""
        if not self._shared.add(part_id):
            return
        for cache in list(self._table.holders(part_id)):
            cached = {part_id: cache.tokens_by_part[part_id]}
            snapshot = self._table.read_snapshot(cache.endpoint_id)
            if snapshot is not None:
                self._queue_change(
                    msgspec.structs.replace(
                        snapshot, tokens_by_part=cached, is_snapshot=False
                    )
                )

    async def run(self) -> None:
        """Load another entry's table, then send updates until cancelled."""
        await self._sync()
        self.initial_sync_done.set()
        while True:
            self._send_updates()
            await self._clock.sleep(SEND_INTERVAL_SECONDS)

    async def _sync(self) -> None:
        """Load the table of another entry of this region."""
        started_at = self._clock.monotonic()
        queried_ids: set[str] = set()
        while len(queried_ids) < MAX_SYNC_ATTEMPTS:
            groups = self._split_entries().by_data_centre.values()
            known = itertools.chain.from_iterable(groups)
            entry = next(
                (e for e in known if e.vm_id not in queried_ids), None
            )
            if entry is None:
                if self._clock.monotonic() - started_at > PEER_WAIT_SECONDS:
                    return
                await self._clock.sleep(PEER_CHECK_INTERVAL_SECONDS)
                continue
            queried_ids.add(entry.vm_id)
            if await self._query(entry):
                return

    async def _query(self, entry: VmIdentity) -> bool:
        try:
            update = await self._peers.call(
                entry.control_address,
                PrefixCacheQuery(),
                PrefixCacheUpdate,
                timeout=SYNC_TIMEOUT_SECONDS,
            )
        except CallFailed:
            # The entry is still starting or gone; the next one is queried.
            return False
        self._apply_all(update.changes)
        log_decision(
            "holdings.learned",
            about_vm=entry.vm_id,
            endpoints=len(update.changes),
        )
        return True

    def _send_updates(self) -> None:
        now = self._clock.monotonic()
        entries = self._split_entries()
        others = [
            n for n in entries.by_data_centre if n != self._own.data_centre
        ]
        self._data_centres_with_entries = frozenset(
            {self._own.data_centre, *others}
        )
        self._queue_snapshots(now)
        self._send_to_data_centre(entries)
        self._send_to_region(entries)
        if now - self._regions_sent_at >= REGION_SEND_INTERVAL_SECONDS:
            self._regions_sent_at = now
            self._send_to_other_regions(entries)
        self._table.forget_stale(now - MAX_AGE_SECONDS, self.read_polled())

    def _split_entries(self) -> "_Entries":
        entries = _Entries()
        for entry in self._read_entries():
            if entry.region == self._own.region:
                known = entries.by_data_centre
                known.setdefault(entry.data_centre, []).append(entry)
            else:
                entries.by_region.setdefault(entry.region, []).append(entry)
        return entries

    def _queue_snapshots(self, now: float) -> None:
        polled_ids = self.read_polled()
        for endpoint_id in polled_ids:
            snapshot_at = self._snapshot_at_by_id.setdefault(endpoint_id, now)
            if now - snapshot_at < SNAPSHOT_INTERVAL_SECONDS:
                continue
            self._snapshot_at_by_id[endpoint_id] = now
            snapshot = self._table.read_snapshot(endpoint_id)
            if snapshot is not None:
                self._queue_change(snapshot)
        for endpoint_id in self._snapshot_at_by_id.keys() - set(polled_ids):
            del self._snapshot_at_by_id[endpoint_id]

    def _send_to_data_centre(self, entries: "_Entries") -> None:
        changes = self._queued_for_data_centre.pop_all()
        if not changes:
            return
        update = PrefixCacheUpdate(changes=changes)
        for entry in entries.by_data_centre.get(self._own.data_centre, ()):
            self._peers.send(entry.control_address, update)

    def _send_to_region(self, entries: "_Entries") -> None:
        changes = self._queued_for_region.pop_all()
        if not self._is_reporter(entries):
            changes = []
        changes += self._queued_for_forwarding.pop_all()
        if not changes:
            return
        update = PrefixCacheUpdate(
            changes=changes, forward_to_data_centre=True
        )
        for data_centre, others in entries.by_data_centre.items():
            if data_centre != self._own.data_centre:
                self._send_to_one(others, update)

    def _send_to_other_regions(self, entries: "_Entries") -> None:
        changes = self._queued_for_other_regions.pop_all()
        if not changes or not self._is_reporter(entries):
            return
        update = PrefixCacheUpdate(
            changes=changes,
            forward_to_data_centre=True,
            forward_to_region=True,
        )
        for remote_entries in entries.by_region.values():
            self._send_to_one(remote_entries, update)

    def _send_to_one(
        self, entries: list[VmIdentity], update: PrefixCacheUpdate
    ) -> None:
        """Send an update to a random entry of several.

        Always choosing the same one would lose every update while it is
        frozen or gone and membership has not noticed yet.
        """
        entry = self._rng.choice(entries)
        self._peers.send(entry.control_address, update)

    def _is_reporter(self, entries: "_Entries") -> bool:
        """Return whether this entry publishes for its data centre."""
        local_entries = entries.by_data_centre.get(self._own.data_centre, ())
        ids = [self._own.vm_id, *(entry.vm_id for entry in local_entries)]
        return choose_by_hash(ids, self._own.data_centre, 1) == [
            self._own.vm_id
        ]

    def _queue_change(self, change: PrefixCacheChange) -> None:
        """Queue a change of the table for the scopes it is sent to."""
        shared_change = self._filter_shared(change)
        if change.endpoint_id in self.read_polled():
            self._queued_for_data_centre.add(shared_change)
        if self._is_published_here(change):
            self._queued_for_region.add(shared_change)
            self._queued_for_other_regions.add(
                _filter_cross_region(shared_change)
            )

    def _is_published_here(self, change: PrefixCacheChange) -> bool:
        """Return whether this data centre publishes a change to others.

        Endpoints in a data centre without live entries are polled and
        published from the other data centres of the region.
        """
        if change.data_centre == self._own.data_centre:
            return True
        is_in_region = change.data_centre in self._region_data_centres
        return (
            is_in_region
            and change.data_centre not in self._data_centres_with_entries
        )

    def _filter_shared(self, change: PrefixCacheChange) -> PrefixCacheChange:
        tokens_by_part = {
            part_id: tokens
            for part_id, tokens in change.tokens_by_part.items()
            if part_id in self._shared
        }
        return msgspec.structs.replace(change, tokens_by_part=tokens_by_part)

    async def _receive_update(
        self, sender: Sender, message: PrefixCacheUpdate
    ) -> Message | None:
        for change in self._apply_all(message.changes):
            if message.forward_to_data_centre:
                self._queued_for_data_centre.add(change)
            if message.forward_to_region:
                self._queued_for_forwarding.add(change)
        return None

    def _apply_all(
        self, changes: list[PrefixCacheChange]
    ) -> list[PrefixCacheChange]:
        """Apply changes; return those that were not outdated."""
        now = self._clock.monotonic()
        for change in changes:
            for part_id in change.tokens_by_part:
                self._shared.add(part_id)
        return [c for c in changes if self._table.apply(c, now)]

    async def _answer_query(
        self, sender: Sender, message: PrefixCacheQuery
    ) -> Message | None:
        known = map(self._table.read_snapshot, self._table.caches_by_id)
        return PrefixCacheUpdate(
            changes=[self._filter_shared(c) for c in known if c is not None]
        )


@dataclass(kw_only=True)
class _Entries:
    """The other entries, of this region and of other regions."""

    by_data_centre: dict[str, list[VmIdentity]] = field(default_factory=dict)
    by_region: dict[str, list[VmIdentity]] = field(default_factory=dict)


class _Batch:
    """The changes to send, merged into one for each endpoint."""

    def __init__(self) -> None:
        self._changes_by_id: dict[str, PrefixCacheChange] = {}

    def add(self, change: PrefixCacheChange) -> None:
        """Merge a change into the queued one of its endpoint."""
        has_content = (
            change.tokens_by_part
            or change.is_snapshot
            or change.is_unreachable
        )
        if not has_content:
            return
        queued = self._changes_by_id.get(change.endpoint_id)
        is_same_epoch = queued is not None and queued.epoch == change.epoch
        if queued is not None and is_same_epoch and not change.is_snapshot:
            change = msgspec.structs.replace(
                change,
                tokens_by_part={
                    **queued.tokens_by_part,
                    **change.tokens_by_part,
                },
                is_snapshot=queued.is_snapshot,
            )
        self._changes_by_id[change.endpoint_id] = change

    def pop_all(self) -> list[PrefixCacheChange]:
        """Return and remove the queued changes."""
        changes = list(self._changes_by_id.values())
        self._changes_by_id.clear()
        return changes


def _filter_cross_region(change: PrefixCacheChange) -> PrefixCacheChange:
    tokens_by_part = {
        part_id: tokens
        for part_id, tokens in change.tokens_by_part.items()
        if not tokens or tokens >= MIN_CROSS_REGION_TOKENS
    }
    return msgspec.structs.replace(change, tokens_by_part=tokens_by_part)
