"""A claim replica, which votes for at most one owner of each key.

A claim is granted by a majority of the claim replicas of the client's home
region, so two owners can't both hold it, even across a network partition.
This also holds when replicas lose their memory:

- A replica with a disk syncs a vote before it sends it. While its disk refuses
  writes it does not vote; its memory stays as good as before.
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

import asyncio
from collections.abc import Iterator

import msgspec

from burdockdrum.claims.conflicts import ConflictingClaims
from burdockdrum.claims.entries import ClientCreated
from burdockdrum.claims.entries import Entry
from burdockdrum.claims.entries import EpochEntered
from burdockdrum.claims.entries import Put
from burdockdrum.claims.entries import Removed
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import NoLog
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
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
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
        # Whether the file was read back, if there is one.
        self.loaded = asyncio.Event()
        # Whether no claim of the epoch is missing in memory.
        self.is_complete = False
        self.incarnations: dict[str, int] = {}
        self._identity = identity
        self._clock = clock
        self._timeline = timeline
        self._replica_ids = replica_ids
        self._log = log if log is not None else NoLog()
        self._log.on_refused = self._record_refusal
        self._formed_at = 0.0
        self._new_clients: set[str] = set()
        # The position in the log from which on the epoch is durable.
        self._epoch_position = 0
        self._conflicts = ConflictingClaims()

    @property
    def ready(self) -> bool:
        """Return whether every claim of the epoch is known here, durably."""
        return self.is_complete and self._log.is_durable(self._epoch_position)

    @property
    def disk_refusal(self) -> str | None:
        """Return why the disk refuses writes, None if it accepts them."""
        return self._log.refusal

    @property
    def can_store(self) -> bool:
        """Return whether new votes and epochs can be stored now."""
        return self.loaded.is_set() and self.disk_refusal is None

    async def run(self) -> None:
        """Restore the state from the log, then write to it until cancelled.

        Whatever was read back is ready once it was written anew.
        """
        content = await self._log.load()
        self._restore(content.entries)
        if content.torn_bytes and content.is_readable:
            log_decision("claims.tail_cut", bytes=content.torn_bytes)
        if not content.is_readable:
            log_failure("claims.unreadable", bytes=content.torn_bytes)
            self.is_complete = False
        self._epoch_position = self._log.position
        self.loaded.set()
        await self._log.run(self._entries)

    def _restore(self, entries: list[Entry]) -> None:
        for entry in entries:
            match entry:
                case Put(record=record):
                    self.merge(record)
                case Removed(client_id=client_id, key=key):
                    self.table.remove((client_id, key))
                case EpochEntered():
                    self.epoch = entry.epoch
                    self._formed_at = entry.formed_at
                    self.is_complete = (
                        entry.is_complete and entry.epoch != NO_EPOCH
                    )
                    self._new_clients.clear()
                case ClientCreated(client_id=client_id):
                    self._new_clients.add(client_id)

    async def vote(self, call: VoteCall) -> VoteReply:
        """Vote for an owner unless the vote went to another one."""
        record = call.record
        known = self.table.get(record.claim_id)
        may_vote = self.ready and self.disk_refusal is None
        if not may_vote or call.keepers != self._replica_ids:
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

    async def settle(self, call: SettleCall) -> bool:
        """Record the end of a run, or remove a claim that is released.

        :returns: False if that may not be durable
        """
        if not self.loaded.is_set():
            return False
        known = self.table.get((call.client_id, call.key))
        if known is None:
            return True
        if known.owner != call.owner:
            conflict = self._conflicts.pop(known.claim_id, call.owner)
            if conflict is None or call.state is None:
                return True
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
        return await self._store(entry)

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

        That includes what is not durable yet: every vote that was sent is
        among it. The other one's incarnation is recorded first: votes that
        this replica sends from now on name it, so they can't count together
        with a vote that the other one sent before its restart.
        """
        known = self.incarnations.get(call.vm_id, 0)
        self.incarnations[call.vm_id] = max(known, call.incarnation)
        records, last = self.table.page(call.after, RECORDS_PER_PAGE)
        for record in list(records):
            records += self._conflicts.get(record.claim_id)
        return RecoverReply(
            vm_id=self._identity.vm_id,
            incarnation=self._identity.incarnation,
            ready=self.is_complete,
            waits_for_disk=not self.loaded.is_set(),
            epoch=self.epoch,
            incarnations=dict(self.incarnations),
            formed_at=self._formed_at,
            new_clients=sorted(self._new_clients),
            records=records,
            last=last,
        )

    def begin_recovery(self) -> None:
        """Stop voting, as others have entered a newer epoch."""
        self.is_complete = False

    def adopt_state(
        self,
        epoch: Epoch,
        records: list[ClaimRecord],
        *,
        formed_at: float,
        new_clients: set[str],
    ) -> None:
        """Take over the state of enough other replicas.

        This replica is ready once the state is durable.

        :param formed_at: wall time at which the epoch began
        :param new_clients: clients created in the epoch, known to all others
        """
        self._new_clients = set(new_clients)
        for record in records:
            if self.merge(record):
                self._log.add(Put(record=record))
        self._set_epoch(epoch, formed_at)
        for client_id in sorted(new_clients):
            self._epoch_position = self._log.add(
                ClientCreated(client_id=client_id)
            )
        self._timeline.record("claims.keeper_ready", epoch=epoch.number)

    def merge_incarnations(self, incarnations: dict[str, int]) -> None:
        """Keep the latest incarnation known of each replica."""
        for vm_id, incarnation in incarnations.items():
            known = self.incarnations.get(vm_id, 0)
            self.incarnations[vm_id] = max(known, incarnation)

    async def enter_epoch(self, call: EpochCall) -> EpochReply:
        """Enter an epoch if it is newer than the current one."""
        if call.epoch > self.epoch and self.can_store:
            self._new_clients.clear()
            self._set_epoch(call.epoch, call.formed_at)
            self._timeline.record(
                "claims.epoch_entered", epoch=call.epoch.number
            )
        is_durable = await self._wait_until_durable(self._epoch_position)
        return EpochReply(
            accepted=is_durable and call.epoch == self.epoch, epoch=self.epoch
        )

    def _set_epoch(self, epoch: Epoch, formed_at: float) -> None:
        self.epoch = epoch
        self._formed_at = formed_at
        self.is_complete = True
        self._epoch_position = self._log.add(
            EpochEntered(epoch=epoch, formed_at=formed_at)
        )

    def record_new_client(self, client_id: str) -> None:
        """Record that a client was created in this epoch.

        None of its keys can be from an earlier epoch.
        """
        if self.is_complete and client_id not in self._new_clients:
            self._new_clients.add(client_id)
            self._log.add(ClientCreated(client_id=client_id))

    def clean_up(self) -> None:
        """Remove expired claims and compact the log if it has grown."""
        oldest = self._clock.wall() - RETENTION_SECONDS
        for claim_id in self.table.expire(oldest):
            self._conflicts.clear(claim_id)
        self._log.compact_if_large()

    def _is_provably_new(self, record: ClaimRecord) -> bool:
        if self._clock.wall() - self._formed_at > RETENTION_SECONDS:
            return True
        if record.client_id in self._new_clients:
            return True
        return is_ticket_of(record.key, self.epoch)

    async def _grant(self, record: ClaimRecord) -> VoteReply:
        epoch = self.epoch
        if not await self._store(Put(record=record)):
            return self._reply(VoteOutcome.NOT_READY, None)
        # During the sync this replica may have entered another epoch, or the
        # claim may have been released.
        current = self.table.get(record.claim_id)
        if self.epoch != epoch or current is None:
            return self._reply(VoteOutcome.NOT_READY, None)
        if current.owner != record.owner:
            return self._reply(VoteOutcome.TAKEN, current)
        return self._reply(VoteOutcome.GRANTED, current)

    async def _store(self, entry: Entry) -> bool:
        """Add an entry to the log; return whether it is durable."""
        return await self._wait_until_durable(self._log.add(entry))

    async def _wait_until_durable(self, position: int) -> bool:
        try:
            await self._log.wait_until_durable(position)
        except DiskError:
            # The log reports when its disk begins to refuse.
            return False
        return True

    def _record_refusal(self, reason: str) -> None:
        self._timeline.record("claims.disk_refuses", reason=reason)

    def _entries(self) -> Iterator[Entry]:
        yield EpochEntered(
            epoch=self.epoch,
            formed_at=self._formed_at,
            is_complete=self.is_complete,
        )
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
