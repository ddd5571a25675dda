"""Claims as an entry VM uses them, in whichever region it is."""

import asyncio
import contextlib
import random

import msgspec

from burdockdrum.claims.coordinator import Coordinator
from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.keeper import Keeper
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import SettleReply
from burdockdrum.claims.messages import TakeCall
from burdockdrum.claims.messages import TakeOutcome
from burdockdrum.claims.messages import TakeReply
from burdockdrum.claims.messages import TicketCall
from burdockdrum.claims.messages import TicketReply
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.recovery import Recovery
from burdockdrum.claims.refusals import explain
from burdockdrum.configuration import ConfigurationService
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Configuration
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory

# Longer than the coordinator takes to collect votes and give them back.
TAKE_SECONDS = 2.5
MAX_COORDINATORS = 2
TIDY_SECONDS = 10.0
CONFIRM_POLL_SECONDS = 0.25


class Claim:
    """A claim that this VM holds for a request; settled exactly once."""

    def __init__(
        self, *, claims: "Claims", record: ClaimRecord, home_region: str
    ) -> None:
        """Create a claim that was granted."""
        self._claims = claims
        self._record = record
        self._home_region = home_region

    async def release(self) -> None:
        """Give the key back: the request provably did not run."""
        await self._settle(None)

    async def lose(self) -> None:
        """Note that the request may have run and no answer will come."""
        await self._settle(ClaimState.LOST)

    async def keep(self, answer: StoredAnswer | None) -> None:
        """Keep the answer for whoever sends the same key again.

        :param answer: None where it went out as a stream
        """
        await self._settle(ClaimState.RAN, answer)

    async def _settle(
        self, state: ClaimState | None, answer: StoredAnswer | None = None
    ) -> None:
        call = SettleCall(
            client_id=self._record.client_id,
            key=self._record.key,
            owner=self._record.owner,
            state=state,
            status=answer.status if answer else 0,
            content_type=answer.content_type if answer else "",
            headers=dict(answer.headers) if answer else {},
            body=answer.body if answer else None,
            pass_on=True,
        )
        await self._claims.settle(call, self._home_region)


