"""The state of one member, shared by all its tasks.

Changes are made without an await in between, so every task sees a consistent
state. State is synced before it is reported to another member.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
import secrets

from loguru import logger

from burdockdrum.consensus.durability import Durability
from burdockdrum.consensus.identity import IdentityFile
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import ConfigurationHistory
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import EntryKind
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.snapshot import SnapshotStore
from burdockdrum.consensus.storage import Storage
from burdockdrum.logs import LoggedState
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

# Enough that no two random ids of starts are equal.
_START_ID_BITS = 62


class Replica:
    """The role, term, log and commit index of one member."""

    def __init__(
        self,
        *,
        identity: IdentityFile,
        storage: Storage,
        snapshots: SnapshotStore,
        settings: LogSettings,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
        """Create the state from storage that was opened."""
        self.identity = identity
        self.storage = storage
        self.snapshots = snapshots
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.timeline = timeline
        self.leader_id: str | None = None
        self.commit_index = 0
        self.transferring = False
        # Whether this candidate is still in the pre-vote.
        self.in_pre_vote = False
        # Whether this member votes and is in quorums; see the module
        # ``rollback_detection``.
        self.admitted = False
        # Whether every entry that the leader has committed is synced here.
        self.caught_up = False
        self.halt_reason: str | None = None
        # Called with disk id, term and index that another disk acknowledged.
        self.on_disk_acknowledged: Callable[[str, int, int], None] = _ignore
        # Called with disk id and address of each candidate.
        self.on_candidate_seen: Callable[[str, str], None] = _ignore
        # Called with index and term of the first entry that is overwritten.
        self.on_entry_replaced: Callable[[int, int], None] = _ignore
        # Holds while this member's elections fail.
        self.election_failure = LoggedState(
            begun="election.failed",
            ended="election.ended",
            read_time=clock.monotonic,
        )
        self.role_changed = Signal()
        self.commit_changed = Signal()
        self.replication_due = Signal()
        self.campaign_requested = Signal()
        self.history = self._read_history()
        storage.on_refused = self._record_refusal
        self.durability = Durability(
            storage=storage, settings=settings, clock=clock
        )
        self.term_at_start = storage.term
        # Identifies this start among the starts of the same member.
        self.start_id = secrets.randbits(_START_ID_BITS) + 1
        self._last_request_number = 0
        self._role = Role.FOLLOWER
        self._started_at = clock.monotonic()
        self._leader_contact_at: float | None = None
        self._quorum_contact_at = -math.inf
        self.election_reset_at = self._started_at

    @property
    def vm_id(self) -> str:
        """Return this VM's id."""
        return self.settings.vm_id

    @property
    def disk_id(self) -> str:
        """Return the id of the data folder's disk."""
        return self.identity.current.disk_id

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in effect."""
        return self.history.latest

    @property
    def role(self) -> Role:
        """Return the current role of this member."""
        if self.halt_reason is not None:
            return Role.HALTED
        if not self.identity.current.formed:
            return Role.WAITING
        return self._role

    @property
    def leader_address(self) -> str | None:
        """Return the address of the leader, if it is another VM."""
        if self.leader_id is None or self.leader_id == self.vm_id:
            return None
        member = self.configuration.find(self.leader_id)
        return member.address if member else None

    @property
    def is_voter(self) -> bool:
        """Return whether this VM with this disk is a voter."""
        return self.configuration.has_voter(self.vm_id, self.disk_id)

    @property
    def is_learner(self) -> bool:
        """Return whether this VM with this disk is a learner."""
        member = self.configuration.find(self.vm_id)
        return (
            member is not None
            and member.disk_id == self.disk_id
            and not member.voter
        )

    @property
    def may_participate(self) -> bool:
        """Return whether this member may vote and be elected.

        Both need its disk. A leader whose disk is blocked keeps leading, as
        its term is durable and other members can commit without it.
        """
        return (
            self.halt_reason is None
            and self.admitted
            and not self.durability.blocked_because
        )

    @property
    def contact_age(self) -> float | None:
        """Return the seconds since contact with a leader or a quorum."""
        last_contact_at = max(
            self._leader_contact_at or -math.inf, self._quorum_contact_at
        )
        if last_contact_at == -math.inf:
            return None
        return self.clock.monotonic() - last_contact_at

    @property
    def must_withhold_vote(self) -> bool:
        """Return whether a leader's lease may depend on this member.

        A member does not remember leader contact from before a restart, so
        it grants no vote for one election timeout after a restart either.
        """
        now = self.clock.monotonic()
        timeout = self.settings.election_timeout_seconds
        if now - self._started_at < timeout:
            return True
        return self._leader_contact_at is not None and (
            now - self._leader_contact_at < timeout
        )

    @property
    def has_just_restarted(self) -> bool:
        """Return whether there was no leader contact since the start."""
        return self._leader_contact_at is None

    def next_request_number(self) -> int:
        """Return a request number larger than all earlier ones."""
        self._last_request_number += 1
        return self._last_request_number

    def postpone_election(self) -> None:
        """Restart the election timeout."""
        now = self.clock.monotonic()
        self.election_reset_at = max(self.election_reset_at, now)

    def set_role(self, role: Role) -> None:
        """Change the role and signal the change."""
        if role is not self._role:
            self._role = role
            self.transferring = False
            self.role_changed.fire()

    def observe_term(self, term: int) -> None:
        """Adopt a newer term, without a vote in it."""
        if term > self.storage.term:
            self.storage.set_hard_state(term, None)
            self.leader_id = None
            self.step_down("a newer term was seen")

    def follow(self, term: int, leader_id: str) -> None:
        """Record contact with the leader of a term and follow it."""
        self.observe_term(term)
        self._leader_contact_at = self.clock.monotonic()
        self.election_reset_at = self._leader_contact_at
        if self.leader_id != leader_id:
            self.leader_id = leader_id
            self.timeline.record(
                "leader.followed", leader=leader_id, term=term
            )
        self.election_failure.end(leader=leader_id, term=term)
        self.set_role(Role.FOLLOWER)

    def record_quorum_contact(self, contact_at: float) -> None:
        """Record when this member, as leader, last had a quorum."""
        self._quorum_contact_at = max(self._quorum_contact_at, contact_at)

    def step_down(
        self, reason: str, *, silent_ids: Iterable[str] = ()
    ) -> None:
        """Become a follower.

        :param silent_ids: the voters whose replies a leader missed
        """
        if self._role is Role.LEADER:
            self.timeline.record(
                "leader.stepped_down",
                term=self.storage.term,
                reason=reason,
                silent=", ".join(silent_ids),
            )
            if self.leader_id == self.vm_id:
                self.leader_id = None
        self.set_role(Role.FOLLOWER)

    def _record_refusal(self, reason: str) -> None:
        self.timeline.record("log.disk_refuses", reason=reason)

    def halt(self, reason: str) -> None:
        """Take no part in votes, quorums or leadership until a restart."""
        if self.halt_reason is not None:
            return
        logger.error("the replicated log on {} halted: {}", self.vm_id, reason)
        self.timeline.record("log.stepped_aside", reason=reason)
        self.halt_reason = reason
        self.leader_id = None
        self.step_down(reason)
        self.role_changed.fire()

    def append(self, kind: EntryKind, data: bytes = b"") -> Entry:
        """Append an entry as the leader."""
        entry = Entry(
            self.storage.last_index + 1, self.storage.term, kind, data
        )
        self.append_entry(entry)
        return entry

    def append_entry(self, entry: Entry) -> None:
        """Append an entry, replacing those at or after its index."""
        if entry.index <= self.storage.last_index:
            self.history.truncate(entry.index)
            self.on_entry_replaced(
                entry.index, self.storage.entry(entry.index).term
            )
        self.storage.append(entry)
        if entry.kind is EntryKind.CONFIGURATION:
            configuration = Configuration.decode(entry.data)
            self.history.add(entry.index, configuration)
        self.replication_due.fire()

    def commit(self, index: int) -> None:
        """Advance the commit index; it never decreases."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_changed.fire()
            self.replication_due.fire()

    def reset_history(self, index: int, configuration: Configuration) -> None:
        """Replace the history by the configuration of a snapshot."""
        self.history = ConfigurationHistory(
            index=index, configuration=configuration
        )

    def adopt_founding(self) -> None:
        """Adopt the bootstrap configuration if the log has no other."""
        founding = self.identity.current.founding
        if founding is not None and self.history.latest_index == 0:
            self.reset_history(0, founding)

    def _read_history(self) -> ConfigurationHistory:
        snapshot = self.snapshots.latest
        if snapshot is not None:
            history = ConfigurationHistory(
                index=snapshot.index, configuration=snapshot.configuration
            )
        else:
            history = ConfigurationHistory(
                index=0,
                configuration=self.identity.current.founding
                or Configuration(cluster_id="", members=()),
            )
        for entry in self.storage.entries:
            is_covered = snapshot is not None and entry.index <= snapshot.index
            if entry.kind is EntryKind.CONFIGURATION and not is_covered:
                history.add(entry.index, Configuration.decode(entry.data))
        return history


def _ignore(*arguments: object) -> None:
    """Ignore a call while no callback is set."""
