"""The configuration service of a VM."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from burdockdrum.configuration.control import ControlNode
from burdockdrum.configuration.control import ControlStatus
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.evacuations import EvacuationOrder
from burdockdrum.configuration.evacuations import EvacuationOrderer
from burdockdrum.configuration.follower import Follower
from burdockdrum.configuration.local import LocalConfiguration
from burdockdrum.configuration.messages import InForceQuery
from burdockdrum.configuration.messages import InForceReply
from burdockdrum.configuration.messages import Propose
from burdockdrum.configuration.messages import ProposeReply
from burdockdrum.configuration.publisher import Publisher
from burdockdrum.configuration.reports import Directory
from burdockdrum.configuration.reports import merge_reports
from burdockdrum.configuration.reports import Reports
from burdockdrum.configuration.residency import allowed_regions
from burdockdrum.configuration.residency import check_synced
from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.pauses import PauseDetector
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import ResourceRevision
from burdockdrum.timeline import Timeline

CHANGE_SECONDS = 6.0
# Bounds the wait for a control VM whose leader has crashed. Retries on another
# control VM are safe because of the change id.
PROPOSE_TIMEOUT_SECONDS = 0.8
RETRY_DELAY_SECONDS = 0.2
LOCAL_APPLY_TIMEOUT_SECONDS = 1.0
QUERY_TIMEOUT_SECONDS = 1.0
SYNC_POLL_INTERVAL_SECONDS = 0.1
_APPLY_POLL_INTERVAL_SECONDS = 0.02


class ChangeOutcomeUnknown(Exception):
    """The outcome of the change is unknown; it is safe to send it again."""


class ChangeNotAccepted(Exception):
    """The change was not accepted and will not be unless sent again."""


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the configuration on this VM, as shown to operators."""

    known: bool
    revision: int
    digest: int
    age_seconds: float | None
    residency_lease_seconds: float
    control: ControlStatus | None = None


