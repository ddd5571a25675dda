"""Decides on the leader which members are voters.

An up-to-date learner replaces a voter that was unreachable for two election
timeouts, before another loss can end the quorum. The voter is removed before
the learner is promoted: promoted first and lost too, it would leave two of
four voters. Each step changes one voter, so that any two quorums overlap.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.replication import Replicator

# An unreachable learner is removed after this, as every entry is still sent
# to it. Longer than restarts and short partitions; it can join again later.
LEARNER_TIMEOUT_SECONDS = 9.0


@dataclass(frozen=True, kw_only=True)
class VoterChange:
    """A change of one member, with the resulting configuration."""

    event: str
    vm_id: str
    configuration: Configuration


class VoterMembership:
    """Chooses the next change of the members by their reachability."""

    def __init__(
        self,
        *,
        replica: Replica,
        read_replicators: Callable[[], Iterable[Replicator]],
    ) -> None:
        """Create it with access to the leader's replicators."""
        self._replica = replica
        self._read_replicators = read_replicators

    def unreachable_members(self, seconds: float) -> list[str]:
        """Return the VMs that sent no reply for this many seconds."""
        limit = self._replica.clock.monotonic() - seconds
        return [
            replicator.member.vm_id
            for replicator in self._read_replicators()
            if max(replicator.acknowledged_at, replicator.started_at) < limit
        ]

    def can_remove(self, vm_id: str) -> bool:
        """Return whether a quorum of the other voters can commit it.

        Otherwise the removal would block every other change of members, and
        the voter would not count when it returns.
        """
        replica = self._replica
        rest = replica.configuration.without(vm_id)
        unreachable_ids = self.unreachable_members(
            replica.settings.lease_seconds
        )
        if replica.durability.blocked_because:
            unreachable_ids.append(replica.vm_id)
        reachable = [v for v in rest.voters if v.vm_id not in unreachable_ids]
        return bool(rest.voters) and len(reachable) >= rest.quorum

    @property
    def has_ready_learner(self) -> bool:
        """Return whether a learner could become a voter at once."""
        return self._find_ready_learner() is not None

    def find_change(self) -> VoterChange | None:
        """Return the next change of the members, if one is needed."""
        replica = self._replica
        target = replica.settings.target_voter_count
        voters = replica.configuration.voters
        ready = self._find_ready_learner()
        if ready is not None and (not target or len(voters) < target):
            return self._promote(ready)
        if not target:
            return None
        if ready is not None or len(voters) > target:
            unreachable_voters = self.unreachable_members(
                replica.settings.replacement_timeout_seconds
            )
            change = self._remove_first(
                voter.vm_id
                for voter in voters
                if voter.vm_id in unreachable_voters
            )
            if change is not None:
                return change
        return self._remove_unreachable_learner()

    def _find_ready_learner(self) -> Member | None:
        """Return a reachable learner that has every committed entry.

        Its entries are synced, so another voter may be lost right after the
        promotion: every quorum of the new configuration still includes a
        member with each committed entry.
        """
        replica = self._replica
        limit = replica.clock.monotonic() - replica.settings.lease_seconds
        for replicator in self._read_replicators():
            caught_up = replicator.match_index >= replica.commit_index
            answers = replicator.acknowledged_at >= limit
            if not replicator.member.voter and caught_up and answers:
                return replicator.member
        return None

    def _promote(self, learner: Member) -> VoterChange:
        promoted = Member(
            vm_id=learner.vm_id,
            address=learner.address,
            disk_id=learner.disk_id,
        )
        return VoterChange(
            event="member.promoted",
            vm_id=learner.vm_id,
            configuration=self._replica.configuration.with_member(promoted),
        )

    def _remove_unreachable_learner(self) -> VoterChange | None:
        members = self._replica.configuration.members
        learners = {member.vm_id for member in members if not member.voter}
        unreachable = self.unreachable_members(LEARNER_TIMEOUT_SECONDS)
        return self._remove_first(
            id_ for id_ in unreachable if id_ in learners
        )

    def _remove_first(self, vm_ids: Iterable[str]) -> VoterChange | None:
        for vm_id in vm_ids:
            if self.can_remove(vm_id):
                return VoterChange(
                    event="member.removed",
                    vm_id=vm_id,
                    configuration=self._replica.configuration.without(vm_id),
                )
        return None
