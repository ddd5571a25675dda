"""Adds and removes members through the leader, from any control VM."""

import asyncio

from burdockdrum.consensus.applier import Applier
from burdockdrum.consensus.deduplication import RequestDeduplicator
from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import OutcomeUnknown
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import MemberChangeRequest
from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.consensus.replica import Replica
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender


class MemberChanges:
    """Requests and handles changes of one member at a time."""

    def __init__(
        self,
        *,
        replica: Replica,
        applier: Applier,
        leadership: Leadership,
        peers: Peers,
    ) -> None:
        """Register the handler for other members' requests."""
        self._replica = replica
        self._applier = applier
        self._leadership = leadership
        self._peers = peers
        self._deduplicator = RequestDeduplicator()
        peers.register(MemberChangeRequest, self._on_change)

    async def change(
        self, vm_id: str, learner: Member | None, timeout: float
    ) -> None:
        """Add a learner, or remove the VM's member if it is None.

        :raises NotAccepted: if nothing was changed
        :raises OutcomeUnknown: if the change may yet come into effect
        """
        request = MemberChangeRequest(
            number=self._replica.next_request_number(),
            term=self._replica.storage.term,
            vm_id=vm_id,
            learner=learner,
            timeout=timeout,
        )
        if self._replica.role is Role.LEADER:
            await self._change_locally(request)
            return
        address = self._replica.leader_address
        if address is None:
            raise NotAccepted("no leader is known")
        try:
            reply = await self._peers.call(
                address, request, ProposeReply, timeout=timeout
            )
        except CallFailed as error:
            raise OutcomeUnknown(str(error)) from error
        if reply.refused:
            raise NotAccepted(reply.reason)
        if reply.unknown:
            raise OutcomeUnknown(reply.reason)

    async def _on_change(
        self, sender: Sender, message: MemberChangeRequest
    ) -> Message | None:
        return await self._deduplicator.run_once(
            sender, message.number, lambda: self._handle_change(message)
        )

    async def _handle_change(
        self, message: MemberChangeRequest
    ) -> ProposeReply:
        if message.term <= self._replica.term_at_start:
            return ProposeReply(unknown=True, reason="this VM restarted")
        if self._replica.storage.term != message.term:
            return ProposeReply(
                refused=True, reason="this VM is in another term"
            )
        try:
            await self._change_locally(message)
        except NotAccepted as refusal:
            return ProposeReply(refused=True, reason=str(refusal))
        except OutcomeUnknown as outcome_unknown:
            return ProposeReply(unknown=True, reason=str(outcome_unknown))
        return ProposeReply()

    async def _change_locally(self, request: MemberChangeRequest) -> None:
        if self._replica.role is not Role.LEADER:
            raise NotAccepted(f"{self._replica.vm_id} does not lead")
        changed = self._configuration_after(request)
        if changed is None:
            return
        entry = self._leadership.change_members(changed)
        try:
            async with asyncio.timeout(request.timeout):
                await self._applier.result_of(entry)
        except TimeoutError:
            raise OutcomeUnknown(
                "the change of members was not committed in time"
            ) from None

    def _configuration_after(
        self, request: MemberChangeRequest
    ) -> Configuration | None:
        """Return the configuration after a change, None if unchanged."""
        configuration = self._replica.configuration
        known = configuration.find(request.vm_id)
        if request.learner is None:
            if known is None:
                return None
            if [v.vm_id for v in configuration.voters] == [request.vm_id]:
                raise NotAccepted("the last voter can't be removed")
            return configuration.without(request.vm_id)
        if known is None:
            return configuration.with_member(request.learner)
        if known.disk_id == request.learner.disk_id:
            return None
        raise NotAccepted(
            f"{request.vm_id} is a member with disk {known.disk_id}: remove "
            "it before it is added with another"
        )
