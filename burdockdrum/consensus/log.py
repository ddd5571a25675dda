"""The service that runs one member of the replicated log.

Implements Raft after Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm" (2014), and Ongaro's thesis, "Consensus: Bridging Theory
and Practice" (2014), for pre-vote, leases, single-server membership changes
and compaction.
"""

import asyncio
from collections.abc import Callable
import random

from burdockdrum.consensus.applier import Applier
from burdockdrum.consensus.election import Election
from burdockdrum.consensus.follower import Follower
from burdockdrum.consensus.forwarding import Forwarding
from burdockdrum.consensus.founding import Founding
from burdockdrum.consensus.gauges import add_member_gauges
from burdockdrum.consensus.interface import Applied
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import NotCurrent
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.interface import StateMachine
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.member_changes import MemberChanges
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.opening import Opening
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.rollback_detection import RollbackDetector
from burdockdrum.consensus.self_repair import SelfRepair
from burdockdrum.consensus.voting import Voting
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.timeline import Timeline


class ReplicatedLog:
    """A totally ordered log of commands, replicated among control VMs."""

    def __init__(
        self,
        *,
        peers: Peers,
        disk: Disk,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        metrics: Metrics,
        state_machine: StateMachine,
        settings: LogSettings,
    ) -> None:
        """Create the service; ``run`` opens the data folder."""
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._state_machine = state_machine
        self._settings = settings
        self._propose_seconds = metrics.histogram(
            "burdockdrum_log_propose_seconds",
            "Time from a proposal to its outcome.",
        )
        self._add_gauges(metrics)
        self._listeners: list[Callable[[int], None]] = []
        self._replica: Replica | None = None
        self._opening = Opening(
            disk=disk,
            clock=clock,
            rng=rng,
            timeline=timeline,
            settings=settings,
        )

    async def run(self) -> None:
        """Open the data folder and run this member until cancelled.

        While the disk refuses to open it, this member is ``WAITING``, and
        changes and reads are refused at once.

        :raises CorruptLog: if the data folder is damaged
        """
        replica = await self._opening.run()
        self._build(replica)
        self._replica = replica
        async with asyncio.TaskGroup() as group:
            group.create_task(replica.storage.run())
            group.create_task(self._applier.run())
            group.create_task(self._applier.run_snapshots())
            group.create_task(self._applier.run_installs())
            group.create_task(self._founding.run())
            group.create_task(self._watch_founding())
            group.create_task(self._rollback_detector.run())
            group.create_task(self._election.run())
            group.create_task(self._self_repair.run())

    @property
    def leader_id(self) -> str | None:
        """Return the id of the leader, if it is known."""
        return self._replica.leader_id if self._replica else None

    @property
    def is_leader(self) -> bool:
        """Return whether this VM leads with a valid lease and is current."""
        return self._replica is not None and self._leadership.is_current

    @property
    def term(self) -> int:
        """Return the current term of this VM."""
        return self._replica.storage.term if self._replica else 0

    @property
    def role(self) -> Role:
        """Return the current role of this VM."""
        return self._replica.role if self._replica else Role.WAITING

    @property
    def halt_reason(self) -> str | None:
        """Return why this VM halted, if it did."""
        return self._replica.halt_reason if self._replica else None

    @property
    def disk_refusal(self) -> str | None:
        """Return why the disk refuses the folder or writes, None if not."""
        if self._replica is None:
            return self._opening.refusal
        return self._replica.storage.refusal

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._replica.commit_index if self._replica else 0

    @property
    def applied_index(self) -> int:
        """Return the highest index applied on this VM."""
        return self._applier.applied_index if self._replica else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members of the latest committed configuration."""
        replica = self._replica
        if replica is None:
            return ()
        return replica.history.at(replica.commit_index).members

    @property
    def disk_id(self) -> str | None:
        """Return the disk id that ``add_member`` needs for this VM."""
        return self._replica.disk_id if self._replica else None

    @property
    def last_contact_age(self) -> float | None:
        """Return the seconds since the last contact with the leader.

        On the leader: with a quorum. None without contact since the start.
        """
        replica = self._replica
        if replica is None:
            return None
        if replica.role is Role.LEADER:
            replica.record_quorum_contact(
                self._leadership.lease.quorum_contact_at
            )
        return replica.contact_age

    def add_listener(self, callback: Callable[[int], None]) -> None:
        """Call back with each applied index, or that of a snapshot."""
        self._listeners.append(callback)

    async def propose(self, command: bytes, *, timeout: float) -> Applied:
        """Apply a command through the leader.

        A command may be applied twice if messages are duplicated; the state
        machine deduplicates by the change id.

        :param timeout: seconds to wait
        :raises NotAccepted: if it was not applied and never will be
        :raises OutcomeUnknown: if it may have been applied or may be later
        """
        if len(command) > self._settings.max_command_bytes:
            raise NotAccepted(
                f"a command has at most {self._settings.max_command_bytes} "
                f"bytes, this one has {len(command)}"
            )
        if self._replica is None:
            raise NotAccepted(self._describe_not_open())
        began = self._clock.monotonic()
        outcome = "unknown"
        try:
            applied = await self._forwarding.propose(command, timeout)
            outcome = "applied"
            return applied
        except NotAccepted:
            outcome = "refused"
            raise
        finally:
            took = self._clock.monotonic() - began
            self._propose_seconds.record(took, outcome=outcome)

    async def read_barrier(self, *, timeout: float) -> int:
        """Wait until every command acknowledged so far is applied here.

        :param timeout: seconds to wait
        :returns: the index that a read from here on includes
        :raises NotCurrent: if no leader and quorum confirmed it in time
        """
        if self._replica is None:
            raise NotCurrent(self._describe_not_open())
        return await self._forwarding.read_barrier(timeout)

    async def add_member(
        self, vm_id: str, address: str, disk_id: str, *, timeout: float = 10.0
    ) -> None:
        """Add a VM as a learner; it becomes a voter once it has the log.

        A VM that returns with another disk has to be removed first, so that
        both disks are never members at once.

        :raises NotAccepted: if nothing was changed
        :raises OutcomeUnknown: if the change may yet come into effect
        """
        learner = Member(
            vm_id=vm_id, address=address, disk_id=disk_id, voter=False
        )
        await self._change_members(vm_id, learner, timeout)

    async def remove_member(
        self, vm_id: str, *, timeout: float = 10.0
    ) -> None:
        """Remove the member of a VM.

        :raises NotAccepted: if nothing was changed
        :raises OutcomeUnknown: if the change may yet come into effect
        """
        await self._change_members(vm_id, None, timeout)

    async def transfer_leadership(self) -> None:
        """Transfer leadership, if this VM has it, before a shutdown."""
        if self._replica is not None:
            await self._leadership.transfer_leadership()

    def _add_gauges(self, metrics: Metrics) -> None:
        gauges: list[tuple[str, str, Callable[[], float]]] = [
            ("term", "The term of the log.", lambda: self.term),
            ("commit_index", "Entries committed.", lambda: self.commit_index),
            ("applied_index", "Entries applied.", lambda: self.applied_index),
            ("leads", "1 on the leader, else 0.", lambda: self.is_leader),
            (
                "halted",
                "1 if this VM stepped aside, else 0.",
                lambda: self.halt_reason is not None,
            ),
            (
                "disk_refuses",
                "1 while the disk refuses writes, or a start, else 0.",
                lambda: self.disk_refusal is not None,
            ),
            (
                "bytes",
                "Bytes of the log's segments on disk.",
                lambda: (
                    self._replica.storage.disk_bytes if self._replica else 0
                ),
            ),
            (
                "snapshot_bytes",
                "Bytes of the latest snapshot.",
                lambda: self._replica.snapshots.size if self._replica else 0,
            ),
        ]
        for name, help_text, read in gauges:
            metrics.gauge(f"burdockdrum_log_{name}", help_text, read)

    def _describe_not_open(self) -> str:
        refusal = self._opening.refusal
        reason = "the log is not open yet"
        return reason if refusal is None else f"{reason}: {refusal}"

    def _build(self, replica: Replica) -> None:
        peers = self._peers
        self._applier = Applier(
            replica=replica, state_machine=self._state_machine
        )
        for listener in self._listeners:
            self._applier.listeners.append(listener)
        # Listeners added later are appended to the same list.
        self._listeners = self._applier.listeners
        self._founding = Founding(
            file=replica.identity,
            settings=self._settings,
            peers=peers,
            clock=self._clock,
        )
        self._rollback_detector = RollbackDetector(
            replica=replica, founding=self._founding, peers=peers
        )
        self._leadership = Leadership(replica=replica, peers=peers)
        self._election = Election(
            replica=replica, leadership=self._leadership, peers=peers
        )
        self._forwarding = Forwarding(
            replica=replica,
            applier=self._applier,
            leadership=self._leadership,
            peers=peers,
        )
        add_member_gauges(
            metrics=self._metrics,
            replica=replica,
            leadership=self._leadership,
            forwarding=self._forwarding,
        )
        self._member_changes = MemberChanges(
            replica=replica,
            applier=self._applier,
            leadership=self._leadership,
            peers=peers,
        )
        self._self_repair = SelfRepair(
            replica=replica,
            leadership=self._leadership,
            changes=self._member_changes,
            peers=peers,
            target_voter_count=self._settings.target_voter_count,
            read_control_addresses=self._settings.read_control_addresses,
        )
        # Both register their handlers, which keeps them alive.
        Voting(replica=replica, founding=self._founding, peers=peers)
        Follower(
            replica=replica,
            applier=self._applier,
            founding=self._founding,
            peers=peers,
        )

    async def _watch_founding(self) -> None:
        replica = self._replica
        assert replica is not None
        while True:
            replica.adopt_founding()
            await self._founding.changed.wait()

    async def _change_members(
        self, vm_id: str, learner: Member | None, timeout: float
    ) -> None:
        if self._replica is None:
            raise NotAccepted(self._describe_not_open())
        await self._member_changes.change(vm_id, learner, timeout)
