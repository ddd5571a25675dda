"""The configuration in force on this VM, and changes to it."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from burdockdrum.configuration.control import Control
from burdockdrum.configuration.control import ControlStatus
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.following import Follower
from burdockdrum.configuration.knowledge import Knowledge
from burdockdrum.configuration.messages import InForceQuery
from burdockdrum.configuration.messages import InForceReply
from burdockdrum.configuration.messages import Propose
from burdockdrum.configuration.messages import Proposed
from burdockdrum.configuration.publishing import Publisher
from burdockdrum.configuration.reports import Directory
from burdockdrum.configuration.reports import expand
from burdockdrum.configuration.reports import Reports
from burdockdrum.configuration.residency import allowed_regions
from burdockdrum.configuration.residency import check_known
from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import Revised
from burdockdrum.timeline import Timeline

CHANGE_SECONDS = 6.0
# A control VM whose leader has crashed holds a change for so long before
# another is asked; the change id makes asking twice safe.
PROPOSE_SECONDS = 0.8
RETRY_SECONDS = 0.2
IN_FORCE_HERE_SECONDS = 1.0
QUERY_SECONDS = 1.0
KNOWN_POLL_SECONDS = 0.1
_POLL_SECONDS = 0.02


class ChangeUnknown(Exception):
    """No answer came: the change may be accepted or not; send it again."""


class ChangeNotAccepted(Exception):
    """The change was not accepted and never will be, unless sent again."""


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What this VM knows of the configuration, as operators read it."""

    known: bool
    revision: int
    digest: int
    age_seconds: float | None
    residency_lease_seconds: float
    control: ControlStatus | None = None


