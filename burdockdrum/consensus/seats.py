"""Which members of the log are voters, decided by the leader.

While the place of a lost voter is empty, the next loss may end the quorum. So
nobody is waited for who can be replaced: a learner that holds the log takes
the place of a voter as soon as that one has missed two elections. A voter that
was only cut off comes back as a learner and stands by; a swap costs two
entries of the log.

The lost voter is taken out before the newcomer is added: were it added
first and lost in the same moment, two of four would be gone. Each step
changes one voter, so any two quorums share a member throughout.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.replication import Replicator

# A learner that is silent for so long is dropped: nobody waits for it, but
# it is one of the VMs that every entry asks. Restarts and cuts of some
# seconds are over by then; one that comes back later asks for a place.
GIVEN_UP_SECONDS = 9.0


@dataclass(frozen=True, kw_only=True)
class SeatChange:
    """The next configuration, and what it does to which VM."""

    event: str
    vm_id: str
    configuration: Configuration


class Seats:
    """What the leader knows of the members' silence, and what follows."""

    def __init__(
        self,
        *,
        replica: Replica,
        read_replicators: Callable[[], Iterable[Replicator]],
    ) -> None:
        """Create it over the leader's tasks for the other members."""
        self._replica = replica
        self._read_replicators = read_replicators

    def silent_members(self, seconds: float) -> list[str]:
        """Return the members that have answered nothing for so long."""
        limit = self._replica.clock.monotonic() - seconds
        return [
            replicator.member.vm_id
            for replicator in self._read_replicators()
            if max(replicator.acknowledged_at, replicator.began_at) < limit
        ]

    def is_safe_without(self, vm_id: str) -> bool:
        """Say whether a quorum of the other voters answers.

        Without one the removal could not be agreed on, and would hold up
        every other change of members until it can.
        """
        replica = self._replica
        rest = replica.configuration.without(vm_id)
        silent = self.silent_members(replica.settings.lease_seconds)
        answering = [v for v in rest.voters if v.vm_id not in silent]
        return bool(rest.voters) and len(answering) >= rest.quorum

    def find_change(self) -> SeatChange | None:
        """Return the next change that the members need, if any."""
        replica = self._replica
        wanted = replica.settings.voters
        voters = replica.configuration.voters
        ready = self._find_ready_learner()
        if ready is not None and (not wanted or len(voters) < wanted):
            return self._promote(ready)
        if not wanted:
            return None
        if ready is not None or len(voters) > wanted:
            lost = self.silent_members(replica.settings.replaced_after_seconds)
            change = self._remove_first(
                voter.vm_id for voter in voters if voter.vm_id in lost
            )
            if change is not None:
                return change
        return self._remove_lost_learner()

    def _find_ready_learner(self) -> Member | None:
        """Return a learner that answers and holds all that is committed.

        Its acknowledgements are of synced entries, so another voter can be
        lost as soon as it counts: every quorum of the new configuration
        still includes a member with each committed entry.
        """
        replica = self._replica
        limit = replica.clock.monotonic() - replica.settings.lease_seconds
        for replicator in self._read_replicators():
            caught_up = replicator.match_index >= replica.commit_index
            answers = replicator.acknowledged_at >= limit
            if not replicator.member.voter and caught_up and answers:
                return replicator.member
        return None

    def _promote(self, learner: Member) -> SeatChange:
        promoted = Member(
            vm_id=learner.vm_id,
            address=learner.address,
            disk_id=learner.disk_id,
        )
        return SeatChange(
            event="member.promoted",
            vm_id=learner.vm_id,
            configuration=self._replica.configuration.with_member(promoted),
        )

    def _remove_lost_learner(self) -> SeatChange | None:
        members = self._replica.configuration.members
        learners = {member.vm_id for member in members if not member.voter}
        gone = self.silent_members(GIVEN_UP_SECONDS)
        return self._remove_first(id_ for id_ in gone if id_ in learners)

    def _remove_first(self, vm_ids: Iterable[str]) -> SeatChange | None:
        for vm_id in vm_ids:
            if self.is_safe_without(vm_id):
                return SeatChange(
                    event="member.removed",
                    vm_id=vm_id,
                    configuration=self._replica.configuration.without(vm_id),
                )
        return None
