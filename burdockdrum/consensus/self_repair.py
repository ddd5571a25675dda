"""Take control VMs in again, or others in their place, without an operator.

A VM that is no member with the disk that it has asks to be one; the leader
removes the member that the VM was and adds it as a learner; which learners
then vote is decided in ``seats``. All of it goes through the configuration
entries of the log, one at a time, so any two quorums share a member
throughout.
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
from burdockdrum.consensus.seats import GIVEN_UP_SECONDS
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.signals import wait_until
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

ASK_SECONDS = 0.5
# A VM that asked so long ago may be gone again.
FRESH_SECONDS = 2.0
# Control VMs beyond the voters stand by. So many, with five voters, are all
# the VMs that may be set aside for control.
MAX_STANDING_BY = 12
# A member that hears no leader for so long may have been removed.
ORPHANED_SECONDS = 4.0
CHANGE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class _Asked:
    request: JoinRequest
    at: float


class SelfRepair:
    """This VM's part in keeping the number of voters."""

    def __init__(
        self,
        *,
        replica: Replica,
        leadership: Leadership,
        changes: MemberChanges,
        peers: Peers,
        voters: int,
        read_addresses: Callable[[], Iterable[str]],
    ) -> None:
        """Answer VMs that ask from now on.

        :param voters: how many there should be; 0 leaves all to operators
        :param read_addresses: returns where control VMs may be
        """
        self._replica = replica
        self._leadership = leadership
        self._changes = changes
        self._peers = peers
        self._voters = voters
        self._read_addresses = read_addresses
        self._asked_by_vm_id: dict[str, _Asked] = {}
        self._newest_by_vm_id: dict[str, int] = {}
        self._someone_asked = Signal()
        peers.register(JoinRequest, self._on_join)

    async def run(self) -> None:
        """Ask for a place, or give places, until cancelled."""
        while self._voters:
            if self._lacks_place():
                self._ask()
            elif self._replica.role is Role.LEADER and await self._repair():
                continue
            clock = self._replica.clock
            next_at = clock.monotonic() + ASK_SECONDS
            await wait_until(clock, next_at, self._someone_asked)

    def _lacks_place(self) -> bool:
        replica = self._replica
        if replica.halt_reason is not None:
            return False
        if not replica.is_voter and not replica.is_learner:
            return True
        if replica.role is Role.LEADER:
            return False
        age = replica.contact_age
        return age is not None and age > ORPHANED_SECONDS

    def _ask(self) -> None:
        replica = self._replica
        identity = self._peers.identity
        request = JoinRequest(
            vm_id=replica.vm_id,
            address=identity.control_address,
            disk_id=replica.disk_id,
            incarnation=identity.incarnation,
        )
        for address in set(self._read_addresses()):
            if address != identity.control_address:
                self._peers.send(address, request)

    async def _on_join(
        self, sender: Sender, message: JoinRequest
    ) -> Message | None:
        newest = self._newest_by_vm_id.get(message.vm_id, 0)
        if message.incarnation < newest:
            # Sent before the VM's restart: it may speak of a disk that is
            # no more, and must not take the place of the one there is.
            return None
        self._newest_by_vm_id[message.vm_id] = message.incarnation
        now = self._replica.clock.monotonic()
        self._asked_by_vm_id[message.vm_id] = _Asked(request=message, at=now)
        self._someone_asked.fire()
        return None

    async def _repair(self) -> bool:
        """Make the next change that a VM asked for.

        :returns: whether there was one, and another may follow at once
        """
        for asked in self._fresh():
            if await self._give_place(asked.request):
                return True
        return False

    def _fresh(self) -> list[_Asked]:
        since = self._replica.clock.monotonic() - FRESH_SECONDS
        return [a for a in self._asked_by_vm_id.values() if a.at >= since]

    async def _give_place(self, request: JoinRequest) -> bool:
        """Make the next change that a VM needs.

        :returns: whether it was made
        """
        configuration = self._replica.configuration
        known = configuration.find(request.vm_id)
        if known is not None:
            if known.disk_id == request.disk_id:
                return False
            # The disk that was counted is gone for good.
            if not self._leadership.seats.is_safe_without(request.vm_id):
                return False
            return await self._change(request.vm_id, None)
        if not self._has_room(configuration):
            return False
        learner = Member(
            vm_id=request.vm_id,
            address=request.address,
            disk_id=request.disk_id,
            voter=False,
        )
        return await self._change(request.vm_id, learner)

    def _has_room(self, configuration: Configuration) -> bool:
        """Say whether one more VM may be a member.

        One that is not needed as a voter is a learner: all VMs follow the
        members, and endpoints may check in at each.
        """
        most = self._voters + MAX_STANDING_BY
        given_up = self._leadership.seats.silent_members(GIVEN_UP_SECONDS)
        return len(configuration.members) - len(given_up) < most

    async def _change(self, vm_id: str, learner: Member | None) -> bool:
        event = "member.removed" if learner is None else "member.invited"
        self._replica.timeline.record(event, vm=vm_id)
        try:
            await self._changes.change(vm_id, learner, CHANGE_SECONDS)
        except (NotAccepted, OutcomeUnknown) as error:
            # An earlier change is under way; the VM goes on asking.
            self._replica.timeline.record(
                "member.change_put_off", vm=vm_id, reason=str(error)
            )
            return False
        return True
