"""Tell the other entries what endpoints hold.

In a data centre every entry tells all others of the endpoints that it listens
to. Of another data centre an entry knows a few others only, so one entry, the
reporter, tells one of each data centre beside, which passes it on there, and
one of each other region, which passes it on there and to the data centres
beside it. Only shared parts are told, in batches: some 20 bytes a part.

An entry knows a few of another data centre only, so what they are told is
passed on there. What crosses is one message a batch and data centre, whatever
the number of entries.
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

from burdockdrum.holdings.ledger import HoldingsLedger
from burdockdrum.holdings.messages import HeldChange
from burdockdrum.holdings.messages import HoldingsNotice
from burdockdrum.holdings.messages import HoldingsQuestion
from burdockdrum.holdings.shared_parts import SharedParts
from burdockdrum.logs import log_decision
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.vms import choose_by_hash

TELL_SECONDS = 0.25
# Other regions are told less often: a fetch from there saves as much if it is
# known of a moment later, and bytes between regions are dear.
TELL_REGIONS_SECONDS = 1.0
# Shorter parts are read in less time than it takes to fetch them from another
# region: 110 ms there and back for nothing else than the question.
MIN_FAR_TOKENS = 1000
# All that is known of an endpoint is told anew so often: it mends what a
# broken connection lost. A whole memory is some 60 parts.
WHOLE_SECONDS = 15.0
# So many neighbours a starting entry asks, one after the other, each for so
# long: an answer comes within a few milliseconds.
MAX_ASKED = 3
ASK_TIMEOUT_SECONDS = 0.2
# How long it waits to hear of a neighbour at all.
ALONE_SECONDS = 0.5
LOOK_SECONDS = 0.05
# What was not heard of for so long is of an endpoint that is gone, or behind
# a cut: it can't be fetched from.
KEEP_SECONDS = 40.0


class HoldingsSharing:
    """What this entry tells of endpoints, and hears of them."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        ledger: HoldingsLedger,
        shared: SharedParts,
        near_data_centres: frozenset[str],
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_listened: Callable[[], Collection[str]] = tuple,
    ) -> None:
        """Tell and hear from now on.

        :param near_data_centres: those of this region
        :param read_entries: returns the other live entries of all regions
        :param read_listened: returns the endpoints that this entry hears
        """
        # Set once a neighbour has told what it knows, or none is there.
        self.learned = asyncio.Event()
        self.read_listened = read_listened
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._ledger = ledger
        self._shared = shared
        self._near_data_centres = near_data_centres
        self._read_entries = read_entries
        self._told_regions_at = float("-inf")
        self._whole_at_by_id: dict[str, float] = {}
        # For this data centre, for those beside it, and for other regions.
        self._waiting_here = _Batch()
        self._waiting_near = _Batch()
        self._waiting_there = _Batch()
        # What came from another region, for the data centres beside.
        self._waiting_passed = _Batch()
        self._occupied: frozenset[str] = frozenset({self._own.data_centre})
        ledger.listeners.append(self._take_change)
        peers.register(HoldingsNotice, self._take_notice)
        peers.register(HoldingsQuestion, self._answer)

    def note_shared(self, part_id: str) -> None:
        """Take note that a part is one that prompts share."""
        if not self._shared.add(part_id):
            return
        for memory in list(self._ledger.holders(part_id)):
            held = {part_id: memory.tokens_by_part[part_id]}
            whole = self._ledger.read_whole(memory.endpoint_id)
            if whole is not None:
                self._take_change(
                    msgspec.structs.replace(
                        whole, tokens_by_part=held, whole=False
                    )
                )

    async def run(self) -> None:
        """Learn from a neighbour, then tell the others until cancelled."""
        await self._learn()
        self.learned.set()
        while True:
            self._tick()
            await self._clock.sleep(TELL_SECONDS)

    async def _learn(self) -> None:
        """Have a neighbour tell all that it knows, after a start."""
        began = self._clock.monotonic()
        asked: set[str] = set()
        while len(asked) < MAX_ASKED:
            here = self._split_entries().by_data_centre.values()
            known = itertools.chain.from_iterable(here)
            entry = next((e for e in known if e.vm_id not in asked), None)
            if entry is None:
                if self._clock.monotonic() - began > ALONE_SECONDS:
                    return
                await self._clock.sleep(LOOK_SECONDS)
                continue
            asked.add(entry.vm_id)
            if await self._ask(entry):
                return

    async def _ask(self, entry: VmIdentity) -> bool:
        try:
            notice = await self._peers.call(
                entry.control_address,
                HoldingsQuestion(),
                HoldingsNotice,
                timeout=ASK_TIMEOUT_SECONDS,
            )
        except CallFailed:
            # It has not started either, or is gone: the next one is asked.
            return False
        self._take_all(notice.changes)
        log_decision(
            "holdings.learned",
            about_vm=entry.vm_id,
            endpoints=len(notice.changes),
        )
        return True

    def _tick(self) -> None:
        now = self._clock.monotonic()
        entries = self._split_entries()
        near = [
            n for n in entries.by_data_centre if n != self._own.data_centre
        ]
        self._occupied = frozenset({self._own.data_centre, *near})
        self._renew_whole(now)
        self._tell_here(entries)
        self._tell_near(entries)
        if now - self._told_regions_at >= TELL_REGIONS_SECONDS:
            self._told_regions_at = now
            self._tell_regions(entries)
        self._ledger.forget_unheard(now - KEEP_SECONDS, self.read_listened())

    def _split_entries(self) -> "_Entries":
        entries = _Entries()
        for entry in self._read_entries():
            if entry.region == self._own.region:
                known = entries.by_data_centre
                known.setdefault(entry.data_centre, []).append(entry)
            else:
                entries.by_region.setdefault(entry.region, []).append(entry)
        return entries

    def _renew_whole(self, now: float) -> None:
        listened = self.read_listened()
        for endpoint_id in listened:
            at = self._whole_at_by_id.setdefault(endpoint_id, now)
            if now - at < WHOLE_SECONDS:
                continue
            self._whole_at_by_id[endpoint_id] = now
            whole = self._ledger.read_whole(endpoint_id)
            if whole is not None:
                self._take_change(whole)
        for endpoint_id in self._whole_at_by_id.keys() - set(listened):
            del self._whole_at_by_id[endpoint_id]

    def _tell_here(self, entries: "_Entries") -> None:
        changes = self._waiting_here.take()
        if not changes:
            return
        notice = HoldingsNotice(changes=changes)
        for entry in entries.by_data_centre.get(self._own.data_centre, ()):
            self._peers.send(entry.control_address, notice)

    def _tell_near(self, entries: "_Entries") -> None:
        changes = self._waiting_near.take()
        if not self._is_reporter(entries):
            changes = []
        changes += self._waiting_passed.take()
        if not changes:
            return
        notice = HoldingsNotice(changes=changes, passes_on=True)
        for data_centre, near in entries.by_data_centre.items():
            if data_centre != self._own.data_centre:
                self._tell_one(near, notice)

    def _tell_regions(self, entries: "_Entries") -> None:
        changes = self._waiting_there.take()
        if not changes or not self._is_reporter(entries):
            return
        notice = HoldingsNotice(
            changes=changes, passes_on=True, to_region=True
        )
        for there in entries.by_region.values():
            self._tell_one(there, notice)

    def _tell_one(
        self, entries: list[VmIdentity], notice: HoldingsNotice
    ) -> None:
        """Tell one of some entries, another one each time.

        One that is frozen or gone, and not known to be, swallows a part of
        what is told and not all of it until membership notices.
        """
        entry = self._rng.choice(entries)
        self._peers.send(entry.control_address, notice)

    def _is_reporter(self, entries: "_Entries") -> bool:
        """Say whether this entry tells others for its data centre."""
        here = entries.by_data_centre.get(self._own.data_centre, ())
        ids = [self._own.vm_id, *(entry.vm_id for entry in here)]
        return choose_by_hash(ids, self._own.data_centre, 1) == [
            self._own.vm_id
        ]

    def _take_change(self, change: HeldChange) -> None:
        """Have a change told, if it is for this entry to tell."""
        told = self._only_shared(change)
        if change.endpoint_id in self.read_listened():
            self._waiting_here.add(told)
        if self._is_told_from_here(change):
            self._waiting_near.add(told)
            self._waiting_there.add(_only_long(told))

    def _is_told_from_here(self, change: HeldChange) -> bool:
        """Say whether an endpoint is for this data centre to tell of.

        Where no entry is left beside an endpoint, those of the data centres
        near it listen and tell.
        """
        if change.data_centre == self._own.data_centre:
            return True
        is_near = change.data_centre in self._near_data_centres
        return is_near and change.data_centre not in self._occupied

    def _only_shared(self, change: HeldChange) -> HeldChange:
        tokens_by_part = {
            part_id: tokens
            for part_id, tokens in change.tokens_by_part.items()
            if part_id in self._shared
        }
        return msgspec.structs.replace(change, tokens_by_part=tokens_by_part)

    async def _take_notice(
        self, sender: Sender, message: HoldingsNotice
    ) -> Message | None:
        for change in self._take_all(message.changes):
            if message.passes_on:
                self._waiting_here.add(change)
            if message.to_region:
                self._waiting_passed.add(change)
        return None

    def _take_all(self, changes: list[HeldChange]) -> list[HeldChange]:
        """Take in changes; return those that were news."""
        now = self._clock.monotonic()
        for change in changes:
            for part_id in change.tokens_by_part:
                self._shared.add(part_id)
        return [c for c in changes if self._ledger.take(c, now)]

    async def _answer(
        self, sender: Sender, message: HoldingsQuestion
    ) -> Message | None:
        known = map(self._ledger.read_whole, self._ledger.memories_by_id)
        return HoldingsNotice(
            changes=[self._only_shared(c) for c in known if c is not None]
        )


