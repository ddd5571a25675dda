"""Notice a disk that was put back to an older image.

Each member remembers, in memory, the newest term and index that every other
disk has acknowledged to it. A member that starts asks the others what they
remember of its disk, and takes part only once it has heard from as many as
make a quorum with itself. Within one term a log only grows, and a term is
synced before it is told to others; so a disk that holds less was put back.
"""

import asyncio
from dataclasses import dataclass

from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import WitnessQuery
from burdockdrum.consensus.messages import WitnessReply
from burdockdrum.consensus.replica import Replica
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender


@dataclass(frozen=True, kw_only=True, order=True)
class Acknowledged:
    """The newest thing that a disk is known to have held."""

    term: int
    index: int


class Witness:
    """What this member remembers of other disks, and asks about its own."""

    def __init__(self, *, replica: Replica, peers: Peers) -> None:
        """Answer the other members from now on."""
        self._replica = replica
        self._peers = peers
        self._acknowledged_by_disk: dict[str, Acknowledged] = {}
        replica.acknowledged = self.note
        peers.register(WitnessQuery, self._on_query)

    def note(self, disk_id: str, term: int, index: int) -> None:
        """Remember that a disk held this."""
        seen = Acknowledged(term=term, index=index)
        known = self._acknowledged_by_disk.get(disk_id, seen)
        self._acknowledged_by_disk[disk_id] = max(seen, known)

    async def run(self) -> None:
        """Ask until enough members have answered."""
        replica = self._replica
        answered: set[str] = set()
        while not replica.admitted and replica.halt_reason is None:
            voters = replica.configuration.voters
            needed = len(voters) // 2
            if not replica.is_voter:
                needed = 0
            if len(answered) >= needed:
                replica.admitted = True
                return
            others = [m for m in voters if m.vm_id != replica.vm_id]
            async with asyncio.TaskGroup() as group:
                for member in others:
                    group.create_task(self._ask(member, answered))

    async def _ask(self, member: Member, answered: set[str]) -> None:
        replica = self._replica
        try:
            reply = await self._peers.call(
                member.address,
                WitnessQuery(disk_id=replica.disk_id),
                WitnessReply,
                timeout=replica.settings.call_timeout_seconds,
            )
        except CallFailed:
            return
        if reply.own_disk_id != member.disk_id:
            return
        answered.add(member.vm_id)
        self._compare(member, reply)

    def _compare(self, member: Member, reply: WitnessReply) -> None:
        storage = self._replica.storage
        went_back = reply.term > storage.term or (
            reply.term == storage.term and reply.index > storage.last_index
        )
        if went_back:
            self._replica.halt(
                f"{member.vm_id} saw this disk at entry {reply.index} of term "
                f"{reply.term}, but it ends at entry {storage.last_index} and "
                f"term {storage.term}: it holds an older image. Remove this "
                "member, empty the data folder and add it again."
            )

    async def _on_query(
        self, sender: Sender, message: WitnessQuery
    ) -> Message | None:
        known = self._acknowledged_by_disk.get(
            message.disk_id, Acknowledged(term=0, index=0)
        )
        return WitnessReply(
            own_disk_id=self._replica.disk_id,
            term=known.term,
            index=known.index,
        )
