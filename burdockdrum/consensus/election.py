"""Stand for election when no leader is heard of."""

import asyncio

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
        if not transfer and not await self._try_out():
            replica.step_down("no quorum in the trial")
            return False
        if replica.role is not Role.CANDIDATE:
            return False
        term = storage.term + 1
        storage.set_hard_state(term, replica.vm_id)
        replica.leader_id = None
        await storage.sync()
        won = await self._collect(term=term, trial=False, transfer=transfer)
        still_stands = replica.role is Role.CANDIDATE and storage.term == term
        if won and still_stands and self._may_stand():
            return True
        if still_stands:
            replica.step_down("no quorum")
        return False

    async def _try_out(self) -> bool:
        replica = self._replica
        replica.in_trial = True
        try:
            return await self._collect(
                term=replica.storage.term + 1, trial=True, transfer=False
            )
        finally:
            replica.in_trial = False

    async def _collect(
        self, *, term: int, trial: bool, transfer: bool
    ) -> bool:
        replica = self._replica
        configuration = replica.configuration
        votes = 1
        asking = [
            asyncio.ensure_future(self._ask(member, term, trial, transfer))
            for member in configuration.voters
            if member.vm_id != replica.vm_id
        ]
        if votes >= configuration.quorum:
            return True
        try:
            for answer in asyncio.as_completed(asking):
                votes += await answer
                if votes >= configuration.quorum:
                    return True
            return False
        finally:
            for task in asking:
                task.cancel()

    async def _ask(
        self, member: Member, term: int, trial: bool, transfer: bool
    ) -> bool:
        replica = self._replica
        request = VoteRequest(
            cluster_id=replica.identity.current.cluster_id,
            target_disk_id=member.disk_id,
            term=term,
            sender_id=replica.vm_id,
            sender_disk_id=replica.disk_id,
            last_index=replica.storage.last_index,
            last_term=replica.storage.last_term,
            trial=trial,
            transfer=transfer,
        )
        try:
            reply = await self._peers.call(
                member.address,
                request,
                VoteReply,
                timeout=replica.settings.call_timeout_seconds,
            )
        except CallFailed:
            return False
        replica.observe_term(reply.term)
        if reply.granted and not trial:
            replica.acknowledged(member.disk_id, term, 0)
        return reply.granted
