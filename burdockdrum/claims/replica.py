"""A claim replica, which votes for at most one owner of each key.

A claim is granted by a majority of the claim replicas of the client's home
region, so two owners can't both hold it, even across a network partition.
This also holds when replicas lose their memory:

- A replica with a disk syncs a vote before it sends it.
- A replica without a disk recovers after a restart from enough others to
  meet each majority that it was part of (Liskov and Cowling, "Viewstamped
  Replication Revisited", 2012, recovery). The others then name its new
  incarnation in their votes, so its votes from before the restart no longer
  count beside theirs. If they know several owners of a key, it stores all of
  them (see ``conflicts``).
- If too many replicas lost their memory, a new epoch begins. In it an unknown
  key gets a vote only if it is provably from this epoch: it is a ticket, or
  its client was created in this epoch.
"""

from collections.abc import Iterator

from loguru import logger
import msgspec

from burdockdrum.claims.conflicts import ConflictingClaims
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import ClientCreated
from burdockdrum.claims.log import Entry
from burdockdrum.claims.log import EpochEntered
from burdockdrum.claims.log import Put
from burdockdrum.claims.log import Removed
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import Epoch
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import EpochReply
from burdockdrum.claims.messages import NO_EPOCH
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import RecoverReply
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.claims.messages import VoteReply
from burdockdrum.claims.table import ClaimTable
from burdockdrum.claims.tickets import is_ticket_of
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import DiskError
from burdockdrum.timeline import Timeline

# How long a claim is stored, and so for how long a resend can't run again.
RETENTION_SECONDS = 24 * 3600.0
RECORDS_PER_PAGE = 500


