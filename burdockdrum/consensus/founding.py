"""The first configuration, agreed by all who are named in the settings.

The founder with the lowest id collects the disk ids of all, and proposes a
configuration that names them. Each founder promises it on its synced disk,
and promises one at most. It is formed once all have promised. An emptied VM
can't found a second cluster: every other founder has promised the first,
with the disk that is gone.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
import msgspec

from burdockdrum.consensus.identity import FolderIdentity
from burdockdrum.consensus.identity import IdentityFile
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import FoundingProposal
from burdockdrum.consensus.messages import FoundingQuery
from burdockdrum.consensus.messages import FoundingReply
from burdockdrum.consensus.signals import Signal
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.ports import DiskError

_RETRY_SECONDS = 0.5


class Founding:
    """This VM's part in founding a cluster or being taken into one."""

    def __init__(
        self,
        *,
        file: IdentityFile,
        settings: LogSettings,
        peers: Peers,
        clock: Clock,
        on_disk_failure: Callable[[str], None],
    ) -> None:
        """Create it and answer the other founders from now on."""
        self._on_disk_failure = on_disk_failure
        self._file = file
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._saving = asyncio.Lock()
        self.changed = Signal()
        peers.register(FoundingQuery, self._on_query)
        peers.register(FoundingProposal, self._on_proposal)

    async def run(self) -> None:
        """Try until a cluster is formed with this disk."""
        addresses = self._settings.bootstrap_addresses_by_id
        if self._settings.vm_id not in addresses:
            return
        while not self._file.current.formed:
            replies = await self._ask_all(FoundingQuery())
            await self._act_on(replies)
            if not self._file.current.formed:
                await self._clock.sleep(_RETRY_SECONDS)

    async def join(self, cluster_id: str) -> None:
        """Note on the disk that a leader has taken this VM in."""
        async with self._saving:
            current = self._file.current
            if current.formed:
                return
            await self._save(
                msgspec.structs.replace(
                    current, formed=True, cluster_id=cluster_id
                )
            )
        self.changed.fire()

    def may_join(self, cluster_id: str) -> bool:
        """Say whether messages of a cluster are meant for this folder.

        A promise to one founding binds: that cluster may have been formed
        with it although this VM never heard so.
        """
        current = self._file.current
        if current.formed:
            return current.cluster_id == cluster_id
        if current.founding is not None:
            return current.founding.cluster_id == cluster_id
        return True

    async def _act_on(self, replies: list[FoundingReply]) -> None:
        for reply in replies:
            if reply.formed and await self._take_part(reply.founding):
                return
        addresses = self._settings.bootstrap_addresses_by_id
        if self._settings.vm_id != min(addresses):
            return
        if len(replies) < len(addresses):
            return
        founding = self._file.current.founding
        if founding is None:
            if any(reply.founding or reply.formed for reply in replies):
                # Another disk of this VM took part in a founding before.
                logger.warning("waiting to be added to the cluster")
                return
            founding = self._propose(replies)
        promises = await self._ask_all(FoundingProposal(founding=founding))
        agreed = [reply for reply in promises if reply.founding == founding]
        if len(agreed) == len(addresses):
            await self._form(founding)

    def _propose(self, replies: list[FoundingReply]) -> Configuration:
        addresses = self._settings.bootstrap_addresses_by_id
        members = tuple(
            Member(
                vm_id=reply.vm_id,
                address=addresses[reply.vm_id],
                disk_id=reply.disk_id,
            )
            for reply in sorted(replies, key=lambda reply: reply.vm_id)
        )
        cluster_id = "-".join(member.disk_id[:8] for member in members)
        return Configuration(cluster_id=cluster_id, members=members)

    async def _take_part(self, founding: Configuration | None) -> bool:
        if founding is None or founding != self._file.current.founding:
            return False
        await self._form(founding)
        return True

    async def _form(self, founding: Configuration) -> None:
        async with self._saving:
            await self._save(
                msgspec.structs.replace(
                    self._file.current,
                    formed=True,
                    cluster_id=founding.cluster_id,
                )
            )
        self.changed.fire()

    async def _save(self, identity: FolderIdentity) -> None:
        try:
            await self._file.save(identity)
        except DiskError as error:
            self._on_disk_failure(f"the disk failed: {error}")
            raise

    async def _ask_all(
        self, message: FoundingQuery | FoundingProposal
    ) -> list[FoundingReply]:
        async with asyncio.TaskGroup() as group:
            addresses = self._settings.bootstrap_addresses_by_id
            asking = [
                group.create_task(self._ask(vm_id, address, message))
                for vm_id, address in sorted(addresses.items())
            ]
        replies = [task.result() for task in asking]
        return [reply for reply in replies if reply is not None]

    async def _ask(
        self,
        vm_id: str,
        address: str,
        message: FoundingQuery | FoundingProposal,
    ) -> FoundingReply | None:
        if vm_id == self._settings.vm_id:
            return await self._answer(message)
        try:
            reply = await self._peers.call(
                address,
                message,
                FoundingReply,
                timeout=self._settings.call_timeout_seconds,
            )
        except CallFailed:
            return None
        return reply if reply.vm_id == vm_id else None

    async def _answer(
        self, message: FoundingQuery | FoundingProposal
    ) -> FoundingReply:
        if isinstance(message, FoundingProposal):
            await self._promise(message.founding)
        current = self._file.current
        return FoundingReply(
            vm_id=current.vm_id,
            disk_id=current.disk_id,
            founding=current.founding,
            formed=current.formed,
        )

    async def _promise(self, founding: Configuration) -> None:
        async with self._saving:
            current = self._file.current
            if current.founding is not None or current.formed:
                return
            if not founding.has_voter(current.vm_id, current.disk_id):
                return
            await self._save(
                msgspec.structs.replace(current, founding=founding)
            )

    async def _on_query(
        self, sender: Sender, message: FoundingQuery
    ) -> Message | None:
        return await self._answer(message)

    async def _on_proposal(
        self, sender: Sender, message: FoundingProposal
    ) -> Message | None:
        return await self._answer(message)
