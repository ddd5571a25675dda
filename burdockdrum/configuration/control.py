"""The role of a control VM: commits changes and confirms its state."""

from loguru import logger
import msgspec

from burdockdrum.configuration.control_state import Command
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.control_state import decode_change_result
from burdockdrum.configuration.control_state import decode_lease_result
from burdockdrum.configuration.control_state import encode_command
from burdockdrum.configuration.local import LocalConfiguration
from burdockdrum.configuration.messages import Propose
from burdockdrum.configuration.messages import ProposeReply
from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.leases import LeaseCommand
from burdockdrum.leases import LeaseResult
from burdockdrum.leases import ProposalFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Change
from burdockdrum.resources import Configuration
from burdockdrum.resources import Revised

BARRIER_INTERVAL_SECONDS = 1.0
# Shorter until the first confirmation after a start, because until then all
# VMs that follow this one refuse requests.
STARTUP_BARRIER_INTERVAL_SECONDS = 0.1
MAX_PROPOSE_TIMEOUT_SECONDS = 10.0


async def propose_to_log(
    log: ReplicatedLog, command: Command, timeout: float
) -> bytes:
    """Commit a command and return its encoded result.

    :raises ProposalFailed: with whether it may still be applied
    """
    try:
        applied = await log.propose(encode_command(command), timeout=timeout)
    except NotAccepted as error:
        raise ProposalFailed(str(error), may_apply=False) from error
    except OutcomeUnknown as error:
        raise ProposalFailed(str(error), may_apply=True) from error
    return applied.result


async def propose_lease(
    log: ReplicatedLog, command: LeaseCommand, timeout: float
) -> LeaseResult:
    """Commit a lease command and return its result.

    :raises ProposalFailed: with whether it may still be applied
    """
    return decode_lease_result(await propose_to_log(log, command, timeout))


class ControlStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the replicated log on a control VM."""

    role: str
    leader_id: str | None
    term: int
    applied_index: int
    halt_reason: str | None
    voter_ids: list[str]


class ControlNode:
    """Applies the replicated state on this VM and commits changes."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        local: LocalConfiguration,
        state: ControlState,
        log: ReplicatedLog,
    ) -> None:
        """Subscribe to the state and to proposals."""
        self._clock = clock
        self._local = local
        self._store = state.store
        self._log = log
        self._is_confirmation_requested = False
        state.store.listeners.append(self._apply_revision)
        peers.register(Propose, self._receive_proposal)

    async def propose(self, change: Change, timeout: float) -> ProposeReply:
        """Commit a change.

        :param timeout: seconds to wait
        """
        try:
            result = await propose_to_log(self._log, change, timeout)
        except ProposalFailed as error:
            return ProposeReply(may_apply=error.may_apply, reason=str(error))
        return ProposeReply(
            result=decode_change_result(result),
            leader_id=self._log.leader_id,
        )

    async def read_agreed(self, timeout: float) -> Configuration:
        """Return a configuration with all changes acknowledged so far.

        :param timeout: seconds to wait
        :raises NotCurrent: if no quorum confirmed it in time
        """
        await self._log.read_barrier(timeout=timeout)
        return self._store.configuration

    def status(self) -> ControlStatus:
        """Return the state of the log."""
        log = self._log
        return ControlStatus(
            role=log.role.value,
            leader_id=log.leader_id,
            term=log.term,
            applied_index=log.applied_index,
            halt_reason=log.halt_reason,
            voter_ids=[m.vm_id for m in log.members if m.voter],
        )

    async def run(self) -> None:
        """Confirm periodically that the local state is current."""
        while True:
            self._is_confirmation_requested = False
            confirmed = await self._confirm()
            await self._clock.sleep(STARTUP_BARRIER_INTERVAL_SECONDS)
            if confirmed or self._local.is_synced:
                await self._pause()

    async def _pause(self) -> None:
        pause = BARRIER_INTERVAL_SECONDS - STARTUP_BARRIER_INTERVAL_SECONDS
        until = self._clock.monotonic() + pause
        while (
            not self._is_confirmation_requested
            and self._clock.monotonic() < until
        ):
            await self._clock.sleep(STARTUP_BARRIER_INTERVAL_SECONDS)

    def request_confirmation(self) -> None:
        """Confirm without waiting for the interval, as a VM awaits it."""
        self._is_confirmation_requested = True

    async def _confirm(self) -> bool:
        moment = self._clock.monotonic()
        try:
            await self._log.read_barrier(timeout=BARRIER_INTERVAL_SECONDS)
        except NotCurrent as error:
            logger.debug(
                "could not confirm that the configuration is current: {}",
                error,
            )
            return False
        addresses = {m.vm_id: m.address for m in self._log.members}
        self._local.update_control_addresses(addresses, moment)
        self._local.confirm_current(moment)
        return True

    def _apply_revision(self, revised: Revised | None) -> None:
        history = self._local.history
        if revised is None or not history.advance([revised]):
            history.replace(self._store.configuration)

    async def _receive_proposal(
        self, sender: Sender, message: Propose
    ) -> Message | None:
        timeout = min(message.timeout, MAX_PROPOSE_TIMEOUT_SECONDS)
        return await self.propose(message.change, timeout)
