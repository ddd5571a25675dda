"""How a keeper that remembers nothing becomes ready to vote."""

import asyncio

from burdockdrum.claims.keeper import Keeper
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import Epoch
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import EpochReply
from burdockdrum.claims.messages import NO_EPOCH
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import RecoverReply
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock

RETRY_SECONDS = 0.5
CHECK_SECONDS = 5.0
CALL_SECONDS = 1.0
# How long a keeper looks for others that remember before a new epoch makes
# the keys from before unusable.
PATIENCE_SECONDS = 30.0
# Behind every place, to ask for no claims.
_END = 1 << 60


def majority(group_size: int) -> int:
    """Return how many votes grant a claim."""
    return group_size // 2 + 1


def responders_needed(group_size: int) -> int:
    """Return how many others must remember for a keeper to recover.

    A claim has the votes of a majority; the one that forgot may be among
    them, so each set of the others as large as the rest of a majority has
    to meet those that answered.
    """
    return group_size - majority(group_size) + 1


class Recovery:
    """Bring a keeper back with what the others of its group remember."""

    def __init__(
        self,
        *,
        keeper: Keeper,
        peers: Peers,
        clock: Clock,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create a recovery that has not begun.

        :param addresses_by_id: control addresses of the whole group
        """
        self._keeper = keeper
        self._peers = peers
        self._clock = clock
        self._own = peers.identity.vm_id
        self._size = len(addresses_by_id)
        self._others = {
            vm_id: address
            for vm_id, address in addresses_by_id.items()
            if vm_id != self._own
        }

    async def run(self) -> None:
        """Recover, and again whenever the others have moved on.

        A keeper whose disk failed stays away: it could only disturb the
        others with new epochs.
        """
        while not self._keeper.broken:
            await self._recover()
            await self._clock.sleep(CHECK_SECONDS)
            found = await self._ask_all(after=_END)
            newest = max((one.epoch for one in found), default=NO_EPOCH)
            if newest > self._keeper.epoch:
                # They began an epoch without this keeper: its votes would
                # not count beside theirs.
                self._keeper.ready = False

    async def _recover(self) -> None:
        started_at = self._clock.monotonic()
        rounds = 0
        while not self._keeper.ready and not self._keeper.broken:
            found = await self._ask_all(after=0)
            if self._keeper.ready or await self._try_to_adopt(found):
                return
            waited = self._clock.monotonic() - started_at
            # Once may be the moment in which another one enters an epoch.
            rounds = rounds + 1 if len(found) == len(self._others) else 0
            patient = waited < PATIENCE_SECONDS
            if rounds >= 2 or not self._others or not patient:
                await self._form_epoch(found)
            if not self._keeper.ready:
                await self._clock.sleep(RETRY_SECONDS)

    async def _try_to_adopt(self, found: list["_Found"]) -> bool:
        newest = max((f.epoch for f in found), default=NO_EPOCH)
        ready = [f for f in found if f.ready and f.epoch == newest]
        if newest < self._keeper.epoch:
            return False
        if len(ready) < responders_needed(self._size):
            return False
        for one in ready:
            self._keeper.note_incarnations(one.incarnations)
        records = [record for one in ready for record in one.records]
        await self._keeper.adopt(
            newest,
            records,
            formed_at=max(one.formed_at for one in ready),
            new_clients=set.intersection(*(o.new_clients for o in ready)),
        )
        return True

    async def _form_epoch(self, found: list["_Found"]) -> None:
        """Begin an epoch with a majority, which ends the one before."""
        if 1 + len(found) < majority(self._size):
            return
        newest = max((f.epoch for f in found), default=NO_EPOCH)
        newest = max(newest, self._keeper.epoch)
        call = EpochCall(
            epoch=Epoch(newest.number + 1, self._own),
            formed_at=self._clock.wall(),
        )
        for one in found:
            for record in one.records:
                self._keeper.hold(record)
        accepted = await asyncio.gather(
            *(self._call_epoch(address, call) for address in self._addresses())
        )
        if 1 + sum(accepted) >= majority(self._size):
            await self._keeper.enter(call)

    async def _call_epoch(self, address: str, call: EpochCall) -> bool:
        try:
            reply = await self._peers.call(
                address, call, EpochReply, timeout=CALL_SECONDS
            )
        except CallFailed:
            return False
        return reply.accepted

    async def _ask_all(self, *, after: int) -> list["_Found"]:
        found = await asyncio.gather(
            *(self._ask(address, after) for address in self._addresses())
        )
        return [one for one in found if one is not None]

    async def _ask(self, address: str, start: int) -> "_Found | None":
        records: list[ClaimRecord] = []
        after: int | None = start
        reply: RecoverReply | None = None
        while after is not None:
            call = RecoverCall(
                vm_id=self._own,
                incarnation=self._peers.identity.incarnation,
                after=after,
            )
            try:
                page = await self._peers.call(
                    address, call, RecoverReply, timeout=CALL_SECONDS
                )
            except CallFailed:
                return None
            # One that itself restarted in between has other places.
            if reply is not None and page.incarnation != reply.incarnation:
                return None
            reply = page
            records += page.records
            after = page.last
        assert reply is not None
        return _Found(reply, records)

    def _addresses(self) -> list[str]:
        return list(self._others.values())


class _Found:
    """What one other keeper knows."""

    def __init__(self, last: RecoverReply, records: list[ClaimRecord]) -> None:
        self.ready = last.ready
        self.epoch = last.epoch
        self.formed_at = last.formed_at
        self.new_clients = set(last.new_clients)
        self.records = records
        self.incarnations = {
            **last.incarnations,
            last.vm_id: last.incarnation,
        }
