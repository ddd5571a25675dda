"""Handles vote requests and leadership transfers."""

from burdockdrum.consensus.founding import Founding
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.messages import LeadReply
from burdockdrum.consensus.messages import LeadRequest
from burdockdrum.consensus.messages import VoteReply
from burdockdrum.consensus.messages import VoteRequest
from burdockdrum.consensus.replica import Replica
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender


class Voting:
    """The voter's side of elections."""

    def __init__(
        self, *, replica: Replica, founding: Founding, peers: Peers
    ) -> None:
        """Register the handlers for candidates and leaders."""
        self._replica = replica
        self._founding = founding
        peers.register(VoteRequest, self._on_vote)
        peers.register(LeadRequest, self._on_lead)

    async def _on_vote(
        self, sender: Sender, message: VoteRequest
    ) -> Message | None:
        replica = self._replica
        if not self._is_for_this_disk(message):
            return self._reply_for_former_disk(message)
        replica.on_candidate_seen(message.sender_disk_id, sender.address)
        if not replica.may_participate:
            # It may not vote, but can reply whether it leads.
            return self._deny(message)
        if not message.trial and not self._must_withhold_vote(message):
            replica.observe_term(message.term)
        if not message.trial:
            replica.on_disk_acknowledged(
                message.sender_disk_id, message.term, 0
            )
        granted = self._grants_vote(message)
        if granted and not message.trial:
            replica.storage.set_hard_state(message.term, message.sender_id)
            replica.election_reset_at = replica.clock.monotonic()
        # A vote lost in a power loss could be granted twice.
        seconds = replica.settings.vote_timeout_seconds
        if not await replica.durability.sync(seconds=seconds):
            return self._deny(message)
        return VoteReply(
            term=replica.storage.term,
            granted=granted,
            start=replica.start_id,
            leads=replica.role is Role.LEADER,
            only_restarted=not granted
            and self._is_refused_only_after_restart(message),
        )

    async def _on_lead(
        self, sender: Sender, message: LeadRequest
    ) -> Message | None:
        replica = self._replica
        if not self._is_for_this_disk(message):
            return None
        if message.term == replica.storage.term:
            replica.campaign_requested.fire()
        return LeadReply(term=replica.storage.term)

    def _is_for_this_disk(self, message: VoteRequest | LeadRequest) -> bool:
        # A VM with another disk does not know the votes and entries of the
        # member that the sender means. A VM that has not yet received the
        # entry that made it a voter may reply.
        return (
            message.target_disk_id == self._replica.disk_id
            and self._replica.identity.current.formed
            and self._founding.accepts_cluster(message.cluster_id)
        )

    def _deny(self, message: VoteRequest) -> VoteReply:
        """Reply without a vote, and without a term that may be lost."""
        replica = self._replica
        return VoteReply(
            term=min(message.term, replica.storage.term),
            granted=False,
            leads=replica.role is Role.LEADER,
        )

    def _reply_for_former_disk(self, message: VoteRequest) -> VoteReply | None:
        """Reply on behalf of a former disk of this VM that it does not lead.

        That member has no vote, and its leadership ended with its process.
        """
        replica = self._replica
        is_former = (
            message.target_id == replica.vm_id
            and message.target_disk_id != replica.disk_id
        )
        if not message.trial or not is_former:
            return None
        term = min(message.term, replica.storage.term)
        return VoteReply(term=term, granted=False, leads=False)

    def _must_withhold_vote(self, message: VoteRequest) -> bool:
        """Return whether a leader's lease forbids to vote or adopt the term.

        Sections 4.2.3 and 6.4.1 of Ongaro's thesis: without this, a removed
        or returning member could depose a leader that serves reads under
        its lease.
        """
        replica = self._replica
        if message.transfer:
            return False
        if replica.role is Role.LEADER:
            return True
        if replica.has_just_restarted and message.waived_start:
            return message.waived_start != replica.start_id
        return replica.must_withhold_vote

    def _is_refused_only_after_restart(self, message: VoteRequest) -> bool:
        """Return whether a pre-vote is denied only because of a restart.

        A restarted member denies votes because of a lease it may not know
        of. If every voter replies that it does not lead, there is no such
        lease; ``start`` limits that conclusion to this start of the member.
        """
        replica = self._replica
        if not message.trial or replica.role is Role.LEADER:
            return False
        return replica.has_just_restarted and self._is_eligible(message)

    def _yields_to(self, message: VoteRequest) -> bool:
        """Step down if another candidate in the pre-vote has priority.

        Two candidates within a round trip would split the votes and wait
        for another timeout. The one with the newer log, or else with the
        higher id, has priority.

        :returns: whether this member may vote for the other one
        """
        replica = self._replica
        if replica.role is not Role.CANDIDATE:
            return True
        storage = replica.storage
        own = (storage.last_term, storage.last_index, replica.vm_id)
        other = (message.last_term, message.last_index, message.sender_id)
        if not replica.in_pre_vote or own > other:
            return False
        replica.step_down(f"candidate {message.sender_id} has priority")
        return True

    def _grants_vote(self, message: VoteRequest) -> bool:
        return not self._must_withhold_vote(message) and self._is_eligible(
            message
        )

    def _is_eligible(self, message: VoteRequest) -> bool:
        replica = self._replica
        storage = replica.storage
        if message.term < storage.term:
            return False
        if (message.last_term, message.last_index) < (
            storage.last_term,
            storage.last_index,
        ):
            return False
        if message.trial:
            return message.term > storage.term and self._yields_to(message)
        return storage.voted_for in (None, message.sender_id)
