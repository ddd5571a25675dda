"""Starts an election when no leader is heard from.

With the pre-vote of section 9.6 of Ongaro's thesis (2014).
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine

from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import VoteReply
from burdockdrum.consensus.messages import VoteRequest
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import wait_until
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

# The fraction of an election timeout to wait after a failed attempt. Usually
# another voter still protects the lease of the lost leader for a moment, so
# a whole timeout would double the time without a leader.
_RETRY_TIMEOUT_FRACTIONS = (0.1, 0.5)
# The fraction of an election timeout to wait after a restart. All members may
# have restarted at once, and a pre-vote does not disturb a leader.
_RESTART_TIMEOUT_FRACTIONS = (0.1, 0.4)


class Election:
    """Campaigns for this member and leads once it is elected."""

    def __init__(
        self, *, replica: Replica, leadership: Leadership, peers: Peers
    ) -> None:
        """Create the task."""
        self._replica = replica
        self._leadership = leadership
        self._peers = peers

    async def run(self) -> None:
        """Campaign after each election timeout until cancelled."""
        replica = self._replica
        timeout = self._draw_timeout()
        while True:
            transfer = await self._wait_for_election_timeout(timeout)
            timeout = self._draw_timeout()
            if not self._may_campaign():
                await replica.clock.sleep(replica.settings.heartbeat_seconds)
                continue
            elected = await self._campaign(transfer)
            if elected:
                await self._leadership.run()
            # Counted from the end of an attempt: two candidates that began
            # together would otherwise keep splitting the votes.
            replica.postpone_election()
            if not elected:
                timeout *= replica.rng.uniform(*_RETRY_TIMEOUT_FRACTIONS)

    def _may_campaign(self) -> bool:
        replica = self._replica
        return (
            replica.may_participate
            and replica.is_voter
            and replica.identity.current.formed
        )

    async def _wait_for_election_timeout(self, timeout: float) -> bool:
        """Wait for the election timeout, restarted by each leader contact.

        :returns: whether the leader requested an election before the timeout
        """
        replica = self._replica
        reset_at = replica.election_reset_at
        while True:
            if replica.election_reset_at != reset_at:
                reset_at = replica.election_reset_at
                timeout = self._draw_timeout()
            deadline = reset_at + timeout
            if replica.clock.monotonic() >= deadline:
                return False
            if await wait_until(
                replica.clock, deadline, replica.campaign_requested
            ):
                return True

    def _draw_timeout(self) -> float:
        replica = self._replica
        if len(replica.configuration.voters) == 1 and replica.is_voter:
            return 0.0
        shortest = replica.settings.election_timeout_seconds
        if replica.has_just_restarted:
            return shortest * replica.rng.uniform(*_RESTART_TIMEOUT_FRACTIONS)
        return replica.rng.uniform(shortest, 2 * shortest)

    async def _campaign(self, transfer: bool) -> bool:
        """Run a pre-vote and an election.

        :param transfer: whether the leader requested this election
        :returns: whether a quorum voted for this member
        """
        replica = self._replica
        storage = replica.storage
        replica.election_reset_at = replica.clock.monotonic()
        replica.set_role(Role.CANDIDATE)
        # Without the pre-vote, a member that returns from a partition would
        # depose the leader with a higher term.
        waived_starts_by_id: dict[str, int] | None = {}
        if not transfer:
            waived_starts_by_id = await self._run_pre_vote()
        if waived_starts_by_id is None:
            replica.step_down("no quorum in the pre-vote")
            return False
        if replica.role is not Role.CANDIDATE:
            return False
        term = storage.term + 1
        storage.set_hard_state(term, replica.vm_id)
        replica.leader_id = None
        seconds = replica.settings.vote_timeout_seconds
        if not await replica.durability.sync(seconds=seconds):
            replica.step_down("the own vote is not durable")
            return False
        won = await self._collect_votes(term, transfer, waived_starts_by_id)
        still_candidate = (
            replica.role is Role.CANDIDATE and storage.term == term
        )
        if won and still_candidate and self._may_campaign():
            return True
        if still_candidate:
            replica.step_down("no quorum")
        return False

    async def _run_pre_vote(self) -> dict[str, int] | None:
        """Ask the voters whether they would vote for this member.

        :returns: None without a quorum; else the waived start ids by VM,
            which are empty unless the quorum depends on waivers (see
            ``VoteRequest``)
        """
        replica = self._replica
        replica.in_pre_vote = True
        try:
            return await self._collect_pre_votes(replica.storage.term + 1)
        finally:
            replica.in_pre_vote = False

    async def _collect_pre_votes(self, term: int) -> dict[str, int] | None:
        quorum = self._replica.configuration.quorum
        others = self._other_voters()
        granted = self._own_votes
        outcomes_by_id = {m.vm_id: "no reply" for m in others}
        starts_by_id: dict[str, int] = {}
        non_leaders = set()
        async with _ConcurrentRequests(
            {
                m.vm_id: self._request_vote(m, term, pre_vote=True)
                for m in others
            }
        ) as requests:
            if granted >= quorum:
                return {}
            async for vm_id, reply in requests:
                if reply is None:
                    continue
                outcomes_by_id[vm_id] = _describe(reply)
                granted += reply.granted
                if granted >= quorum:
                    return {}
                if not reply.leads:
                    non_leaders.add(vm_id)
                if reply.granted or reply.only_restarted:
                    starts_by_id[vm_id] = reply.start
        nobody_leads = len(non_leaders) == len(others)
        if nobody_leads and 1 + len(starts_by_id) >= quorum:
            return starts_by_id
        self._log_failure("pre-vote", term, outcomes_by_id)
        return None

    async def _collect_votes(
        self, term: int, transfer: bool, waived_starts_by_id: dict[str, int]
    ) -> bool:
        quorum = self._replica.configuration.quorum
        is_waived = transfer or bool(waived_starts_by_id)
        votes = 1 if is_waived else self._own_votes
        outcomes_by_id = {m.vm_id: "no reply" for m in self._other_voters()}
        async with _ConcurrentRequests(
            {
                member.vm_id: self._request_vote(
                    member,
                    term,
                    transfer=transfer,
                    waived_start=waived_starts_by_id.get(member.vm_id, 0),
                )
                for member in self._other_voters()
            }
        ) as requests:
            if votes >= quorum:
                return True
            awaited = len(outcomes_by_id)
            async for vm_id, reply in requests:
                awaited -= 1
                if reply is not None:
                    outcomes_by_id[vm_id] = _describe(reply)
                    votes += reply.granted
                if votes >= quorum:
                    return True
                if votes + awaited < quorum:
                    break
        self._log_failure("vote", term, outcomes_by_id)
        return False

    def _log_failure(
        self, phase: str, term: int, outcomes_by_id: dict[str, str]
    ) -> None:
        self._replica.election_failure.report(
            phase=phase,
            term=term,
            outcomes=", ".join(
                f"{vm_id}: {outcome}"
                for vm_id, outcome in sorted(outcomes_by_id.items())
            ),
        )

    @property
    def _own_votes(self) -> int:
        """Return 1 if this member may vote for itself, else 0.

        A leader's lease may depend on it, as on any voter: it may have heard
        the leader during its last attempt, or just before a restart.
        """
        replica = self._replica
        is_only_voter = not self._other_voters()
        return int(is_only_voter or not replica.must_withhold_vote)

    def _other_voters(self) -> list[Member]:
        replica = self._replica
        voters = replica.configuration.voters
        return [m for m in voters if m.vm_id != replica.vm_id]

    async def _request_vote(
        self,
        member: Member,
        term: int,
        *,
        pre_vote: bool = False,
        transfer: bool = False,
        waived_start: int = 0,
    ) -> VoteReply | None:
        replica = self._replica
        settings = replica.settings
        timeout = settings.vote_timeout_seconds
        if pre_vote:
            timeout = settings.call_timeout_seconds
        request = VoteRequest(
            cluster_id=replica.identity.current.cluster_id,
            target_id=member.vm_id,
            target_disk_id=member.disk_id,
            term=term,
            sender_id=replica.vm_id,
            sender_disk_id=replica.disk_id,
            last_index=replica.storage.last_index,
            last_term=replica.storage.last_term,
            trial=pre_vote,
            transfer=transfer,
            waived_start=waived_start,
        )
        try:
            reply = await self._peers.call(
                member.address,
                request,
                VoteReply,
                timeout=timeout,
            )
        except CallFailed:
            return None
        replica.observe_term(reply.term)
        if reply.granted and not pre_vote:
            replica.on_disk_acknowledged(member.disk_id, term, 0)
        return reply


def _describe(reply: VoteReply) -> str:
    if reply.granted:
        return "granted"
    if reply.leads:
        return "denied, it leads"
    if reply.only_restarted:
        return "denied, it has just started"
    return "denied"


class _ConcurrentRequests:
    """Runs requests concurrently and iterates over replies as they arrive.

    Requests still pending when the context exits are cancelled.
    """

    def __init__(
        self,
        requests_by_id: dict[str, Coroutine[None, None, VoteReply | None]],
    ) -> None:
        self._tasks = [
            asyncio.ensure_future(self._run_request(vm_id, coroutine))
            for vm_id, coroutine in requests_by_id.items()
        ]

    async def __aenter__(self) -> "_ConcurrentRequests":
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()

    async def __aiter__(self) -> AsyncIterator[tuple[str, VoteReply | None]]:
        for answer in asyncio.as_completed(self._tasks):
            yield await answer

    async def _run_request(
        self, vm_id: str, coroutine: Coroutine[None, None, VoteReply | None]
    ) -> tuple[str, VoteReply | None]:
        return vm_id, await coroutine
