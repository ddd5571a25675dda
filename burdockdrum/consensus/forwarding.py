"""Commands and reads on any control VM, through the leader."""

import asyncio

from burdockdrum.consensus.applier import Applier
from burdockdrum.consensus.copies import Copies
from burdockdrum.consensus.interface import Applied
from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import NotCurrent
from burdockdrum.consensus.interface import OutcomeUnknown
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.consensus.messages import ProposeRequest
from burdockdrum.consensus.messages import ReadReply
from burdockdrum.consensus.messages import ReadRequest
from burdockdrum.consensus.replica import Replica
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

_RETRY_SECONDS = 0.05
_RESEND_SECONDS = 1.0


class Forwarding:
    """Finds the leader for a command or a read, and answers for it."""

    def __init__(
        self,
        *,
        replica: Replica,
        applier: Applier,
        leadership: Leadership,
        peers: Peers,
    ) -> None:
        """Answer the other members from now on."""
        self._replica = replica
        self._applier = applier
        self._leadership = leadership
        self._peers = peers
        self._copies = Copies()
        peers.register(ProposeRequest, self._on_propose)
        peers.register(ReadRequest, self._on_read)

    async def propose(self, command: bytes, timeout: float) -> Applied:
        """Have a command applied by whoever leads.

        It is passed on again only after a refusal that is final.
        """
        deadline = self._replica.clock.monotonic() + timeout
        reason = "no leader is known"
        while True:
            left = deadline - self._replica.clock.monotonic()
            if left <= 0:
                raise NotAccepted(reason)
            try:
                return await self._try_propose(command, left)
            except NotAccepted as refusal:
                reason = str(refusal)
            await self._replica.clock.sleep(_RETRY_SECONDS)

    async def read_barrier(self, timeout: float) -> int:
        """Wait until a current index is applied here."""
        try:
            async with asyncio.timeout(timeout):
                index = await self._find_read_index(timeout)
                await self._applier.wait_for(index)
                return index
        except TimeoutError:
            raise NotCurrent("no leader confirmed the read in time") from None

    async def _try_propose(self, command: bytes, timeout: float) -> Applied:
        replica = self._replica
        if replica.role is Role.LEADER:
            return await self._propose_here(command, timeout)
        address = self._replica.leader_address
        if address is None:
            raise NotAccepted("no leader is known")
        request = ProposeRequest(
            number=replica.next_request(),
            term=replica.storage.term,
            command=command,
            timeout=timeout,
        )
        reply = await self._call_leader(address, request)
        if reply.refused:
            raise NotAccepted(reply.reason)
        if reply.unknown:
            raise OutcomeUnknown(reply.reason)
        return Applied(index=reply.index, result=reply.result)

    async def _call_leader(
        self, address: str, request: ProposeRequest
    ) -> ProposeReply:
        """Send a command until it is answered, its term or time is over.

        One lost message would else cost the caller the whole time. The
        leader tells the copies by their number.
        """
        replica = self._replica
        deadline = replica.clock.monotonic() + request.timeout
        while True:
            left = deadline - replica.clock.monotonic()
            try:
                return await self._peers.call(
                    address,
                    request,
                    ProposeReply,
                    timeout=min(left, _RESEND_SECONDS),
                )
            except CallFailed as error:
                left = deadline - replica.clock.monotonic()
                if (
                    left < _RETRY_SECONDS
                    or replica.storage.term != request.term
                ):
                    raise OutcomeUnknown(str(error)) from error

    async def _propose_here(self, command: bytes, timeout: float) -> Applied:
        entry = self._leadership.append_command(command)
        try:
            async with asyncio.timeout(timeout):
                return await self._applier.expect(entry)
        except TimeoutError:
            raise OutcomeUnknown(
                f"entry {entry.index} was not committed in {timeout} s"
            ) from None

    async def _on_propose(
        self, sender: Sender, message: ProposeRequest
    ) -> Message | None:
        return await self._copies.answer(
            sender, message.number, lambda: self._answer_propose(message)
        )

    async def _answer_propose(self, message: ProposeRequest) -> ProposeReply:
        replica = self._replica
        if message.term <= replica.term_at_start:
            # An earlier start of this VM may have taken a first copy.
            return ProposeReply(unknown=True, reason="this VM restarted")
        if replica.storage.term < message.term:
            # Not final: this member may yet lead in that term.
            return ProposeReply(unknown=True, reason="an older term here")
        if replica.storage.term > message.term:
            return ProposeReply(refused=True, reason="a newer term here")
        if replica.role is Role.CANDIDATE:
            return ProposeReply(unknown=True, reason="an election goes on")
        try:
            applied = await self._propose_here(
                message.command, message.timeout
            )
        except NotAccepted as refusal:
            return ProposeReply(refused=True, reason=str(refusal))
        except OutcomeUnknown as doubt:
            return ProposeReply(unknown=True, reason=str(doubt))
        return ProposeReply(index=applied.index, result=applied.result)

    async def _find_read_index(self, timeout: float) -> int:
        while True:
            index = await self._try_read(timeout)
            if index is not None:
                return index
            await self._replica.clock.sleep(_RETRY_SECONDS)

    async def _try_read(self, timeout: float) -> int | None:
        if self._replica.role is Role.LEADER:
            try:
                return await self._leadership.confirm_read()
            except NotCurrent:
                return None
        address = self._replica.leader_address
        if address is None:
            return None
        wait = min(timeout, self._replica.settings.call_timeout_seconds)
        try:
            reply = await self._peers.call(
                address, ReadRequest(timeout=wait), ReadReply, timeout=wait
            )
        except CallFailed:
            return None
        return reply.index

    async def _on_read(
        self, sender: Sender, message: ReadRequest
    ) -> Message | None:
        if self._replica.role is not Role.LEADER:
            return ReadReply(index=None)
        try:
            async with asyncio.timeout(message.timeout):
                index = await self._leadership.confirm_read()
        except (NotCurrent, TimeoutError):
            return ReadReply(index=None)
        return ReadReply(index=index)
