"""One suspect at a time in a data centre.

A request that may have crashed an endpoint runs apart from others. Were two
of them to run at a time, each could take an endpoint with it before either
is known to be the cause.
"""

import random

from burdockdrum.admission.messages import ReturnSuspectTurn
from burdockdrum.admission.messages import SuspectTurn
from burdockdrum.admission.messages import TakeSuspectTurn
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.routing import Demand
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory

TURN_TIMEOUT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 5.0


class SuspectTurns:
    """The turn of suspects, given by the relay of the data centre.

    Where the relay changes, the new one knows nothing of a turn that was
    given: at most one more suspect runs for each change.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        peers: Peers,
        vms: VmDirectory,
    ) -> None:
        """Create turns of which none is given."""
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._vms = vms
        self._holder = ""
        self._held_until = 0.0
        peers.register(TakeSuspectTurn, self._take)
        peers.register(ReturnSuspectTurn, self._return)

    async def acquire(self, demand: Demand) -> str:
        """Take the turn for a suspect.

        :returns: the turn, to be released
        :raises Refusal: if another suspect runs, or the relay is silent
        """
        turn = f"{self._vms.identity.vm_id}-{self._rng.getrandbits(64):x}"
        seconds = demand.deadline - self._clock.monotonic()
        message = TakeSuspectTurn(turn=turn, seconds=seconds)
        relay = self._vms.relay_of(self._vms.identity.data_centre)
        given = False
        if relay is None or relay.identity == self._vms.identity:
            given = self._give(message)
        else:
            try:
                reply = await self._peers.call(
                    relay.identity.control_address,
                    message,
                    SuspectTurn,
                    timeout=TURN_TIMEOUT_SECONDS,
                )
                given = reply.given
            except CallFailed:
                # The relay may have given it; it ends by itself.
                self.release(turn)
        if not given:
            raise Refusal(
                code=RefusalCode.OVERLOADED,
                message="a request that may have crashed an endpoint waits "
                "until another such has ended",
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER_SECONDS,
            )
        return turn

    def release(self, turn: str) -> None:
        """Give the turn back."""
        relay = self._vms.relay_of(self._vms.identity.data_centre)
        if relay is None or relay.identity == self._vms.identity:
            self._end(turn)
        else:
            address = relay.identity.control_address
            self._peers.send(address, ReturnSuspectTurn(turn=turn))

    def _give(self, message: TakeSuspectTurn) -> bool:
        now = self._clock.monotonic()
        if self._holder and self._held_until > now:
            return False
        self._holder = message.turn
        self._held_until = now + message.seconds
        return True

    def _end(self, turn: str) -> None:
        if self._holder == turn:
            self._holder = ""

    async def _take(
        self, sender: Sender, message: TakeSuspectTurn
    ) -> Message | None:
        return SuspectTurn(given=self._give(message))

    async def _return(
        self, sender: Sender, message: ReturnSuspectTurn
    ) -> Message | None:
        self._end(message.turn)
        return None
