"""Recover a claim replica that lost its memory, until it may vote again."""

import asyncio
import secrets

from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import Epoch
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import EpochReply
from burdockdrum.claims.messages import NO_EPOCH
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import RecoverReply
from burdockdrum.claims.replica import ClaimReplica
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock

RETRY_INTERVAL_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 1.0
# How long a replica tries to recover from others before it begins a new
# epoch, in which keys of earlier ones are refused.
NEW_EPOCH_DELAY_SECONDS = 30.0
# Beyond every position, to query the state without any claims.
_AFTER_LAST = 1 << 60
_START_ID_BYTES = 8


def majority(group_size: int) -> int:
    """Return the number of votes that grants a claim."""
    return group_size // 2 + 1


def recovery_quorum(group_size: int) -> int:
    """Return how many ready replicas one needs to recover from.

    The replica that recovers may have been part of any majority. So the
    ready ones must include a member of the rest of each such majority.
    """
    return group_size - majority(group_size) + 1


class Recovery:
    """Recovers a replica with the claims known to the other replicas."""

    def __init__(
        self,
        *,
        replica: ClaimReplica,
        peers: Peers,
        clock: Clock,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create a recovery that has not begun.

        :param addresses_by_id: control addresses of all replicas
        """
        self._replica = replica
        self._peers = peers
        self._clock = clock
        # Unique, as the numbers of epochs begin again once all replicas forgot
        # them: a ticket of an earlier epoch must not be taken for a new one.
        self._epoch_id = (
            f"{peers.identity.vm_id}-{secrets.token_hex(_START_ID_BYTES)}"
        )
        self._own = peers.identity.vm_id
        self._size = len(addresses_by_id)
        self._others = {
            vm_id: address
            for vm_id, address in addresses_by_id.items()
            if vm_id != self._own
        }

    async def run(self) -> None:
        """Recover, and again whenever the others entered a newer epoch."""
        await self._replica.loaded.wait()
        while True:
            await self._recover()
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            found = await self._query_all(after=_AFTER_LAST)
            newest = max((one.epoch for one in found), default=NO_EPOCH)
            if newest > self._replica.epoch:
                # Votes from an older epoch don't count beside theirs.
                self._replica.begin_recovery()

    async def _recover(self) -> None:
        started_at = self._clock.monotonic()
        rounds = 0
        while not self._replica.is_complete:
            found = await self._query_all(after=0)
            if self._replica.is_complete or self._try_to_adopt(found):
                return
            elapsed = self._clock.monotonic() - started_at
            # A single round may hit the moment in which another replica
            # enters an epoch.
            can_all_reply = len(found) == len(self._others) and not any(
                one.waits_for_disk for one in found
            )
            rounds = rounds + 1 if can_all_reply else 0
            may_wait = elapsed < NEW_EPOCH_DELAY_SECONDS
            if rounds >= 2 or not self._others or not may_wait:
                await self._begin_epoch(found)
            if not self._replica.is_complete:
                await self._clock.sleep(RETRY_INTERVAL_SECONDS)

    def _try_to_adopt(self, found: list["_ReplicaState"]) -> bool:
        newest = max((f.epoch for f in found), default=NO_EPOCH)
        ready = [f for f in found if f.ready and f.epoch == newest]
        if newest < self._replica.epoch:
            return False
        if len(ready) < recovery_quorum(self._size):
            return False
        for one in ready:
            self._replica.merge_incarnations(one.incarnations)
        records = [record for one in ready for record in one.records]
        self._replica.adopt_state(
            newest,
            records,
            formed_at=max(one.formed_at for one in ready),
            new_clients=set.intersection(*(o.new_clients for o in ready)),
        )
        return True

    async def _begin_epoch(self, found: list["_ReplicaState"]) -> None:
        """Begin a new epoch if a majority accepts it.

        A replica that can't store it must not force the others into it.
        """
        can_begin = 1 + len(found) >= majority(self._size)
        if not can_begin or not self._replica.can_store:
            return
        newest = max((f.epoch for f in found), default=NO_EPOCH)
        newest = max(newest, self._replica.epoch)
        call = EpochCall(
            epoch=Epoch(newest.number + 1, self._epoch_id),
            formed_at=self._clock.wall(),
        )
        for one in found:
            for record in one.records:
                self._replica.merge(record)
        accepted = await asyncio.gather(
            *(
                self._propose_epoch(address, call)
                for address in self._addresses()
            )
        )
        if 1 + sum(accepted) >= majority(self._size):
            await self._replica.enter_epoch(call)

    async def _propose_epoch(self, address: str, call: EpochCall) -> bool:
        try:
            reply = await self._peers.call(
                address, call, EpochReply, timeout=CALL_TIMEOUT_SECONDS
            )
        except CallFailed:
            return False
        return reply.accepted

    async def _query_all(self, *, after: int) -> list["_ReplicaState"]:
        found = await asyncio.gather(
            *(self._query(address, after) for address in self._addresses())
        )
        return [one for one in found if one is not None]

    async def _query(self, address: str, start: int) -> "_ReplicaState | None":
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
                    address, call, RecoverReply, timeout=CALL_TIMEOUT_SECONDS
                )
            except CallFailed:
                return None
            # A replica that restarted between two pages has new positions.
            if reply is not None and page.incarnation != reply.incarnation:
                return None
            reply = page
            records += page.records
            after = page.last
        assert reply is not None
        return _ReplicaState(reply, records)

    def _addresses(self) -> list[str]:
        return list(self._others.values())


class _ReplicaState:
    """The state of another replica, as read by a recovery."""

    def __init__(self, last: RecoverReply, records: list[ClaimRecord]) -> None:
        self.ready = last.ready
        self.waits_for_disk = last.waits_for_disk
        self.epoch = last.epoch
        self.formed_at = last.formed_at
        self.new_clients = set(last.new_clients)
        self.records = records
        self.incarnations = {
            **last.incarnations,
            last.vm_id: last.incarnation,
        }
