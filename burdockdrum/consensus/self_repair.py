"""Adds and replaces control VMs without an operator.

A VM whose disk is no member sends join requests; the leader removes the VM's
former member and adds the VM as a learner. ``voter_membership`` decides which
learners become voters. Configuration entries are committed one at a time, so
that any two quorums overlap.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import OutcomeUnknown
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.member_changes import MemberChanges
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import JoinRequest
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.signals import wait_until
from burdockdrum.consensus.voter_membership import LEARNER_TIMEOUT_SECONDS
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

JOIN_INTERVAL_SECONDS = 0.5
# The VM of an older request may be gone again.
JOIN_REQUEST_MAX_AGE_SECONDS = 2.0
# Outlasts late copies of the requests that a VM sent before its restart.
JOIN_REQUEST_MEMORY_SECONDS = 600.0
# Control VMs beyond the voters are learners. With five voters, this allows
# for the largest number of control VMs.
MAX_SPARE_LEARNERS = 12
# A member without leader contact for this long may have been removed.
LEADER_CONTACT_TIMEOUT_SECONDS = 4.0
CHANGE_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class _ReceivedJoinRequest:
    request: JoinRequest
    at: float


class SelfRepair:
    """Sends join requests, and handles them while this VM leads."""

    def __init__(
        self,
        *,
        replica: Replica,
        leadership: Leadership,
        changes: MemberChanges,
        peers: Peers,
        target_voter_count: int,
        read_control_addresses: Callable[[], Iterable[str]],
    ) -> None:
        """Register the handler for join requests.

        :param target_voter_count: 0 disables automatic changes
        :param read_control_addresses: returns the addresses of control VMs
        """
        self._replica = replica
        self._leadership = leadership
        self._changes = changes
        self._peers = peers
        self._target_voter_count = target_voter_count
        self._read_control_addresses = read_control_addresses
        self._received_by_vm_id: dict[str, _ReceivedJoinRequest] = {}
        self._request_received = Signal()
        peers.register(JoinRequest, self._on_join)

    async def run(self) -> None:
        """Send or handle join requests until cancelled."""
        while self._target_voter_count:
            if self._needs_to_join():
                self._send_join_requests()
            elif (
                self._replica.role is Role.LEADER
                and await self._handle_recent_requests()
            ):
                continue
            clock = self._replica.clock
            next_at = clock.monotonic() + JOIN_INTERVAL_SECONDS
            await wait_until(clock, next_at, self._request_received)

    def _needs_to_join(self) -> bool:
        replica = self._replica
        if replica.halt_reason is not None:
            return False
        if not replica.is_voter and not replica.is_learner:
            return True
        if replica.role is Role.LEADER:
            return False
        age = replica.contact_age
        return age is not None and age > LEADER_CONTACT_TIMEOUT_SECONDS

    def _send_join_requests(self) -> None:
        replica = self._replica
        identity = self._peers.identity
        request = JoinRequest(
            vm_id=replica.vm_id,
            address=identity.control_address,
            disk_id=replica.disk_id,
            incarnation=identity.incarnation,
        )
        for address in set(self._read_control_addresses()):
            if address != identity.control_address:
                self._peers.send(address, request)

    async def _on_join(
        self, sender: Sender, message: JoinRequest
    ) -> Message | None:
        now = self._replica.clock.monotonic()
        self._forget_requests(now - JOIN_REQUEST_MEMORY_SECONDS)
        known = self._received_by_vm_id.get(message.vm_id)
        if known is not None and (
            message.incarnation < known.request.incarnation
        ):
            # Sent before the VM's restart: it may name a disk that is gone
            # and must not replace the current one.
            return None
        self._received_by_vm_id[message.vm_id] = _ReceivedJoinRequest(
            request=message, at=now
        )
        self._request_received.fire()
        return None

    def _forget_requests(self, since: float) -> None:
        """Forget the requests of VMs that have sent none since a time."""
        for vm_id, received in list(self._received_by_vm_id.items()):
            if received.at < since:
                del self._received_by_vm_id[vm_id]

    async def _handle_recent_requests(self) -> bool:
        """Make the next change for the recent join requests.

        :returns: whether a change was made, so that another may follow
        """
        for received in self._recent_requests():
            if await self._admit(received.request):
                return True
        return False

    def _recent_requests(self) -> list[_ReceivedJoinRequest]:
        since = self._replica.clock.monotonic() - JOIN_REQUEST_MAX_AGE_SECONDS
        return [a for a in self._received_by_vm_id.values() if a.at >= since]

    async def _admit(self, request: JoinRequest) -> bool:
        """Remove a VM's former member, or add the VM as a learner.

        :returns: whether a change was made
        """
        configuration = self._replica.configuration
        known = configuration.find(request.vm_id)
        if known is not None:
            if known.disk_id == request.disk_id:
                return False
            # The disk of the former member is gone for good.
            if not self._leadership.voter_membership.can_remove(request.vm_id):
                return False
            return await self._change(request.vm_id, None)
        if not self._has_free_capacity(configuration):
            return False
        learner = Member(
            vm_id=request.vm_id,
            address=request.address,
            disk_id=request.disk_id,
            voter=False,
        )
        return await self._change(request.vm_id, learner)

    def _has_free_capacity(self, configuration: Configuration) -> bool:
        """Return whether another VM may become a member.

        VMs that are not needed as voters stay learners: all VMs follow the
        members, and endpoints may register with any of them.
        """
        limit = self._target_voter_count + MAX_SPARE_LEARNERS
        unreachable = self._leadership.voter_membership.unreachable_members(
            LEARNER_TIMEOUT_SECONDS
        )
        return len(configuration.members) - len(unreachable) < limit

    async def _change(self, vm_id: str, learner: Member | None) -> bool:
        event = "member.removed" if learner is None else "member.invited"
        self._replica.timeline.record(event, vm=vm_id)
        try:
            await self._changes.change(vm_id, learner, CHANGE_TIMEOUT_SECONDS)
        except (NotAccepted, OutcomeUnknown) as error:
            # An earlier change is uncommitted; the VM repeats its request.
            self._replica.timeline.record(
                "member.change_put_off", vm=vm_id, reason=str(error)
            )
            return False
        return True
