"""Publishes new revisions to the VMs that follow this one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from burdockdrum.configuration.history import RevisionGone
from burdockdrum.configuration.local import LocalConfiguration
from burdockdrum.configuration.messages import Follow
from burdockdrum.configuration.messages import Update
from burdockdrum.configuration.reports import Reports
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock

# Batches changes that come in a burst.
PUSH_INTERVAL_SECONDS = 0.02
RESEND_INTERVAL_SECONDS = 0.5
MAX_RESENDS = 3
# Followers without a heartbeat for this time are removed.
FOLLOWER_TIMEOUT_SECONDS = 12.0


@dataclass(frozen=True, kw_only=True)
class FollowerState:
    """The last message of a follower and what was sent to it since.

    ``sends`` counts the updates since its last message.
    """

    sender: Sender
    revision: int
    echo: float
    wants_changes: bool
    received_at: float
    sent_at: float
    sent_revision: int
    data_centre: str = ""
    control_digest: int = 0
    awaiting_sync: bool = False
    sends: int = 0


class Publisher:
    """Sends new revisions to the followers until acknowledged."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        local: LocalConfiguration,
        reports: Reports,
        is_draining: Callable[[], bool],
    ) -> None:
        """Create a publisher without followers.

        :param is_draining: returns whether this VM is draining
        """
        self._is_draining = is_draining
        self._peers = peers
        self._clock = clock
        self._local = local
        self._reports = reports
        self._followers_by_address: dict[str, FollowerState] = {}
        self._revision_added = asyncio.Event()
        self.on_follow: Callable[[Sender, Follow], None] | None = None
        # Called when a follower awaits a confirmation by a control VM.
        self.on_awaiting_sync: Callable[[], None] | None = None
        local.history.listeners.append(lambda _: self._revision_added.set())
        local.sync_listeners.append(self._notify_synced)
        local.confirmed_listeners.append(self._notify_waiting)
        peers.register(Follow, self._receive_follow)

    async def run(self) -> None:
        """Send new revisions and resend unacknowledged ones."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_new())
            group.create_task(self._resend_overdue())

    async def _push_new(self) -> None:
        while True:
            await self._revision_added.wait()
            self._revision_added.clear()
            revision = self._local.current.revision
            for address, state in list(self._followers_by_address.items()):
                is_unresponsive = state.sends > MAX_RESENDS
                if state.sent_revision < revision and not is_unresponsive:
                    self._push(address, state, state.sent_revision)
            await self._clock.sleep(PUSH_INTERVAL_SECONDS)

    def _notify_synced(self) -> None:
        """Send an update to all followers once this VM is synchronized.

        After a common restart the followers wait for this, and would
        otherwise learn it only with their next heartbeat.
        """
        for address, state in list(self._followers_by_address.items()):
            self._push(address, state, state.revision)

    def _notify_waiting(self) -> None:
        """Send an update to followers that await synchronization.

        A confirmation from before a follower's start does not prove that
        the revision is as new as the one that the follower served before.
        It gets another update with the first confirmation after its request.
        """
        confirmed_at = self._local.confirmed_at
        assert confirmed_at is not None
        for address, state in list(self._followers_by_address.items()):
            if state.awaiting_sync and state.received_at <= confirmed_at:
                self._push(
                    address,
                    replace(state, awaiting_sync=False),
                    state.revision,
                )

    async def _resend_overdue(self) -> None:
        while True:
            await self._clock.sleep(RESEND_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            for address, state in list(self._followers_by_address.items()):
                if now - state.received_at > FOLLOWER_TIMEOUT_SECONDS:
                    del self._followers_by_address[address]
                elif self._is_overdue(state, now):
                    self._push(address, state, state.revision)

    def _is_overdue(self, state: FollowerState, now: float) -> bool:
        return (
            state.revision < self._local.current.revision
            and state.sends <= MAX_RESENDS
            and now - state.sent_at >= RESEND_INTERVAL_SECONDS
        )

    async def _receive_follow(
        self, sender: Sender, message: Follow
    ) -> Message | None:
        previous = self._followers_by_address.get(sender.address)
        if previous is not None and _is_older(sender, message, previous):
            return None
        now = self._clock.monotonic()
        state = FollowerState(
            sender=sender,
            revision=message.revision,
            echo=message.sent_at,
            wants_changes=message.wants_changes,
            received_at=now,
            sent_at=now,
            sent_revision=message.revision,
            data_centre=message.report.data_centre if message.report else "",
            control_digest=message.control_digest,
            awaiting_sync=message.awaiting_sync,
        )
        self._followers_by_address[sender.address] = state
        self._reports.record_acknowledgement(sender.vm_id, message.revision)
        if message.report is not None:
            self._reports.record_report(message.report)
        if self.on_follow is not None:
            self.on_follow(sender, message)
        if message.awaiting_sync and self.on_awaiting_sync is not None:
            self.on_awaiting_sync()
        self._push(
            sender.address,
            state,
            message.revision,
            snapshot=message.wants_snapshot,
        )
        return None

    def _push(
        self,
        address: str,
        state: FollowerState,
        after: int,
        *,
        snapshot: bool = False,
    ) -> None:
        update = self._make_update(state, after, snapshot)
        self._peers.send(address, update)
        self._followers_by_address[address] = replace(
            state,
            sent_at=self._clock.monotonic(),
            sent_revision=update.revision,
            sends=state.sends + 1,
        )

    # A snapshot is sent if the changes outnumber the resources, so that many
    # versions of one resource don't saturate the links of entries.
    def _make_update(
        self, state: FollowerState, after: int, snapshot: bool
    ) -> Update:
        current = self._local.current
        control_addresses = None
        if state.control_digest != self._local.control_digest:
            control_addresses = self._local.control_addresses
        changes = []
        resources = None
        if state.wants_changes and not snapshot:
            try:
                changes = self._local.history.changes_after(after)
            except RevisionGone:
                snapshot = True
        if len(changes) > len(current.resources_by_key):
            snapshot, changes = True, []
        if state.wants_changes and snapshot:
            resources = list(current.resources_by_key.values())
        return Update(
            revision=current.revision,
            digest=current.digest,
            echo=state.echo,
            age=self._age_at(state.received_at),
            synced=self._local.is_synced,
            changes=changes,
            resources=resources,
            vm_ids_digest=self._reports.vm_ids_digest(state.data_centre),
            control_addresses=control_addresses,
            draining=self._is_draining(),
        )

    def _age_at(self, moment: float) -> float | None:
        """Return the age of the current revision at a point in time."""
        confirmed_at = self._local.confirmed_at
        return (
            None if confirmed_at is None else max(0.0, moment - confirmed_at)
        )


def _is_older(
    sender: Sender, message: Follow, previous: FollowerState
) -> bool:
    if sender.incarnation != previous.sender.incarnation:
        return sender.incarnation < previous.sender.incarnation
    return message.sent_at < previous.echo
