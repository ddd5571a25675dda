"""Stand for election when no leader is heard of."""

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
from burdockdrum.consensus.storage import StorageFailed
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

# Which part of an election timeout is waited after an attempt that failed.
# The usual reason is that another member still owes the lost leader silence
# for a moment; a whole timeout more would double the time without a leader.
_RETRY_PARTS = (0.1, 0.5)
# A member that has just started tries after so much of one: all may have been
# killed together, and then nobody leads. A trial disturbs no leader.
_FIRST_PARTS = (0.1, 0.4)


class Election:
    """The task that makes this member a candidate and then a leader."""

    def __init__(
        self, *, replica: Replica, leadership: Leadership, peers: Peers
    ) -> None:
        """Create the task."""
        self._replica = replica
        self._leadership = leadership
        self._peers = peers

    async def run(self) -> None:
        """Wait for silence, stand for election and lead, until cancelled."""
        replica = self._replica
        timeout = self._draw_timeout()
        while True:
            transfer = await self._wait_for_silence(timeout)
            timeout = self._draw_timeout()
            if not self._may_stand():
                await replica.clock.sleep(replica.settings.heartbeat_seconds)
                continue
            try:
                elected = await self._stand(transfer)
                if elected:
                    await self._leadership.run()
                # From the end of an attempt: two that began together would
                # else stand together, and split the votes, again and again.
                replica.put_off_election()
                if not elected:
                    timeout *= replica.rng.uniform(*_RETRY_PARTS)
            except StorageFailed as error:
                replica.halt(str(error))

    def _may_stand(self) -> bool:
        replica = self._replica
        return (
            replica.takes_part
            and replica.is_voter
            and replica.identity.current.formed
        )

    async def _wait_for_silence(self, timeout: float) -> bool:
        """Wait for a time without a leader.

        :returns: whether the leader asked for an election before it was over
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
                replica.clock, deadline, replica.campaign_asked
            ):
                return True

    def _draw_timeout(self) -> float:
        replica = self._replica
        if len(replica.configuration.voters) == 1 and replica.is_voter:
            return 0.0
        shortest = replica.settings.election_timeout_seconds
        if replica.has_just_restarted:
            return shortest * replica.rng.uniform(*_FIRST_PARTS)
        return replica.rng.uniform(shortest, 2 * shortest)

    async def _stand(self, transfer: bool) -> bool:
        """Stand for election.

        :returns: whether a quorum voted for this member
        """
        replica = self._replica
        storage = replica.storage
        replica.election_reset_at = replica.clock.monotonic()
        replica.set_role(Role.CANDIDATE)
        # A member that was cut off for long would else return with a term
        # that deposes the leader. The trial (pre-vote) raises no term.
        waivers: dict[str, int] | None = {}
        if not transfer:
            waivers = await self._try_out()
        if waivers is None:
            replica.step_down("no quorum in the trial")
            return False
        if replica.role is not Role.CANDIDATE:
            return False
        term = storage.term + 1
        storage.set_hard_state(term, replica.vm_id)
        replica.leader_id = None
        await storage.sync()
        won = await self._collect(term, transfer, waivers)
        still_stands = replica.role is Role.CANDIDATE and storage.term == term
        if won and still_stands and self._may_stand():
            return True
        if still_stands:
            replica.step_down("no quorum")
        return False

    async def _try_out(self) -> dict[str, int] | None:
        """Ask who would vote for this member.

        :returns: None if no quorum would; else the starts of the members at
            which they would, now that every voter says that nobody leads
        """
        replica = self._replica
        replica.in_trial = True
        try:
            return await self._collect_trial(replica.storage.term + 1)
        finally:
            replica.in_trial = False

    async def _collect_trial(self, term: int) -> dict[str, int] | None:
        quorum = self._replica.configuration.quorum
        others = self._other_voters()
        granted = 1
        starts_by_id: dict[str, int] = {}
        leaderless = set()
        async with _Asking(
            {m.vm_id: self._ask(m, term, trial=True) for m in others}
        ) as asking:
            if granted >= quorum:
                return {}
            async for vm_id, reply in asking:
                if reply is None:
                    continue
                granted += reply.granted
                if granted >= quorum:
                    return {}
                if not reply.leads:
                    leaderless.add(vm_id)
                if reply.granted or reply.only_restarted:
                    starts_by_id[vm_id] = reply.start
        nobody_leads = len(leaderless) == len(others)
        if nobody_leads and 1 + len(starts_by_id) >= quorum:
            return starts_by_id
        return None

    async def _collect(
        self, term: int, transfer: bool, waivers: dict[str, int]
    ) -> bool:
        quorum = self._replica.configuration.quorum
        votes = 1
        async with _Asking(
            {
                member.vm_id: self._ask(
                    member,
                    term,
                    transfer=transfer,
                    waived_start=waivers.get(member.vm_id, 0),
                )
                for member in self._other_voters()
            }
        ) as asking:
            if votes >= quorum:
                return True
            async for _, reply in asking:
                votes += reply is not None and reply.granted
                if votes >= quorum:
                    return True
        return False

    def _other_voters(self) -> list[Member]:
        replica = self._replica
        voters = replica.configuration.voters
        return [m for m in voters if m.vm_id != replica.vm_id]

    async def _ask(
        self,
        member: Member,
        term: int,
        *,
        trial: bool = False,
        transfer: bool = False,
        waived_start: int = 0,
    ) -> VoteReply | None:
        replica = self._replica
        request = VoteRequest(
            cluster_id=replica.identity.current.cluster_id,
            target_id=member.vm_id,
            target_disk_id=member.disk_id,
            term=term,
            sender_id=replica.vm_id,
            sender_disk_id=replica.disk_id,
            last_index=replica.storage.last_index,
            last_term=replica.storage.last_term,
            trial=trial,
            transfer=transfer,
            waived_start=waived_start,
        )
        try:
            reply = await self._peers.call(
                member.address,
                request,
                VoteReply,
                timeout=replica.settings.call_timeout_seconds,
            )
        except CallFailed:
            return None
        replica.observe_term(reply.term)
        if reply.granted and not trial:
            replica.acknowledged(member.disk_id, term, 0)
        return reply


class _Asking:
    """Questions that are asked at once, and their answers as they come.

    Those that are not answered when it is left are given up.
    """

    def __init__(
        self,
        questions_by_id: dict[str, Coroutine[None, None, VoteReply | None]],
    ) -> None:
        self._tasks = [
            asyncio.ensure_future(self._answer(vm_id, question))
            for vm_id, question in questions_by_id.items()
        ]

    async def __aenter__(self) -> "_Asking":
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()

    async def __aiter__(self) -> AsyncIterator[tuple[str, VoteReply | None]]:
        for answer in asyncio.as_completed(self._tasks):
            yield await answer

    async def _answer(
        self, vm_id: str, question: Coroutine[None, None, VoteReply | None]
    ) -> tuple[str, VoteReply | None]:
        return vm_id, await question
