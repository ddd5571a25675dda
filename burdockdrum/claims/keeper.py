"""A keeper of claims: it votes for at most one owner of each key.

A claim is granted by the votes of a majority of the keepers of the client's
home region, so no two owners can hold it, on whichever sides of a cut they
ask. What makes this hold when keepers forget:

- A keeper with a disk syncs its vote before it gives it.
- One without, after a restart, first learns the claims of enough others
  that each majority it was part of is among them (Liskov and Cowling,
  "Viewstamped Replication Revisited", 2012, recovery). They then name its
  new start in their votes, so that a vote from before its restart no longer
  counts beside theirs. Where they know several owners of a key, it holds all
  of these (see ``rivals``).
- Where too many have forgotten, a new epoch begins, in which an unknown key
  gets a vote only if it is provably from this epoch: it is a ticket, or its
  client was created since.
"""

from collections.abc import Iterator

from loguru import logger
import msgspec

from burdockdrum.claims.book import ClaimBook
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import ClientSeen
from burdockdrum.claims.log import Entered
from burdockdrum.claims.log import Entry
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
from burdockdrum.claims.rivals import Rivals
from burdockdrum.claims.tickets import is_ticket_of
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import DiskError
from burdockdrum.timeline import Timeline

# How long a key is remembered, and so how long a resend can't run again.
RETENTION_SECONDS = 24 * 3600.0
PAGE_RECORDS = 500