class ClaimReplica:
    """Stores the claims that one VM knows and votes on new ones."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        clock: Clock,
        timeline: Timeline,
        replica_ids: list[str],
        log: ClaimLog | None,
    ) -> None:
        """Create an empty replica that does not vote yet.

        :param replica_ids: ids of the VMs with a replica, sorted
        :param log: where claims are synced, on a VM with a disk
        """
        self.table = ClaimTable()
        self.epoch = NO_EPOCH
        self.ready = False
        self.incarnations: dict[str, int] = {}
        self._identity = identity
        self._clock = clock
        self._timeline = timeline
        self._replica_ids = replica_ids
        self._log = log
        self._formed_at = 0.0
        self._new_clients: set[str] = set()
        self._conflicts = ConflictingClaims()

    @property
    def disk_failed(self) -> bool:
        """Return whether the disk failed; no votes then until a restart."""
        return self._log is not None and self._log.failed

    async def load(self) -> None:
        """Restore the state from the log; a ready replica is ready again."""
        if self._log is None:
            return
        try:
            entries = await self._log.load()
        except DiskError:
            self._log.failed = True
            self._stop_voting()
            return
        for entry in entries:
            match entry:
                case Put(record=record):
                    self.merge(record)
                case Removed(client_id=client_id, key=key):
                    self.table.remove((client_id, key))
                case EpochEntered(epoch=epoch, formed_at=formed_at):
                    self.epoch = epoch
                    self._formed_at = formed_at
                    self._new_clients.clear()
                case ClientCreated(client_id=client_id):
                    self._new_clients.add(client_id)
        self.ready = self.epoch != NO_EPOCH

    async def vote(self, call: VoteCall) -> VoteReply:
        """Vote for an owner unless the vote went to another one."""
        record = call.record
        known = self.table.get(record.claim_id)
        if not self.ready or call.keepers != self._replica_ids:
            return self._reply(VoteOutcome.NOT_READY, known)
        if known is not None:
            return await self._vote_on_known(record, known)
        if not self._is_provably_new(record):
            return self._reply(VoteOutcome.UNKNOWN, None)
        if self.table.is_full():
            return self._reply(VoteOutcome.FULL, None)
        # The retention is measured by this VM's clock: a wrong clock of the
        # entry VM must not make the claim expire early.
        now = self._clock.wall()
        record = msgspec.structs.replace(record, taken_at=now)
        self.table.put(record)
        return await self._grant(record)

    async def _vote_on_known(
        self, record: ClaimRecord, known: ClaimRecord
    ) -> VoteReply:
        if known.owner != record.owner:
            return self._reply(VoteOutcome.TAKEN, known)
        conflicts = self._conflicts.get(record.claim_id)
        if conflicts:
            # The vote that was lost may have been for any of them.
            return self._reply(VoteOutcome.TAKEN, conflicts[0])
        return await self._grant(known)

    def merge(self, record: ClaimRecord) -> bool:
        """Store a claim known to another replica, beside conflicting ones.

        :returns: whether anything changed
        """
        known = self.table.get(record.claim_id)
        if known == record:
            return False
        if known is None or known.owner == record.owner:
            self.table.put(record)
            return True
        if known.state is not ClaimState.GRANTED:
            # The known request may have run, so no other was granted.
            return False
        if record.state is ClaimState.GRANTED:
            return self._conflicts.add(record)
        self.table.put(record)
        self._conflicts.clear(record.claim_id)
        return True

    async def settle(self, call: SettleCall) -> None:
        """Record the end of a run, or remove a claim that is released."""
        known = self.table.get((call.client_id, call.key))
        if known is None:
            return
        if known.owner != call.owner:
            conflict = self._conflicts.pop(known.claim_id, call.owner)
            if conflict is None or call.state is None:
                return
            known = conflict
        if call.state is None:
            entry = self._release(known)
        else:
            self._conflicts.clear(known.claim_id)
            record = msgspec.structs.replace(
                known,
                state=call.state,
                status=call.status,
                content_type=call.content_type,
                headers=call.headers,
                body=call.body,
            )
            self.table.put(record)
            entry = Put(record=record)
        await self._append(entry)

    def _release(self, record: ClaimRecord) -> Entry:
        """Replace a released claim by a conflicting one, else remove it."""
        conflict = self._conflicts.pop_any(record.claim_id)
        if conflict is not None:
            self.table.put(conflict)
            return Put(record=conflict)
        self.table.remove(record.claim_id)
        return Removed(client_id=record.client_id, key=record.key)

    def handle_recovery(self, call: RecoverCall) -> RecoverReply:
        """Send a page of this replica's claims to a recovering replica.

        Its incarnation is recorded first: votes that this replica sends from
        now on name it, so they can't count together with a vote that the
        other one sent before its restart.
        """
        known = self.incarnations.get(call.vm_id, 0)
        self.incarnations[call.vm_id] = max(known, call.incarnation)
        records, last = self.table.page(call.after, RECORDS_PER_PAGE)
        for record in list(records):
            records += self._conflicts.get(record.claim_id)
        return RecoverReply(
            vm_id=self._identity.vm_id,
            incarnation=self._identity.incarnation,
            ready=self.ready,
            epoch=self.epoch,
            incarnations=dict(self.incarnations),
            formed_at=self._formed_at,
            new_clients=sorted(self._new_clients),
            records=records,
            last=last,
        )

    async def adopt_state(
        self,
        epoch: Epoch,
        records: list[ClaimRecord],
        *,
        formed_at: float,
        new_clients: set[str],
    ) -> None:
        """Take over the state of enough other replicas and become ready.

        :param formed_at: wall time at which the epoch began
        :param new_clients: clients created in the epoch, known to all others
        """
        self._new_clients = set(new_clients)
        for record in records:
            if self.merge(record):
                await self._append(Put(record=record))
        self.epoch = epoch
        self._formed_at = formed_at
        await self._append(EpochEntered(epoch=epoch, formed_at=formed_at))
        for client_id in sorted(new_clients):
            await self._append(ClientCreated(client_id=client_id))
        self.ready = not self.disk_failed
        self._timeline.record("claims.keeper_ready", epoch=epoch.number)

    def merge_incarnations(self, incarnations: dict[str, int]) -> None:
        """Keep the latest incarnation known of each replica."""
        for vm_id, incarnation in incarnations.items():
            known = self.incarnations.get(vm_id, 0)
            self.incarnations[vm_id] = max(known, incarnation)

    async def enter_epoch(self, call: EpochCall) -> EpochReply:
        """Enter an epoch if it is newer than the current one."""
        if call.epoch <= self.epoch:
            return EpochReply(
                accepted=call.epoch == self.epoch, epoch=self.epoch
            )
        self._new_clients.clear()
        self.epoch = call.epoch
        self._formed_at = call.formed_at
        self.ready = False
        await self._append(
            EpochEntered(epoch=call.epoch, formed_at=call.formed_at)
        )
        self.ready = not self.disk_failed
        self._timeline.record("claims.epoch_entered", epoch=call.epoch.number)
        return EpochReply(accepted=self.ready, epoch=self.epoch)

    async def record_new_client(self, client_id: str) -> None:
        """Record that a client was created in this epoch.

        None of its keys can be from an earlier epoch.
        """
        if self.ready and client_id not in self._new_clients:
            self._new_clients.add(client_id)
            await self._append(ClientCreated(client_id=client_id))

    async def clean_up(self) -> None:
        """Remove expired claims and compact the log if it has grown."""
        oldest = self._clock.wall() - RETENTION_SECONDS
        for claim_id in self.table.expire(oldest):
            self._conflicts.clear(claim_id)
        if self._log is None or not self._log.needs_compaction():
            return
        try:
            await self._log.compact(self._entries())
        except DiskError:
            self._stop_voting()

    def _is_provably_new(self, record: ClaimRecord) -> bool:
        if self._clock.wall() - self._formed_at > RETENTION_SECONDS:
            return True
        if record.client_id in self._new_clients:
            return True
        return is_ticket_of(record.key, self.epoch)

    async def _grant(self, record: ClaimRecord) -> VoteReply:
        epoch = self.epoch
        if not await self._append(Put(record=record)):
            return self._reply(VoteOutcome.NOT_READY, None)
        # During the sync this replica may have entered another epoch, or the
        # claim may have been released.
        current = self.table.get(record.claim_id)
        if self.epoch != epoch or current is None:
            return self._reply(VoteOutcome.NOT_READY, None)
        if current.owner != record.owner:
            return self._reply(VoteOutcome.TAKEN, current)
        return self._reply(VoteOutcome.GRANTED, current)

    async def _append(self, entry: Entry) -> bool:
        if self._log is None:
            return True
        try:
            await self._log.append(entry)
        except DiskError:
            self._stop_voting()
            return False
        return True

    def _stop_voting(self) -> None:
        # A vote that is not synced may be lost in a restart, and the request
        # could then run twice.
        logger.error(
            "disk failed: this claim replica does not vote until a restart"
        )
        self._timeline.record("claims.keeper_stepped_aside")
        self.ready = False

    def _entries(self) -> Iterator[Entry]:
        yield EpochEntered(epoch=self.epoch, formed_at=self._formed_at)
        for client_id in self._new_clients:
            yield ClientCreated(client_id=client_id)
        for record in self.table.records():
            yield Put(record=record)
            for conflict in self._conflicts.get(record.claim_id):
                yield Put(record=conflict)

    def _reply(
        self, outcome: VoteOutcome, record: ClaimRecord | None
    ) -> VoteReply:
        return VoteReply(
            outcome=outcome,
            vm_id=self._identity.vm_id,
            incarnation=self._identity.incarnation,
            epoch=self.epoch,
            incarnations=dict(self.incarnations),
            record=record,
        )
