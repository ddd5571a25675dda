"""Forwards commands and reads from any control VM to the leader."""

import asyncio

from burdockdrum.consensus.applier import Applier
from burdockdrum.consensus.deduplication import RequestDeduplicator
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
from burdockdrum.logs import LoggedState
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

_RETRY_INTERVAL_SECONDS = 0.05
_ATTEMPT_TIMEOUT_SECONDS = 1.0


class Forwarding:
    """Runs commands and reads on the leader, here or on another VM."""

    def __init__(
        self,
        *,
        replica: Replica,
        applier: Applier,
        leadership: Leadership,
        peers: Peers,
    ) -> None:
        """Register the handlers for other members' requests."""
        self._replica = replica
        self._applier = applier
        self._leadership = leadership
        self._peers = peers
        self._deduplicator = RequestDeduplicator()
        self._read_failure = LoggedState(
            begun="log.read_unconfirmed",
            ended="log.read_confirmed",
            read_time=replica.clock.monotonic,
        )
        self._unconfirmed_because = ""
        peers.register(ProposeRequest, self._on_propose)
        peers.register(ReadRequest, self._on_read)

    async def propose(self, command: bytes, timeout: float) -> Applied:
        """Apply a command through the current leader.

        It is retried only after a final rejection.
        """
        deadline = self._replica.clock.monotonic() + timeout
        reason = "no leader is known"
        while True:
            remaining = deadline - self._replica.clock.monotonic()
            if remaining <= 0:
                raise NotAccepted(reason)
            try:
                return await self._try_propose(command, remaining)
            except NotAccepted as refusal:
                reason = str(refusal)
            await self._replica.clock.sleep(_RETRY_INTERVAL_SECONDS)

    async def read_barrier(self, timeout: float) -> int:
        """Wait until a linearizable read index is applied here."""
        index = None
        try:
            async with asyncio.timeout(timeout):
                index = await self._find_read_index(timeout)
                await self._applier.wait_for(index)
        except TimeoutError:
            reason = self._unconfirmed_because
            if index is not None:
                reason = f"entry {index} is not applied here"
            self._read_failure.report(
                reason=reason, term=self._replica.storage.term
            )
            raise NotCurrent(
                f"no leader confirmed the read in time: {reason}"
            ) from None
        self._read_failure.end(index=index)
        return index

    @property
    def is_read_unconfirmed(self) -> bool:
        """Return whether the last read could not be confirmed."""
        return self._read_failure.holds

    async def _try_propose(self, command: bytes, timeout: float) -> Applied:
        replica = self._replica
        if replica.role is Role.LEADER:
            return await self._propose_locally(command, timeout)
        address = self._replica.leader_address
        if address is None:
            raise NotAccepted("no leader is known")
        request = ProposeRequest(
            number=replica.next_request_number(),
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
        """Resend a command until a reply, a new term or the deadline.

        Otherwise one lost message would cost the caller the whole timeout.
        The leader recognizes duplicates by the request number.
        """
        replica = self._replica
        deadline = replica.clock.monotonic() + request.timeout
        while True:
            remaining = deadline - replica.clock.monotonic()
            try:
                return await self._peers.call(
                    address,
                    request,
                    ProposeReply,
                    timeout=min(remaining, _ATTEMPT_TIMEOUT_SECONDS),
                )
            except CallFailed as error:
                remaining = deadline - replica.clock.monotonic()
                if (
                    remaining < _RETRY_INTERVAL_SECONDS
                    or replica.storage.term != request.term
                ):
                    raise OutcomeUnknown(str(error)) from error

    async def _propose_locally(
        self, command: bytes, timeout: float
    ) -> Applied:
        entry = self._leadership.append_command(command)
        try:
            async with asyncio.timeout(timeout):
                return await self._applier.result_of(entry)
        except TimeoutError:
            raise OutcomeUnknown(
                f"entry {entry.index} was not committed in {timeout} s"
            ) from None

    async def _on_propose(
        self, sender: Sender, message: ProposeRequest
    ) -> Message | None:
        return await self._deduplicator.run_once(
            sender, message.number, lambda: self._handle_propose(message)
        )

    async def _handle_propose(self, message: ProposeRequest) -> ProposeReply:
        replica = self._replica
        if message.term <= replica.term_at_start:
            # Before its restart this VM may have accepted a first copy.
            return ProposeReply(unknown=True, reason="this VM restarted")
        if replica.storage.term < message.term:
            # Not final: this member may still become the leader of that term.
            return ProposeReply(
                unknown=True, reason="this VM is in an older term"
            )
        if replica.storage.term > message.term:
            return ProposeReply(
                refused=True, reason="this VM is in a newer term"
            )
        if replica.role is Role.CANDIDATE:
            return ProposeReply(unknown=True, reason="an election is running")
        try:
            applied = await self._propose_locally(
                message.command, message.timeout
            )
        except NotAccepted as refusal:
            return ProposeReply(refused=True, reason=str(refusal))
        except OutcomeUnknown as outcome_unknown:
            return ProposeReply(unknown=True, reason=str(outcome_unknown))
        return ProposeReply(index=applied.index, result=applied.result)

    async def _find_read_index(self, timeout: float) -> int:
        while True:
            index = await self._try_read(timeout)
            if index is not None:
                return index
            await self._replica.clock.sleep(_RETRY_INTERVAL_SECONDS)

    async def _try_read(self, timeout: float) -> int | None:
        if self._replica.role is Role.LEADER:
            self._unconfirmed_because = "this VM leads without a quorum"
            try:
                return await self._leadership.confirm_read()
            except NotCurrent as error:
                self._unconfirmed_because = str(error)
                return None
        leader_id = self._replica.leader_id
        address = self._replica.leader_address
        if address is None:
            self._unconfirmed_because = "no leader is known"
            return None
        self._unconfirmed_because = f"{leader_id} has not replied"
        call_timeout = min(
            timeout, self._replica.settings.call_timeout_seconds
        )
        try:
            reply = await self._peers.call(
                address,
                ReadRequest(timeout=call_timeout),
                ReadReply,
                timeout=call_timeout,
            )
        except CallFailed as error:
            self._unconfirmed_because = f"{leader_id}: {error}"
            return None
        if reply.index is None:
            self._unconfirmed_because = f"{leader_id} has no quorum"
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