class Keeper:
    """The claims that one VM keeps, and its votes."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        clock: Clock,
        timeline: Timeline,
        keepers: list[str],
        log: ClaimLog | None,
    ) -> None:
        """Create a keeper that remembers nothing and does not vote.

        :param keepers: ids of the VMs of the group, sorted
        :param log: where claims are synced, on a VM with a disk
        """
        self.book = ClaimBook()
        self.epoch = NO_EPOCH
        self.ready = False
        self.incarnations: dict[str, int] = {}
        self._identity = identity
        self._clock = clock
        self._timeline = timeline
        self._keepers = keepers
        self._log = log
        self._formed_at = 0.0
        self._new_clients: set[str] = set()
        self._rivals = Rivals()

    @property
    def broken(self) -> bool:
        """Say whether the disk has failed: it won't vote until a restart."""
        return self._log is not None and self._log.broken

    async def load(self) -> None:
        """Take up what the disk kept; a keeper that was ready is again."""
        if self._log is None:
            return
        try:
            entries = await self._log.load()
        except DiskError:
            self._log.broken = True
            self._step_aside()
            return
        for entry in entries:
            match entry:
                case Put(record=record):
                    self.hold(record)
                case Removed(client_id=client_id, key=key):
                    self.book.remove((client_id, key))
                case Entered(epoch=epoch, formed_at=formed_at):
                    self.epoch = epoch
                    self._formed_at = formed_at
                    self._new_clients.clear()
                case ClientSeen(client_id=client_id):
                    self._new_clients.add(client_id)
        self.ready = self.epoch != NO_EPOCH

    async def vote(self, call: VoteCall) -> VoteReply:
        """Vote for an owner, unless another has the vote."""
        record = call.record
        known = self.book.get(record.claim_id)
        if not self.ready or call.keepers != self._keepers:
            return self._reply(VoteOutcome.NOT_READY, known)
        if known is not None:
            return await self._vote_again(record, known)
        if not self._is_provably_new(record):
            return self._reply(VoteOutcome.UNKNOWN, None)
        if self.book.is_full():
            return self._reply(VoteOutcome.FULL, None)
        # The retention is counted on the keeper's clock, not the caller's
        # entry VM's: a wrong one there must not make it forget early.
        now = self._clock.wall()
        record = msgspec.structs.replace(record, taken_at=now)
        self.book.put(record)
        return await self._give(record)

    async def _vote_again(
        self, record: ClaimRecord, known: ClaimRecord
    ) -> VoteReply:
        if known.owner != record.owner:
            return self._reply(VoteOutcome.TAKEN, known)
        rivals = self._rivals.of(record.claim_id)
        if rivals:
            # Any of them may have had the vote that was forgotten.
            return self._reply(VoteOutcome.TAKEN, rivals[0])
        return await self._give(known)

    def hold(self, record: ClaimRecord) -> bool:
        """Hold a claim that others know of, beside any that is held.

        :returns: whether it was news
        """
        known = self.book.get(record.claim_id)
        if known == record:
            return False
        if known is None or known.owner == record.owner:
            self.book.put(record)
            return True
        if known.state is not ClaimState.GRANTED:
            # It has had effects, so no other one was granted.
            return False
        if record.state is ClaimState.GRANTED:
            return self._rivals.add(record)
        self.book.put(record)
        self._rivals.clear(record.claim_id)
        return True

    async def settle(self, call: SettleCall) -> None:
        """Note how a run ended, or forget a claim that was given back."""
        known = self.book.get((call.client_id, call.key))
        if known is None:
            return
        if known.owner != call.owner:
            rival = self._rivals.take(known.claim_id, call.owner)
            if rival is None or call.state is None:
                return
            known = rival
        if call.state is None:
            entry = self._forget(known)
        else:
            self._rivals.clear(known.claim_id)
            record = msgspec.structs.replace(
                known,
                state=call.state,
                status=call.status,
                content_type=call.content_type,
                headers=call.headers,
                body=call.body,
            )
            self.book.put(record)
            entry = Put(record=record)
        await self._write(entry)

    def _forget(self, record: ClaimRecord) -> Entry:
        """Forget a claim that was given back; a rival takes its place."""
        rival = self._rivals.take_any(record.claim_id)
        if rival is not None:
            self.book.put(rival)
            return Put(record=rival)
        self.book.remove(record.claim_id)
        return Removed(client_id=record.client_id, key=record.key)

    def answer_recovery(self, call: RecoverCall) -> RecoverReply:
        """Tell a keeper that forgot what this one knows.

        Its start is noted first: a vote given after this names it, and so
        can't count beside one that it gave before it forgot.
        """
        known = self.incarnations.get(call.vm_id, 0)
        self.incarnations[call.vm_id] = max(known, call.incarnation)
        records, last = self.book.page(call.after, PAGE_RECORDS)
        for record in list(records):
            records += self._rivals.of(record.claim_id)
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

    async def adopt(
        self,
        epoch: Epoch,
        records: list[ClaimRecord],
        *,
        formed_at: float,
        new_clients: set[str],
    ) -> None:
        """Become ready with what enough others knew.

        :param formed_at: wall time at which the epoch began
        :param new_clients: created in the epoch, as all of the others know
        """
        self._new_clients = set(new_clients)
        for record in records:
            if self.hold(record):
                await self._write(Put(record=record))
        self.epoch = epoch
        self._formed_at = formed_at
        await self._write(Entered(epoch=epoch, formed_at=formed_at))
        for client_id in sorted(new_clients):
            await self._write(ClientSeen(client_id=client_id))
        self.ready = not self.broken
        self._timeline.record("claims.keeper_ready", epoch=epoch.number)

    def note_incarnations(self, incarnations: dict[str, int]) -> None:
        """Take in which starts of the others are known."""
        for vm_id, incarnation in incarnations.items():
            known = self.incarnations.get(vm_id, 0)
            self.incarnations[vm_id] = max(known, incarnation)

    async def enter(self, call: EpochCall) -> EpochReply:
        """Enter an epoch that is newer than this keeper's."""
        if call.epoch <= self.epoch:
            return EpochReply(
                accepted=call.epoch == self.epoch, epoch=self.epoch
            )
        self._new_clients.clear()
        self.epoch = call.epoch
        self._formed_at = call.formed_at
        self.ready = False
        await self._write(Entered(epoch=call.epoch, formed_at=call.formed_at))
        self.ready = not self.broken
        self._timeline.record("claims.epoch_entered", epoch=call.epoch.number)
        return EpochReply(accepted=self.ready, epoch=self.epoch)

    async def note_new_client(self, client_id: str) -> None:
        """Note that a client was created in this epoch.

        None of its keys can be from before.
        """
        if self.ready and client_id not in self._new_clients:
            self._new_clients.add(client_id)
            await self._write(ClientSeen(client_id=client_id))

    async def tidy(self) -> None:
        """Forget what is over the retention, and keep the file short."""
        oldest = self._clock.wall() - RETENTION_SECONDS
        for claim_id in self.book.expire(oldest):
            self._rivals.clear(claim_id)
        if self._log is None or not self._log.needs_compaction():
            return
        try:
            await self._log.compact(self._entries())
        except DiskError:
            self._step_aside()

    def _is_provably_new(self, record: ClaimRecord) -> bool:
        if self._clock.wall() - self._formed_at > RETENTION_SECONDS:
            return True
        if record.client_id in self._new_clients:
            return True
        return is_ticket_of(record.key, self.epoch)

    async def _give(self, record: ClaimRecord) -> VoteReply:
        epoch = self.epoch
        if not await self._write(Put(record=record)):
            return self._reply(VoteOutcome.NOT_READY, None)
        # While it was synced, this keeper may have entered another epoch or
        # given the claim back.
        current = self.book.get(record.claim_id)
        if self.epoch != epoch or current is None:
            return self._reply(VoteOutcome.NOT_READY, None)
        if current.owner != record.owner:
            return self._reply(VoteOutcome.TAKEN, current)
        return self._reply(VoteOutcome.GRANTED, current)

    async def _write(self, entry: Entry) -> bool:
        if self._log is None:
            return True
        try:
            await self._log.append(entry)
        except DiskError:
            self._step_aside()
            return False
        return True

    def _step_aside(self) -> None:
        # What was not synced may be gone after a restart: a vote on it
        # would be forgotten, and the request could run twice.
        logger.error("the disk failed: this VM keeps no claims any more")
        self._timeline.record("claims.keeper_stepped_aside")
        self.ready = False

    def _entries(self) -> Iterator[Entry]:
        yield Entered(epoch=self.epoch, formed_at=self._formed_at)
        for client_id in self._new_clients:
            yield ClientSeen(client_id=client_id)
        for record in self.book.records():
            yield Put(record=record)
            for rival in self._rivals.of(record.claim_id):
                yield Put(record=rival)

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