@dataclass(kw_only=True)
class _Entries:
    """The other entries: those of this region, and of other regions."""

    by_data_centre: dict[str, list[VmIdentity]] = field(default_factory=dict)
    by_region: dict[str, list[VmIdentity]] = field(default_factory=dict)


class _Batch:
    """The changes that wait to be told, one an endpoint."""

    def __init__(self) -> None:
        self._changes_by_id: dict[str, HeldChange] = {}

    def add(self, change: HeldChange) -> None:
        """Add a change to what waits of its endpoint."""
        is_news = change.tokens_by_part or change.whole or change.is_silent
        if not is_news:
            return
        before = self._changes_by_id.get(change.endpoint_id)
        is_same = before is not None and before.epoch == change.epoch
        if before is not None and is_same and not change.whole:
            change = msgspec.structs.replace(
                change,
                tokens_by_part={
                    **before.tokens_by_part,
                    **change.tokens_by_part,
                },
                whole=before.whole,
            )
        self._changes_by_id[change.endpoint_id] = change

    def take(self) -> list[HeldChange]:
        """Return what waits; nothing waits any more."""
        changes = list(self._changes_by_id.values())
        self._changes_by_id.clear()
        return changes


def _only_long(change: HeldChange) -> HeldChange:
    tokens_by_part = {
        part_id: tokens
        for part_id, tokens in change.tokens_by_part.items()
        if not tokens or tokens >= MIN_FAR_TOKENS
    }
    return msgspec.structs.replace(change, tokens_by_part=tokens_by_part)
