"""Give or refuse votes, and stand for election when a leader asks."""

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
    """This member's side of other members' elections."""

    def __init__(
        self, *, replica: Replica, founding: Founding, peers: Peers
    ) -> None:
        """Answer vote requests from now on."""
        self._replica = replica
        self._founding = founding
        peers.register(VoteRequest, self._on_vote)
        peers.register(LeadRequest, self._on_lead)

    async def _on_vote(
        self, sender: Sender, message: VoteRequest
    ) -> Message | None:
        replica = self._replica
        if not self._is_for_this_disk(message):
            return self._answer_for_lost_disk(message)
        replica.contacted(message.sender_disk_id, sender.address)
        if not replica.takes_part:
            # It has no vote yet, but can say that it doesn't lead.
            return VoteReply(
                term=min(message.term, replica.storage.term),
                granted=False,
                leads=False,
            )
        if not message.trial and not self._must_refuse(message):
            replica.observe_term(message.term)
        if not message.trial:
            replica.acknowledged(message.sender_disk_id, message.term, 0)
        granted = self._decide(message)
        if granted and not message.trial:
            replica.storage.set_hard_state(message.term, message.sender_id)
            replica.election_reset_at = replica.clock.monotonic()
        # A vote that a loss of power takes back could be given twice.
        await replica.storage.sync()
        return VoteReply(
            term=replica.storage.term,
            granted=granted,
            start=replica.start,
            leads=replica.role is Role.LEADER,
            only_restarted=not granted and self._only_restarted(message),
        )

    async def _on_lead(
        self, sender: Sender, message: LeadRequest
    ) -> Message | None:
        replica = self._replica
        if not self._is_for_this_disk(message):
            return None
        if message.term == replica.storage.term:
            replica.campaign_asked.fire()
        return LeadReply(term=replica.storage.term)

    def _is_for_this_disk(self, message: VoteRequest | LeadRequest) -> bool:
        # The sender names the disk that it counts. A VM with another disk
        # has forgotten what that one promised, and is told apart here; one
        # that has not yet received the entry that made it a voter is not.
        return (
            message.target_disk_id == self._replica.disk_id
            and self._replica.identity.current.formed
            and self._founding.may_join(message.cluster_id)
        )

    def _answer_for_lost_disk(self, message: VoteRequest) -> VoteReply | None:
        """Say of this VM with a former disk that it does not lead.

        It has no vote, but with its process its leadership has ended.
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

    def _must_refuse(self, message: VoteRequest) -> bool:
        """Say whether a leader's lease forbids even to hear of the term.

        Section 4.2.3 and 6.4.1 of Ongaro's thesis: without this, a removed
        or returning member could depose a leader that serves reads under
        its lease.
        """
        replica = self._replica
        if message.transfer:
            return False
        if replica.role is Role.LEADER:
            return True
        if replica.has_just_restarted and message.waived_start:
            return message.waived_start != replica.start
        return replica.owes_silence

    def _only_restarted(self, message: VoteRequest) -> bool:
        """Say whether a trial is refused only for the sake of a restart.

        After a restart a member keeps the silence that it may have promised to
        a leader. If every voter says that it does not lead, no leader holds a
        lease that rests on such a promise; ``start`` binds that to this start.
        """
        replica = self._replica
        if not message.trial or replica.role is Role.LEADER:
            return False
        return replica.has_just_restarted and self._would_grant(message)

    def _yields_to(self, message: VoteRequest) -> bool:
        """Say whether another candidate goes before this member.

        Two that stand within a round trip would each get its own vote only,
        and wait for another timeout. While both are at their trials, the one
        with the newer log or the higher id goes first and the other gives up.
        """
        replica = self._replica
        if replica.role is not Role.CANDIDATE:
            return True
        storage = replica.storage
        own = (storage.last_term, storage.last_index, replica.vm_id)
        other = (message.last_term, message.last_index, message.sender_id)
        if not replica.in_trial or own > other:
            return False
        replica.step_down(f"{message.sender_id} goes first")
        return True

    def _decide(self, message: VoteRequest) -> bool:
        return not self._must_refuse(message) and self._would_grant(message)

    def _would_grant(self, message: VoteRequest) -> bool:
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