class ConfigurationService:
    """Provides the current configuration, watches it and changes it.

    A VM serves requests only while it is synchronized, and only in the
    regions that ``allowed_regions`` returns.
    """

    is_restartable = True

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
        pauses: PauseDetector | None = None,
    ) -> None:
        """Create the service.

        :param directory: returns the directory of VMs
        :param control_addresses: initial addresses of the control VMs by id
        :param residency_lease_seconds: time for which a partitioned VM still
            sends data to regions other than the client's home region
        :param state: the replicated state, on a control VM
        :param log: the replicated log, on a control VM
        :param pauses: detects pauses of this process; none if None
        """
        self.in_force_by_vm_id: dict[str, int] = {}
        self._peers = peers
        self._clock = clock
        self._lease_seconds = residency_lease_seconds
        self._local = LocalConfiguration(
            clock=clock,
            timeline=timeline,
            control_addresses=control_addresses,
        )
        self._reports = Reports(clock=clock, identity=peers.identity)
        self._publisher = Publisher(
            peers=peers,
            clock=clock,
            local=self._local,
            reports=self._reports,
            is_draining=lambda: directory().draining,
        )
        self._follower = Follower(
            peers=peers,
            clock=clock,
            local=self._local,
            reports=self._reports,
            directory=directory,
        )
        self._publisher.on_follow = self._follower.handle_follow
        self._leader_id: str | None = None
        self._control: ControlNode | None = None
        self._evacuations: EvacuationOrderer | None = None
        if state is not None and log is not None:
            self._control = ControlNode(
                peers=peers,
                clock=clock,
                local=self._local,
                state=state,
                log=log,
            )
            self._evacuations = EvacuationOrderer(
                clock=clock, store=state.store, pauses=pauses
            )
            self._publisher.on_awaiting_sync = (
                self._control.request_confirmation
            )
        peers.register(InForceQuery, self._receive_query)

    @property
    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self._local.current

    @property
    def is_synced(self) -> bool:
        """Return whether this VM is synchronized since its start.

        Its revision is then not older than any that it served before.
        """
        return self._local.is_synced

    async def wait_until_synced(self, seconds: float) -> bool:
        """Wait until this VM is synchronized.

        :param seconds: maximum time to wait
        :returns: whether it is
        """
        until = self._clock.monotonic() + seconds
        while not self.is_synced and self._clock.monotonic() < until:
            await self._clock.sleep(SYNC_POLL_INTERVAL_SECONDS)
        return self.is_synced

    @property
    def age(self) -> float | None:
        """Return the seconds since this revision was known to be the newest.

        None if no control VM has confirmed that since the start.
        """
        return self._local.age

    @property
    def control_addresses(self) -> Mapping[str, str]:
        """Return the last known addresses of the control VMs by id."""
        return self._local.control_addresses

    def check_synced(self) -> None:
        """Check that this VM is synchronized.

        :raises Refusal: CONFIGURATION_STALE, "not run", if it is not
        """
        check_synced(self._local)

    def allowed_regions(self, client_id: str, service: str) -> frozenset[str]:
        """Return the regions in which a request may be processed now.

        Every VM on the path of a request checks this. A VM that was
        partitioned for long allows only the client's home region.

        :raises Refusal: "not run", if the client or the service is unknown,
            or this VM is not synchronized
        """
        return allowed_regions(
            self._local,
            client_id=client_id,
            service=service,
            lease_seconds=self._lease_seconds,
        )

    def status(self) -> ConfigurationStatus:
        """Return the state of this VM for operators."""
        age = self.age
        return ConfigurationStatus(
            known=self.is_synced,
            revision=self.current.revision,
            digest=self.current.digest,
            age_seconds=None if age is None else round(age, 3),
            residency_lease_seconds=self._lease_seconds,
            control=self._control.status() if self._control else None,
        )

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each new configuration in force here."""
        self._local.history.listeners.append(listener)

    def watch(self, revision: int) -> AsyncIterator[ResourceRevision]:
        """Yield the changes after a revision as they come in force here.

        :raises RevisionGone: if some are no longer kept
        """
        return self._local.history.watch(revision)

    def changes_after(self, revision: int) -> list[ResourceRevision]:
        """Return the changes after a revision that are in force here.

        :raises RevisionGone: if some are no longer kept
        """
        return self._local.history.changes_after(revision)

    def handle_peer_revision(self, address: str, revision: int) -> None:
        """Request changes from a VM whose revision is newer.

        This covers a source that hangs or cannot be reached.
        """
        if revision > self.current.revision:
            self._follower.request_changes(address)

    async def change(self, change: Change) -> ChangeResult:
        """Commit a change and wait briefly until it is in force here.

        :raises ChangeOutcomeUnknown: if it may have been accepted; it may be
            sent again with the same change id
        :raises ChangeNotAccepted: if it was not accepted and will not be
        """
        result = await self._propose(change)
        deadline = self._clock.monotonic() + LOCAL_APPLY_TIMEOUT_SECONDS
        # Lets operators read their own writes on this VM.
        while self.current.revision < result.revision:
            if self._clock.monotonic() >= deadline:
                break
            await self._clock.sleep(_APPLY_POLL_INTERVAL_SECONDS)
        return result

    async def order_evacuation(self, order: EvacuationOrder) -> ChangeResult:
        """Start or end an evacuation, unless another order came between.

        If the sender leaves, the caller cancels it.

        :returns: a conflict if this VM can't know that the order is newer
            than all that were applied
        :raises ChangeOutcomeUnknown: if it may have been accepted
        :raises ChangeNotAccepted: if it was not accepted and will not be
        """
        if self._evacuations is None:
            raise ChangeNotAccepted("this VM is not a control VM")
        return await self.change(await self._evacuations.make_change(order))

    async def read_committed(self, timeout: float) -> Configuration:
        """Return a configuration with all changes acknowledged so far.

        :param timeout: seconds to wait
        :raises NotCurrent: if this VM can't confirm that
        """
        if self._control is None:
            raise NotCurrent("this VM is not a control VM")
        return await self._control.read_committed(timeout)

    async def fetch_in_force(self) -> dict[str, int]:
        """Return the revisions in force by VM id, of all data centres.

        Those of an unreachable data centre are as last reported. If no
        control VM responds, only the reports on this VM are used.
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
        self.in_force_by_vm_id = merge_reports(reports)
        self.in_force_by_vm_id[own] = self.current.revision
        return self.in_force_by_vm_id

    async def run(self) -> None:
        """Follow and distribute the configuration until cancelled."""
        self._local.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._publisher.run())
            group.create_task(self._follower.run())
            if self._control is not None:
                group.create_task(self._control.run())

    async def _propose(self, change: Change) -> ChangeResult:
        deadline = self._clock.monotonic() + CHANGE_SECONDS
        may_apply = False
        reason = "no control VM responded"
        while True:
            for address in self._proposal_addresses():
                remaining = deadline - self._clock.monotonic()
                if remaining <= 0:
                    break
                timeout = min(remaining, PROPOSE_TIMEOUT_SECONDS)
                proposed = await self._propose_at(address, change, timeout)
                self._leader_id = proposed.leader_id
                if proposed.result is not None:
                    return proposed.result
                # Proposing the same change id through another control VM is
                # safe: the first log entry decides the result of all.
                may_apply = may_apply or proposed.may_apply
                reason = proposed.reason or reason
            if self._clock.monotonic() + RETRY_DELAY_SECONDS >= deadline:
                break
            await self._clock.sleep(RETRY_DELAY_SECONDS)
        if may_apply:
            raise ChangeOutcomeUnknown(reason)
        raise ChangeNotAccepted(reason)

    def _proposal_addresses(self) -> list[str | None]:
        """Return the addresses to try in order; None stands for this VM."""
        own = self._peers.identity.vm_id
        vm_ids = [v for v in self.control_addresses if v != own]
        # The last known leader goes first, to save a hop.
        vm_ids.sort(key=lambda vm_id: vm_id != self._leader_id)
        others: list[str | None] = [
            self.control_addresses[vm_id] for vm_id in vm_ids
        ]
        return [None, *others] if self._control is not None else others

    async def _propose_at(
        self, address: str | None, change: Change, timeout: float
    ) -> ProposeReply:
        if address is None:
            assert self._control is not None
            return await self._control.propose(change, timeout)
        try:
            return await self._peers.call(
                address,
                Propose(change=change, timeout=timeout),
                ProposeReply,
                timeout=timeout,
            )
        except CallFailed as error:
            return ProposeReply(may_apply=True, reason=str(error))

    async def _query(self, address: str) -> InForceReply:
        try:
            return await self._peers.call(
                address,
                InForceQuery(),
                InForceReply,
                timeout=QUERY_TIMEOUT_SECONDS,
            )
        except CallFailed:
            return InForceReply(reports=[])

    async def _receive_query(
        self, sender: Sender, message: InForceQuery
    ) -> Message | None:
        return InForceReply(reports=self._reports.aged_reports())