class Claims:
    """Take claims at the client's home region, and keep those of this one."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        vms: VmDirectory,
        configuration: ConfigurationService,
        keeper: Keeper | None,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create the claims of a VM.

        :param keeper: set where this VM is one of the region's keepers
        :param addresses_by_id: control addresses of this region's keepers
        """
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._vms = vms
        self._configuration = configuration
        self._keeper = keeper
        self._addresses_by_id = addresses_by_id
        self._coordinator = Coordinator(
            peers=peers,
            rng=rng,
            keeper=keeper,
            addresses_by_id=addresses_by_id,
        )
        self._last = configuration.current
        self._confirmed = False
        peers.register(TakeCall, self._take_take)
        peers.register(SettleCall, self._take_settle)
        peers.register(TicketCall, self._take_ticket)
        peers.register(VoteCall, self._take_vote)
        peers.register(RecoverCall, self._take_recover)
        peers.register(EpochCall, self._take_epoch)

    async def take(
        self,
        *,
        client_id: str,
        key: str,
        fingerprint: str,
        owner: str,
        seconds: float,
    ) -> Claim | StoredAnswer:
        """Obtain the claim on a key, or the answer that it has brought.

        :param owner: the id of the request that would run
        :param seconds: how long the run may take
        :raises Refusal: with what is known of the run that holds the key
        """
        home_region = self._find_home(client_id)
        record = ClaimRecord(
            client_id=client_id,
            key=key,
            fingerprint=fingerprint,
            owner=owner,
            taken_at=self._clock.wall(),
            seconds=seconds,
        )
        reply = await self._take(record, home_region)
        self._timeline.record(
            "claim.asked", request_id=owner, outcome=reply.outcome.value
        )
        if reply.outcome is TakeOutcome.GRANTED:
            return Claim(claims=self, record=record, home_region=home_region)
        return explain(reply, record, now=self._clock.wall())

    async def settle(self, call: SettleCall, home_region: str) -> None:
        """Tell the keepers how a run ended."""
        if home_region == self._vms.identity.region:
            await self._coordinator.settle(call)
            return
        for address in self._find_coordinators(home_region):
            with contextlib.suppress(CallFailed):
                await self._peers.call(
                    address, call, SettleReply, timeout=TAKE_SECONDS
                )
                return

    async def issue_ticket(self, client_id: str) -> str:
        """Return a key that is provably new, also after a restart.

        :raises Refusal: if no keeper of the home region is reached
        """
        home_region = self._find_home(client_id)
        ticket: str | None = None
        if home_region == self._vms.identity.region:
            ticket = await self._coordinator.issue_ticket()
        else:
            ticket = await self._ask_for_ticket(home_region)
        if ticket is None:
            raise Refusal(
                code=RefusalCode.CLAIM_UNREACHABLE,
                message=f"no keeper of claims in {home_region!r} is reached",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )
        return ticket

    async def run(self) -> None:
        """Bring this VM's keeper back and keep its book short."""
        if self._keeper is None:
            return
        await self._keeper.load()
        self._last = self._configuration.current
        recovery = Recovery(
            keeper=self._keeper,
            peers=self._peers,
            clock=self._clock,
            addresses_by_id=self._addresses_by_id,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(recovery.run())
            group.create_task(self._tidy(self._keeper))
            group.create_task(self._wait_until_confirmed())
            self._configuration.add_listener(
                lambda new: self._note_clients(group, new)
            )

    async def _tidy(self, keeper: Keeper) -> None:
        while True:
            await self._clock.sleep(TIDY_SECONDS)
            await keeper.tidy()

    def _note_clients(
        self, group: asyncio.TaskGroup, new: Configuration
    ) -> None:
        """Note clients that were not there in the revision before.

        That counts only once a control VM has said that a revision seen
        here was the newest: a VM that restarts may be shown old ones first,
        in which clients are missing that have used keys since.
        """
        last, self._last = self._last, new
        if self._keeper is None or not self._confirmed:
            return
        for client_id in new.clients_by_id.keys() - last.clients_by_id.keys():
            group.create_task(self._keeper.note_new_client(client_id))

    async def _wait_until_confirmed(self) -> None:
        started_at = self._clock.monotonic()
        while not self._confirmed:
            await self._clock.sleep(CONFIRM_POLL_SECONDS)
            age = self._configuration.age
            uptime = self._clock.monotonic() - started_at
            self._confirmed = age is not None and age <= uptime

    def _find_home(self, client_id: str) -> str:
        client = self._configuration.current.clients_by_id.get(client_id)
        if client is None:
            raise Refusal(
                code=RefusalCode.UNKNOWN_CLIENT,
                message=f"there is no client {client_id!r}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return client.home_region

    async def _take(self, record: ClaimRecord, home_region: str) -> TakeReply:
        if home_region == self._vms.identity.region:
            return await self._coordinator.take(record)
        asked = []
        for address in self._find_coordinators(home_region):
            asked.append(address)
            with contextlib.suppress(CallFailed):
                return await self._peers.call(
                    address,
                    TakeCall(record=record),
                    TakeReply,
                    timeout=TAKE_SECONDS,
                )
        # A lost reply may have been a grant: nobody will use it.
        give_back = SettleCall(
            client_id=record.client_id,
            key=record.key,
            owner=record.owner,
            state=None,
            pass_on=True,
        )
        for address in asked:
            self._peers.send(address, give_back)
        return TakeReply(outcome=TakeOutcome.UNREACHABLE)

    async def _ask_for_ticket(self, home_region: str) -> str | None:
        for address in self._find_coordinators(home_region):
            with contextlib.suppress(CallFailed):
                reply = await self._peers.call(
                    address, TicketCall(), TicketReply, timeout=TAKE_SECONDS
                )
                return reply.ticket
        return None

    def _find_coordinators(self, region: str) -> list[str]:
        views = [
            view
            for view in self._vms.live_vms()
            if view.identity.region == region
        ]
        views.sort(key=lambda view: view.draining)
        chosen = views[:MAX_COORDINATORS]
        return [view.identity.control_address for view in chosen]

    async def _take_take(self, sender: Sender, call: TakeCall) -> Message:
        return await self._coordinator.take(call.record)

    async def _take_settle(self, sender: Sender, call: SettleCall) -> Message:
        if call.pass_on:
            await self._coordinator.settle(
                msgspec.structs.replace(call, pass_on=False)
            )
        elif self._keeper is not None:
            await self._keeper.settle(call)
        return SettleReply()

    async def _take_ticket(self, sender: Sender, call: TicketCall) -> Message:
        return TicketReply(ticket=await self._coordinator.issue_ticket())

    async def _take_vote(
        self, sender: Sender, call: VoteCall
    ) -> Message | None:
        if self._keeper is None:
            return None
        return await self._keeper.vote(call)

    async def _take_recover(
        self, sender: Sender, call: RecoverCall
    ) -> Message | None:
        if self._keeper is None:
            return None
        return self._keeper.answer_recovery(call)

    async def _take_epoch(
        self, sender: Sender, call: EpochCall
    ) -> Message | None:
        if self._keeper is None:
            return None
        return await self._keeper.enter(call)
