"""Acquire and settle claims from any entry VM, in any region.

A claim is acquired in the client's home region: by the local coordinator on
a VM of that region, else by a call to one of its VMs.
"""

import asyncio
import contextlib
import random

import msgspec

from burdockdrum.claims.coordinator import Coordinator
from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.messages import AcquireCall
from burdockdrum.claims.messages import AcquireOutcome
from burdockdrum.claims.messages import AcquireReply
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import SettleReply
from burdockdrum.claims.messages import TicketCall
from burdockdrum.claims.messages import TicketReply
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.recovery import Recovery
from burdockdrum.claims.refusals import replay_or_refuse
from burdockdrum.claims.replica import ClaimReplica
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

# Longer than the coordinator takes to collect votes and release them.
ACQUIRE_TIMEOUT_SECONDS = 2.5
MAX_COORDINATORS = 2
CLEANUP_INTERVAL_SECONDS = 10.0
CONFIRM_POLL_INTERVAL_SECONDS = 0.25


class Claim:
    """A granted claim, which the request's entry VM settles exactly once."""

    def __init__(
        self, *, claims: "ClaimService", record: ClaimRecord, home_region: str
    ) -> None:
        """Wrap the record of a granted claim."""
        self._claims = claims
        self._record = record
        self._home_region = home_region

    async def release(self) -> None:
        """Release the key: the request provably did not run."""
        await self._settle(None)

    async def mark_lost(self) -> None:
        """Record that the request may have run and its answer is lost."""
        await self._settle(ClaimState.LOST)

    async def mark_ran(self, answer: StoredAnswer | None) -> None:
        """Record that the request ran, and store its answer for replays.

        :param answer: None if the answer was streamed
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


class ClaimService:
    """Acquire claims in any region and serve the claim calls of this one."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        vms: VmDirectory,
        configuration: ConfigurationService,
        replica: ClaimReplica | None,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create the service and register its message handlers.

        :param replica: set if this VM is one of the region's claim replicas
        :param addresses_by_id: control addresses of this region's replicas
        """
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._vms = vms
        self._configuration = configuration
        self._replica = replica
        self._addresses_by_id = addresses_by_id
        self._coordinator = Coordinator(
            peers=peers,
            rng=rng,
            replica=replica,
            addresses_by_id=addresses_by_id,
        )
        self._last_configuration = configuration.current
        self._confirmed = False
        peers.register(AcquireCall, self._handle_acquire)
        peers.register(SettleCall, self._handle_settle)
        peers.register(TicketCall, self._handle_ticket)
        peers.register(VoteCall, self._handle_vote)
        peers.register(RecoverCall, self._handle_recover)
        peers.register(EpochCall, self._handle_epoch)

    async def acquire(
        self,
        *,
        client_id: str,
        key: str,
        fingerprint: str,
        owner: str,
        seconds: float,
    ) -> Claim | StoredAnswer:
        """Acquire the claim on a key, or return the answer stored for it.

        :param owner: id of the request that is to run
        :param seconds: the longest time that the run may take
        :raises Refusal: if the claim is not granted and no answer is stored
        """
        home_region = self._find_home_region(client_id)
        record = ClaimRecord(
            client_id=client_id,
            key=key,
            fingerprint=fingerprint,
            owner=owner,
            taken_at=self._clock.wall(),
            seconds=seconds,
        )
        reply = await self._acquire(record, home_region)
        self._timeline.record(
            "claim.asked", request_id=owner, outcome=reply.outcome.value
        )
        if reply.outcome is AcquireOutcome.GRANTED:
            return Claim(claims=self, record=record, home_region=home_region)
        return replay_or_refuse(reply, record, now=self._clock.wall())

    async def settle(self, call: SettleCall, home_region: str) -> None:
        """Report the end of a run to the claim replicas."""
        if home_region == self._vms.identity.region:
            await self._coordinator.settle(call)
            return
        for address in self._find_coordinators(home_region):
            with contextlib.suppress(CallFailed):
                await self._peers.call(
                    address, call, SettleReply, timeout=ACQUIRE_TIMEOUT_SECONDS
                )
                return

    async def issue_ticket(self, client_id: str) -> str:
        """Return a key that provably was never used.

        :raises Refusal: if no claim replica of the home region is reachable
        """
        home_region = self._find_home_region(client_id)
        ticket: str | None = None
        if home_region == self._vms.identity.region:
            ticket = await self._coordinator.issue_ticket()
        else:
            ticket = await self._request_ticket(home_region)
        if ticket is None:
            raise Refusal(
                code=RefusalCode.CLAIM_UNREACHABLE,
                message=f"no claim replica in {home_region!r} is reachable",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )
        return ticket

    async def run(self) -> None:
        """Restore this VM's replica, then expire its claims periodically."""
        if self._replica is None:
            return
        recovery = Recovery(
            replica=self._replica,
            peers=self._peers,
            clock=self._clock,
            addresses_by_id=self._addresses_by_id,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._replica.run())
            await self._replica.loaded.wait()
            self._last_configuration = self._configuration.current
            group.create_task(recovery.run())
            group.create_task(self._clean_up(self._replica))
            group.create_task(self._wait_until_confirmed())
            self._configuration.add_listener(self._record_new_clients)

    async def _clean_up(self, replica: ClaimReplica) -> None:
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_SECONDS)
            replica.clean_up()

    def _record_new_clients(self, new: Configuration) -> None:
        """Record clients that the previous configuration did not have.

        Skipped until a control VM has confirmed that the configuration is
        current: after a restart this VM may first receive old revisions,
        which lack clients that have used keys since.
        """
        last, self._last_configuration = self._last_configuration, new
        if self._replica is None or not self._confirmed:
            return
        for client_id in new.clients_by_id.keys() - last.clients_by_id.keys():
            self._replica.record_new_client(client_id)

    async def _wait_until_confirmed(self) -> None:
        started_at = self._clock.monotonic()
        while not self._confirmed:
            await self._clock.sleep(CONFIRM_POLL_INTERVAL_SECONDS)
            age = self._configuration.age
            uptime = self._clock.monotonic() - started_at
            self._confirmed = age is not None and age <= uptime

    def _find_home_region(self, client_id: str) -> str:
        client = self._configuration.current.clients_by_id.get(client_id)
        if client is None:
            raise Refusal(
                code=RefusalCode.UNKNOWN_CLIENT,
                message=f"there is no client {client_id!r}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return client.home_region

    async def _acquire(
        self, record: ClaimRecord, home_region: str
    ) -> AcquireReply:
        if home_region == self._vms.identity.region:
            return await self._coordinator.acquire(record)
        tried = []
        for address in self._find_coordinators(home_region):
            tried.append(address)
            with contextlib.suppress(CallFailed):
                return await self._peers.call(
                    address,
                    AcquireCall(record=record),
                    AcquireReply,
                    timeout=ACQUIRE_TIMEOUT_SECONDS,
                )
        # A reply that was lost may have granted the claim, which is unused.
        release_call = SettleCall(
            client_id=record.client_id,
            key=record.key,
            owner=record.owner,
            state=None,
            pass_on=True,
        )
        for address in tried:
            self._peers.send(address, release_call)
        return AcquireReply(outcome=AcquireOutcome.UNREACHABLE)

    async def _request_ticket(self, home_region: str) -> str | None:
        for address in self._find_coordinators(home_region):
            with contextlib.suppress(CallFailed):
                reply = await self._peers.call(
                    address,
                    TicketCall(),
                    TicketReply,
                    timeout=ACQUIRE_TIMEOUT_SECONDS,
                )
                if reply.ticket is not None:
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

    async def _handle_acquire(
        self, sender: Sender, call: AcquireCall
    ) -> Message:
        return await self._coordinator.acquire(call.record)

    async def _handle_settle(
        self, sender: Sender, call: SettleCall
    ) -> Message:
        if call.pass_on:
            await self._coordinator.settle(
                msgspec.structs.replace(call, pass_on=False)
            )
        elif self._replica is not None:
            return SettleReply(stored=await self._replica.settle(call))
        return SettleReply()

    async def _handle_ticket(
        self, sender: Sender, call: TicketCall
    ) -> Message:
        if self._replica is not None:
            # Replicas that are not ready must not ask each other in circles.
            return TicketReply(ticket=self._coordinator.issue_own_ticket())
        return TicketReply(ticket=await self._coordinator.issue_ticket())

    async def _handle_vote(
        self, sender: Sender, call: VoteCall
    ) -> Message | None:
        if self._replica is None:
            return None
        return await self._replica.vote(call)

    async def _handle_recover(
        self, sender: Sender, call: RecoverCall
    ) -> Message | None:
        if self._replica is None:
            return None
        return self._replica.handle_recovery(call)

    async def _handle_epoch(
        self, sender: Sender, call: EpochCall
    ) -> Message | None:
        if self._replica is None:
            return None
        return await self._replica.enter_epoch(call)
