"""The control VM's part: the agreed state, proposals and reports."""

from loguru import logger
import msgspec

from burdockdrum.configuration.control_state import Command
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.control_state import decode_change_result
from burdockdrum.configuration.control_state import decode_lease_result
from burdockdrum.configuration.control_state import encode_command
from burdockdrum.configuration.knowledge import Knowledge
from burdockdrum.configuration.messages import Propose
from burdockdrum.configuration.messages import Proposed
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

BARRIER_SECONDS = 1.0
# Until the first confirmation after a start every VM that follows this one
# refuses its callers: the leader is asked as soon as there is one.
FIRST_BARRIER_SECONDS = 0.1
MAX_PROPOSE_SECONDS = 10.0


async def propose_to_log(
    log: ReplicatedLog, command: Command, timeout: float
) -> bytes:
    """Have a command agreed and return its encoded result.

    :raises ProposalFailed: saying whether it may be applied all the same
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
    """Have a lease's command agreed.

    :raises ProposalFailed: saying whether it may be applied all the same
    """
    return decode_lease_result(await propose_to_log(log, command, timeout))


class ControlStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A control VM's view of the replicated log."""

    role: str
    leader_id: str | None
    term: int
    applied_index: int
    halt_reason: str | None
    voter_ids: list[str]


class Control:
    """Bring the agreed state into force here, and have changes agreed."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        knowledge: Knowledge,
        state: ControlState,
        log: ReplicatedLog,
    ) -> None:
        """Take over the state that the log changes."""
        self._clock = clock
        self._knowledge = knowledge
        self._store = state.store
        self._log = log
        self._is_wanted = False
        state.store.listeners.append(self._take_applied)
        peers.register(Propose, self._take_proposal)

    async def propose(self, change: Change, timeout: float) -> Proposed:
        """Have a change agreed.

        :param timeout: seconds to wait
        """
        try:
            result = await propose_to_log(self._log, change, timeout)
        except ProposalFailed as error:
            return Proposed(may_apply=error.may_apply, reason=str(error))
        return Proposed(
            result=decode_change_result(result),
            leader_id=self._log.leader_id,
        )

    async def read_agreed(self, timeout: float) -> Configuration:
        """Return what includes every change acknowledged before the call.

        :param timeout: seconds to wait
        :raises NotCurrent: if no quorum confirmed it in time
        """
        await self._log.read_barrier(timeout=timeout)
        return self._store.configuration

    def status(self) -> ControlStatus:
        """Return this VM's view of the log."""
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
        """Make sure again and again that nothing newer was accepted."""
        while True:
            self._is_wanted = False
            confirmed = await self._confirm()
            await self._clock.sleep(FIRST_BARRIER_SECONDS)
            if confirmed or self._knowledge.known:
                await self._pause()

    async def _pause(self) -> None:
        pause = BARRIER_SECONDS - FIRST_BARRIER_SECONDS
        until = self._clock.monotonic() + pause
        while not self._is_wanted and self._clock.monotonic() < until:
            await self._clock.sleep(FIRST_BARRIER_SECONDS)

    def confirm_soon(self) -> None:
        """Make sure before the next time is due: a VM waits for it."""
        self._is_wanted = True

    async def _confirm(self) -> bool:
        moment = self._clock.monotonic()
        try:
            await self._log.read_barrier(timeout=BARRIER_SECONDS)
        except NotCurrent as error:
            logger.debug("the configuration may not be current: {}", error)
            return False
        addresses = {m.vm_id: m.address for m in self._log.members}
        self._knowledge.note_control(addresses, moment)
        self._knowledge.note_current(moment)
        return True

    def _take_applied(self, revised: Revised | None) -> None:
        history = self._knowledge.history
        if revised is None or not history.advance([revised]):
            history.replace(self._store.configuration)

    async def _take_proposal(
        self, sender: Sender, message: Propose
    ) -> Message | None:
        timeout = min(message.timeout, MAX_PROPOSE_SECONDS)
        return await self.propose(message.change, timeout)
