"""Bootstraps a cluster: agrees on the first configuration.

The founder with the lowest VM id collects the disk ids of all founders in
the settings and proposes a configuration. Each founder accepts at most one
and syncs it; the cluster is formed once all have accepted. A VM that lost
its disk can't bootstrap a second cluster, as the others accepted the first.
"""

import asyncio

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
from burdockdrum.logs import log_failure
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.ports import DiskError

_RETRY_INTERVAL_SECONDS = 0.5


class Founding:
    """Bootstraps a cluster, or joins one, on behalf of this VM."""

    def __init__(
        self,
        *,
        file: IdentityFile,
        settings: LogSettings,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Register the handlers for the other founders' requests."""
        self._file = file
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._save_lock = asyncio.Lock()
        self.changed = Signal()
        peers.register(FoundingQuery, self._on_query)
        peers.register(FoundingProposal, self._on_proposal)

    async def run(self) -> None:
        """Retry until this disk belongs to a cluster."""
        addresses = self._settings.bootstrap_addresses_by_id
        if self._settings.vm_id not in addresses:
            return
        while not self._file.current.formed:
            replies = await self._query_all(FoundingQuery())
            await self._process_replies(replies)
            if not self._file.current.formed:
                await self._clock.sleep(_RETRY_INTERVAL_SECONDS)

    async def join(self, cluster_id: str) -> None:
        """Store that a leader has added this VM to its cluster."""
        async with self._save_lock:
            current = self._file.current
            if current.formed:
                return
            await self._save(
                msgspec.structs.replace(
                    current, formed=True, cluster_id=cluster_id
                )
            )
        self.changed.fire()

    def accepts_cluster(self, cluster_id: str) -> bool:
        """Return whether this data folder may take part in a cluster.

        An accepted founding configuration is binding: its cluster may have
        been formed without this VM having learned of it.
        """
        current = self._file.current
        if current.formed:
            return current.cluster_id == cluster_id
        if current.founding is not None:
            return current.founding.cluster_id == cluster_id
        return True

    async def _process_replies(self, replies: list[FoundingReply]) -> None:
        for reply in replies:
            if reply.formed and await self._adopt_if_accepted(reply.founding):
                return
        addresses = self._settings.bootstrap_addresses_by_id
        if self._settings.vm_id != min(addresses):
            return
        if len(replies) < len(addresses):
            return
        founding = self._file.current.founding
        if founding is None:
            founding = self._find_own_proposal(replies)
        if founding is None:
            if any(reply.founding or reply.formed for reply in replies):
                # Another disk of this VM took part in an earlier bootstrap.
                logger.warning("waiting to be added to the cluster")
                return
            founding = self._propose(replies)
        acceptances = await self._query_all(
            FoundingProposal(founding=founding)
        )
        accepted = [
            reply for reply in acceptances if reply.founding == founding
        ]
        if len(accepted) == len(addresses):
            await self._form(founding)

    def _find_own_proposal(
        self, replies: list[FoundingReply]
    ) -> Configuration | None:
        """Return a proposal of this disk that others may have accepted.

        Only this founder proposes it, and may not have stored it itself. Once
        the cluster is formed it had: then this disk has an older image.
        """
        if any(reply.formed for reply in replies):
            return None
        current = self._file.current
        founders = set(self._settings.bootstrap_addresses_by_id)
        for reply in replies:
            founding = reply.founding
            if (
                founding is not None
                and founding.has_voter(current.vm_id, current.disk_id)
                and {member.vm_id for member in founding.members} == founders
            ):
                return founding
        return None

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

    async def _adopt_if_accepted(self, founding: Configuration | None) -> bool:
        if founding is None or founding != self._file.current.founding:
            return False
        await self._form(founding)
        return True

    async def _form(self, founding: Configuration) -> None:
        async with self._save_lock:
            await self._save(
                msgspec.structs.replace(
                    self._file.current,
                    formed=True,
                    cluster_id=founding.cluster_id,
                )
            )
        self.changed.fire()

    async def _save(self, identity: FolderIdentity) -> None:
        """Save an identity; if the disk refuses, the former one stays.

        Whoever asked for the change repeats it.
        """
        try:
            await self._file.save(identity)
        except DiskError as error:
            log_failure("founding.not_stored", reason=str(error))

    async def _query_all(
        self, message: FoundingQuery | FoundingProposal
    ) -> list[FoundingReply]:
        async with asyncio.TaskGroup() as group:
            addresses = self._settings.bootstrap_addresses_by_id
            queries = [
                group.create_task(self._query(vm_id, address, message))
                for vm_id, address in sorted(addresses.items())
            ]
        replies = [task.result() for task in queries]
        return [reply for reply in replies if reply is not None]

    async def _query(
        self,
        vm_id: str,
        address: str,
        message: FoundingQuery | FoundingProposal,
    ) -> FoundingReply | None:
        if vm_id == self._settings.vm_id:
            return await self._handle(message)
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

    async def _handle(
        self, message: FoundingQuery | FoundingProposal
    ) -> FoundingReply:
        if isinstance(message, FoundingProposal):
            await self._accept(message.founding)
        current = self._file.current
        return FoundingReply(
            vm_id=current.vm_id,
            disk_id=current.disk_id,
            founding=current.founding,
            formed=current.formed,
        )

    async def _accept(self, founding: Configuration) -> None:
        async with self._save_lock:
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
        return await self._handle(message)

    async def _on_proposal(
        self, sender: Sender, message: FoundingProposal
    ) -> Message | None:
        return await self._handle(message)
