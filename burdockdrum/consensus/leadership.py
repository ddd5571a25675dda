"""Leader duties: replication, commits, reads and membership changes."""

import asyncio
import math

from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import NotCurrent
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.lease import Lease
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import LeadReply
from burdockdrum.consensus.messages import LeadRequest
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import EntryKind
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.replication import Replicator
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.signals import wait_for_any
from burdockdrum.consensus.signals import wait_until
from burdockdrum.consensus.voter_membership import VoterMembership
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers


class Leadership:
    """Runs the tasks of a leader and keeps its lease."""

    def __init__(self, *, replica: Replica, peers: Peers) -> None:
        """Create it; ``run`` starts leading."""
        self._replica = replica
        self._peers = peers
        self._replicators_by_id: dict[str, Replicator] = {}
        self._tasks_by_id: dict[str, asyncio.Task] = {}
        self._first_index = 0
        self.lease = Lease(
            replica=replica, read_contact_at=self._last_contact_at
        )
        self.voter_membership = VoterMembership(
            replica=replica,
            read_replicators=lambda: self._replicators_by_id.values(),
        )
        self._progressed = Signal()

    async def run(self) -> None:
        """Lead until this member steps down."""
        replica = self._replica
        self._replicators_by_id.clear()
        self._tasks_by_id.clear()
        self.lease.begin()
        replica.leader_id = replica.vm_id
        replica.set_role(Role.LEADER)
        replica.timeline.record("leader.elected", term=replica.storage.term)
        replica.election_failure.end(
            leader=replica.vm_id, term=replica.storage.term
        )
        # A leader learns what is committed only by an entry of its own term
        # (section 5.4.2 of the Raft paper), so reads wait for this one.
        self._first_index = replica.append(EntryKind.NOOP).index
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run_commit_loop()),
                group.create_task(self._watch_own_disk()),
                group.create_task(self._watch_quorum()),
            ]
            self._update_replicators(group)
            while replica.role is Role.LEADER:
                self._update_replicators(group)
                await wait_for_any(
                    replica.replication_due, replica.role_changed
                )
            replica.record_quorum_contact(self.lease.quorum_contact_at)
            for task in [*tasks, *self._tasks_by_id.values()]:
                task.cancel()

    @property
    def holds_lease(self) -> bool:
        """Return whether the lease excludes another leader."""
        replica = self._replica
        if replica.role is not Role.LEADER or replica.transferring:
            return False
        return self.lease.is_valid

    @property
    def is_current(self) -> bool:
        """Return whether this leader also knows every committed entry."""
        return (
            self.holds_lease
            and self._replica.commit_index >= self._first_index
        )

    @property
    def silent_voter_ids(self) -> list[str]:
        """Return the other voters without a counted reply for a timeout.

        Empty unless this member leads.
        """
        replica = self._replica
        if replica.role is not Role.LEADER:
            return []
        timeout = replica.settings.election_timeout_seconds
        return sorted(
            replicator.member.vm_id
            for replicator in self._voting_replicators()
            if replicator.is_silent(timeout)
        )

    @property
    def has_too_many_uncommitted(self) -> bool:
        """Return whether the limit of uncommitted entries is reached."""
        replica = self._replica
        waiting = replica.storage.last_index - replica.commit_index
        return waiting >= replica.settings.max_uncommitted_entries

    def append_command(self, command: bytes) -> Entry:
        """Append a command to the log.

        :raises NotAccepted: if this member is not the leader, transfers its
            leadership, or has too many uncommitted entries
        """
        replica = self._replica
        if self.has_too_many_uncommitted:
            raise NotAccepted("too many uncommitted changes")
        if replica.role is not Role.LEADER or replica.transferring:
            raise NotAccepted(f"{replica.vm_id} does not lead")
        if not self._can_commit() or not replica.durability.has_room:
            raise NotAccepted("no quorum of the voters can write")
        return replica.append(EntryKind.COMMAND, command)

    async def confirm_read(self) -> int:
        """Return an index that includes every acknowledged command so far.

        :raises NotCurrent: if this member was deposed meanwhile
        """
        replica = self._replica
        term = replica.storage.term
        while replica.commit_index < self._first_index:
            self._check_leads(term)
            await self._progressed.wait()
        self._check_leads(term)
        index = replica.commit_index
        if self.holds_lease:
            return index
        requested_at = replica.clock.monotonic()
        for replicator in self._replicators_by_id.values():
            replicator.confirmation_requested_at = requested_at
        replica.replication_due.fire()
        while self.lease.quorum_contact_at < requested_at:
            await self._progressed.wait()
            self._check_leads(term)
        return index

    def change_members(self, configuration: Configuration) -> Entry:
        """Append a configuration to the log.

        :raises NotAccepted: if this member is not the leader, or an earlier
            change is not committed yet
        """
        replica = self._replica
        if replica.role is not Role.LEADER or replica.transferring:
            raise NotAccepted(f"{replica.vm_id} does not lead")
        if not self._may_change_members():
            raise NotAccepted(
                "an earlier change of members is not committed, or none can be"
            )
        return replica.append(EntryKind.CONFIGURATION, configuration.encode())

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter and step down.

        Commands are rejected from here on. That is final for the term, as
        this member steps down even if the transfer fails.
        """
        replica = self._replica
        if replica.role is not Role.LEADER:
            return
        target = self._best_successor()
        if target is None:
            return
        term = replica.storage.term
        replica.transferring = True
        try:
            await self._bring_up_to_date(target)
            if self._leads_in(term):
                await self._send_lead_request(target.member)
        finally:
            if self._leads_in(term):
                replica.step_down("leadership transferred")
            # Gives the successor the time for an election.
            seconds = replica.settings.election_timeout_seconds
            replica.election_reset_at = replica.clock.monotonic() + seconds

    async def _bring_up_to_date(self, target: Replicator) -> None:
        replica = self._replica
        term = replica.storage.term
        seconds = replica.settings.election_timeout_seconds
        deadline = replica.clock.monotonic() + seconds
        while (
            self._leads_in(term)
            and target.match_index < replica.storage.last_index
            and replica.clock.monotonic() < deadline
        ):
            await wait_until(replica.clock, deadline, self._progressed)

    async def _send_lead_request(self, member: Member) -> None:
        replica = self._replica
        request = LeadRequest(
            cluster_id=replica.identity.current.cluster_id,
            target_disk_id=member.disk_id,
            term=replica.storage.term,
            sender_id=replica.vm_id,
        )
        try:
            await self._peers.call(
                member.address,
                request,
                LeadReply,
                timeout=replica.settings.call_timeout_seconds,
            )
        except CallFailed:
            pass

    def _best_successor(self) -> Replicator | None:
        return max(
            self._voting_replicators(),
            key=lambda r: (not r.is_blocked, r.match_index),
            default=None,
        )

    def _should_hand_over(self) -> bool:
        """Return whether another member should lead for the blocked disk.

        For a short time it is better to keep leading, as the others commit
        without this disk.
        """
        replica = self._replica
        if not replica.durability.blocked_because or not self._can_commit():
            return False
        if not replica.durability.has_room:
            return True
        # The next leader replaces this voter by the learner.
        return (
            replica.durability.blocked_seconds
            > replica.settings.replacement_timeout_seconds
            and self.voter_membership.has_ready_learner
        )

    def _can_commit(self) -> bool:
        """Return whether a quorum may be neither blocked nor silent."""
        replica = self._replica
        timeout = replica.settings.election_timeout_seconds
        missing = sum(
            replicator.is_blocked or replicator.is_silent(timeout)
            for replicator in self._voting_replicators()
        )
        missing += bool(replica.durability.blocked_because)
        configuration = replica.configuration
        return len(configuration.voters) - missing >= configuration.quorum

    def _voting_replicators(self) -> list[Replicator]:
        return [
            replicator
            for replicator in self._replicators_by_id.values()
            if replicator.member.voter
        ]

    def _leads_in(self, term: int) -> bool:
        replica = self._replica
        return replica.role is Role.LEADER and replica.storage.term == term

    def _check_leads(self, term: int) -> None:
        if not self._leads_in(term):
            raise NotCurrent("deposed while a read was being confirmed")

    def _update_replicators(self, group: asyncio.TaskGroup) -> None:
        """Run one task for each other member of the configuration."""
        replica = self._replica
        other_members = {
            member.vm_id: member
            for member in replica.configuration.members
            if not self._is_self(member)
        }
        for vm_id, replicator in list(self._replicators_by_id.items()):
            member = other_members.get(vm_id)
            if member is None or member.disk_id != replicator.member.disk_id:
                self._tasks_by_id.pop(vm_id).cancel()
                del self._replicators_by_id[vm_id]
            else:
                replicator.member = member
        for vm_id, member in other_members.items():
            if vm_id not in self._replicators_by_id:
                replicator = Replicator(
                    replica=replica,
                    peers=self._peers,
                    member=member,
                    next_index=self._first_index,
                    progressed=self._progressed,
                )
                self._replicators_by_id[vm_id] = replicator
                self._tasks_by_id[vm_id] = group.create_task(replicator.run())

    async def _run_commit_loop(self) -> None:
        while True:
            self._advance_commit()
            self._change_voters()
            await self._progressed.wait()

    async def _watch_own_disk(self) -> None:
        # The leader's own log counts only once it is synced.
        while True:
            await self._replica.storage.synced.wait()
            self._progressed.fire()

    async def _watch_quorum(self) -> None:
        """Step down if no quorum replies for an election timeout."""
        replica = self._replica
        timeout = replica.settings.election_timeout_seconds
        while True:
            await replica.clock.sleep(replica.settings.heartbeat_seconds)
            self.lease.detect_suspension()
            for replicator in self._voting_replicators():
                replicator.log_silence(timeout)
            replica.durability.watch()
            if self._should_hand_over():
                await self.transfer_leadership()
            if self.lease.seconds_without_quorum > timeout:
                replica.step_down(
                    "no replies from a quorum",
                    silent_ids=self.silent_voter_ids,
                )

    def _advance_commit(self) -> None:
        replica = self._replica
        configuration = replica.configuration
        matches = sorted(
            (self._match_index(member) for member in configuration.voters),
            reverse=True,
        )
        if not matches or replica.role is not Role.LEADER:
            return
        index = matches[configuration.quorum - 1]
        if replica.storage.term_at(index) == replica.storage.term:
            replica.commit(index)
        is_settled = replica.history.latest_index <= replica.commit_index
        if is_settled and not replica.is_voter:
            replica.step_down("removed from the configuration")

    def _change_voters(self) -> None:
        replica = self._replica
        if replica.role is not Role.LEADER or not self._may_change_members():
            return
        change = self.voter_membership.find_change()
        if change is not None:
            self.change_members(change.configuration)
            replica.timeline.record(change.event, vm=change.vm_id)

    def _may_change_members(self) -> bool:
        # Two uncommitted changes, or one before the first commit of the
        # term, could lead to two quorums without a common member.
        replica = self._replica
        return (
            replica.history.latest_index <= replica.commit_index
            and self._first_index <= replica.commit_index
            and not replica.transferring
            and self._can_commit()
        )

    def _is_self(self, member: Member) -> bool:
        replica = self._replica
        return (
            member.vm_id == replica.vm_id and member.disk_id == replica.disk_id
        )

    def _match_index(self, member: Member) -> int:
        if self._is_self(member):
            return self._replica.storage.durable_index
        replicator = self._replicators_by_id.get(member.vm_id)
        if replicator is None:
            return 0
        if replicator.member.disk_id != member.disk_id:
            return 0
        return replicator.match_index

    def _last_contact_at(self, member: Member) -> float:
        replicator = self._replicators_by_id.get(member.vm_id)
        if replicator is None:
            return -math.inf
        if replicator.member.disk_id != member.disk_id:
            return -math.inf
        return replicator.contact_at