class ConfigurationService:
    """Know the accepted configuration, serve by it and change it.

    ``known``, ``age`` and ``allowed_regions`` say what this VM may do by
    what it knows; ``watch`` follows changes; ``fetch_in_force`` tells where
    each revision is in force.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        directory: Callable[[], Directory],
        control_addresses: Mapping[str, str],
        residency_lease_seconds: float,
        state: ControlState | None = None,
        log: ReplicatedLog | None = None,
    ) -> None:
        """Create the service.

        :param directory: returns the directory of VMs
        :param control_addresses: the control VMs' addresses by id, to begin
            with
        :param residency_lease_seconds: how long a VM that is cut off sends
            data to regions other than the client's home
        :param state: the agreed state, on a control VM
        :param log: what agrees on it, on a control VM
        """
        self.in_force_by_vm_id: dict[str, int] = {}
        self._peers = peers
        self._clock = clock
        self._lease_seconds = residency_lease_seconds
        self._knowledge = Knowledge(
            clock=clock,
            timeline=timeline,
            control_addresses=control_addresses,
        )
        self._reports = Reports(clock=clock, identity=peers.identity)
        self._publisher = Publisher(
            peers=peers,
            clock=clock,
            knowledge=self._knowledge,
            reports=self._reports,
            is_leaving=lambda: directory().draining,
        )
        self._follower = Follower(
            peers=peers,
            clock=clock,
            knowledge=self._knowledge,
            reports=self._reports,
            directory=directory,
        )
        self._publisher.on_follow = self._follower.note_follow
        self._leader_id: str | None = None
        self._control: Control | None = None
        if state is not None and log is not None:
            self._control = Control(
                peers=peers,
                clock=clock,
                knowledge=self._knowledge,
                state=state,
                log=log,
            )
            self._publisher.on_wait = self._control.confirm_soon
        peers.register(InForceQuery, self._take_query)

    @property
    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self._knowledge.current

    @property
    def known(self) -> bool:
        """Say whether this VM has learned what to serve by."""
        return self._knowledge.known

    async def wait_until_known(self, seconds: float) -> bool:
        """Wait until this VM has learned what to serve by.

        :param seconds: how long to wait at most
        :returns: whether it has
        """
        until = self._clock.monotonic() + seconds
        while not self.known and self._clock.monotonic() < until:
            await self._clock.sleep(KNOWN_POLL_SECONDS)
        return self.known

    @property
    def age(self) -> float | None:
        """Return how many seconds ago this was known to be the newest.

        None if no control VM was heard of since the start.
        """
        return self._knowledge.age

    @property
    def control_addresses(self) -> Mapping[str, str]:
        """Return the control VMs' addresses by id, as last learned."""
        return self._knowledge.control_addresses

    def check_known(self) -> None:
        """Check that this VM may serve by what it knows.

        :raises Refusal: CONFIGURATION_STALE, "not run", if it may not
        """
        check_known(self._knowledge)

    def allowed_regions(self, client_id: str, service: str) -> frozenset[str]:
        """Return the regions in which a request may be processed now.

        Every VM that a request passes asks for itself. Cut off for long, a
        VM allows no more than the client's home region.

        :raises Refusal: "not run", if the client or the service is unknown,
            or this VM does not know what to serve by
        """
        return allowed_regions(
            self._knowledge,
            client_id=client_id,
            service=service,
            lease_seconds=self._lease_seconds,
        )

    def status(self) -> ConfigurationStatus:
        """Return what this VM knows, for operators."""
        age = self.age
        return ConfigurationStatus(
            known=self.known,
            revision=self.current.revision,
            digest=self.current.digest,
            age_seconds=None if age is None else round(age, 3),
            residency_lease_seconds=self._lease_seconds,
            control=self._control.status() if self._control else None,
        )

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each configuration that comes in force."""
        self._knowledge.history.listeners.append(listener)

    def watch(self, revision: int) -> AsyncIterator[Revised]:
        """Yield the changes after a revision as they come in force here.

        :raises RevisionGone: if some are not kept any more
        """
        return self._knowledge.history.watch(revision)

    def changes_after(self, revision: int) -> list[Revised]:
        """Return the changes after a revision that are in force here.

        :raises RevisionGone: if some are not kept any more
        """
        return self._knowledge.history.changes_after(revision)

    def note_revision(self, address: str, revision: int) -> None:
        """Take note of the revision that a VM has in force.

        Whoever is known to be ahead is asked at once: the VM that this one
        follows may hang, or the path to it.
        """
        if revision > self.current.revision:
            self._follower.ask(address)

    async def change(self, change: Change) -> ChangeResult:
        """Have a change agreed; once accepted, it is in force here soon.

        :raises ChangeUnknown: if it may have been accepted; the same change
            id may be sent again
        :raises ChangeNotAccepted: if it was not and will not be
        """
        result = await self._propose(change)
        deadline = self._clock.monotonic() + IN_FORCE_HERE_SECONDS
        # The operator who reads next, here, finds what was accepted.
        while self.current.revision < result.revision:
            if self._clock.monotonic() >= deadline:
                break
            await self._clock.sleep(_POLL_SECONDS)
        return result

    async def read_agreed(self, timeout: float) -> Configuration:
        """Return what includes every change acknowledged before the call.

        :param timeout: seconds to wait
        :raises NotCurrent: if that can't be made sure of here
        """
        if self._control is None:
            raise NotCurrent("this VM has no part in agreeing on changes")
        return await self._control.read_agreed(timeout)

    async def fetch_in_force(self) -> dict[str, int]:
        """Return the revision in force by VM id, all data centres' together.

        Those of a data centre that is cut off are as it last reported. Where
        no control VM answers, only what this VM knows itself is returned.
        """
        reports = self._reports.aged_reports()
        own = self._peers.identity.vm_id
        calls = [
            self._query(address)
            for vm_id, address in self.control_addresses.items()
            if vm_id != own
        ]
        for found in await asyncio.gather(*calls):
            reports += found.reports
        self.in_force_by_vm_id = expand(reports)
        self.in_force_by_vm_id[own] = self.current.revision
        return self.in_force_by_vm_id

    async def run(self) -> None:
        """Follow and pass on until cancelled."""
        self._knowledge.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._publisher.run())
            group.create_task(self._follower.run())
            if self._control is not None:
                group.create_task(self._control.run())

    async def _propose(self, change: Change) -> ChangeResult:
        deadline = self._clock.monotonic() + CHANGE_SECONDS
        may_apply = False
        reason = "no control VM answered"
        while True:
            for address in self._proposal_addresses():
                left = deadline - self._clock.monotonic()
                if left <= 0:
                    break
                timeout = min(left, PROPOSE_SECONDS)
                proposed = await self._propose_at(address, change, timeout)
                self._leader_id = proposed.leader_id
                if proposed.result is not None:
                    return proposed.result
                # The same change id may go to another control VM: whichever
                # entry comes first decides, and answers the others.
                may_apply = may_apply or proposed.may_apply
                reason = proposed.reason or reason
            if self._clock.monotonic() + RETRY_SECONDS >= deadline:
                break
            await self._clock.sleep(RETRY_SECONDS)
        if may_apply:
            raise ChangeUnknown(reason)
        raise ChangeNotAccepted(reason)

    def _proposal_addresses(self) -> list[str | None]:
        """Return whom to ask, None for this VM itself."""
        own = self._peers.identity.vm_id
        vm_ids = [v for v in self.control_addresses if v != own]
        # The leader that answered last spares the way over another.
        vm_ids.sort(key=lambda vm_id: vm_id != self._leader_id)
        others: list[str | None] = [
            self.control_addresses[vm_id] for vm_id in vm_ids
        ]
        return [None, *others] if self._control is not None else others

    async def _propose_at(
        self, address: str | None, change: Change, timeout: float
    ) -> Proposed:
        if address is None:
            assert self._control is not None
            return await self._control.propose(change, timeout)
        try:
            return await self._peers.call(
                address,
                Propose(change=change, timeout=timeout),
                Proposed,
                timeout=timeout,
            )
        except CallFailed as error:
            return Proposed(may_apply=True, reason=str(error))

    async def _query(self, address: str) -> InForceReply:
        try:
            return await self._peers.call(
                address, InForceQuery(), InForceReply, timeout=QUERY_SECONDS
            )
        except CallFailed:
            return InForceReply(reports=[])

    async def _take_query(
        self, sender: Sender, message: InForceQuery
    ) -> Message | None:
        return InForceReply(reports=self._reports.aged_reports())
