"""Follows the configuration of a source, with fallbacks if it fails.

One relay per data centre follows a control VM, and the other VMs there
follow the relay. A VM without fresh updates also queries the VMs of its data
centre and the control VMs.
"""

import asyncio
from collections.abc import Callable
import zlib

from loguru import logger
import msgspec

from burdockdrum.configuration.local import LocalConfiguration
from burdockdrum.configuration.messages import Follow
from burdockdrum.configuration.messages import Report
from burdockdrum.configuration.messages import Update
from burdockdrum.configuration.reports import Directory
from burdockdrum.configuration.reports import Reports
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Configuration

# Heartbeat interval to the source while the configuration is fresh.
FOLLOW_INTERVAL_SECONDS = 2.0
# Heartbeat interval while it is stale.
STALE_FOLLOW_INTERVAL_SECONDS = 0.5
# Heartbeat interval until this VM is synchronized; until then it refuses
# requests.
UNSYNCED_FOLLOW_INTERVAL_SECONDS = 0.25
# Allows for one lost message on each of the two hops from a control VM.
MAX_FRESH_AGE_SECONDS = 6.0
# Batches the acknowledgements of a relay's VMs.
ACKNOWLEDGEMENT_DELAY_SECONDS = 0.1
# Minimum interval of full fetches after a digest mismatch. Two versions of the
# program may encode a resource differently, so that digests never match.
RESYNC_INTERVAL_SECONDS = 10.0
# Time after a start until the directory knows the data centre's VMs.
DIRECTORY_SETTLE_SECONDS = 3.0
# Time for which a draining source is queried last; covers the length of a
# drain.
MAX_DRAINING_AGE_SECONDS = 30.0


class Follower:
    """Keeps the configuration of this VM up to date."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        local: LocalConfiguration,
        reports: Reports,
        directory: Callable[[], Directory],
    ) -> None:
        """Create a follower.

        :param directory: returns the directory; called lazily, because the
            directory may depend on this object
        """
        self._peers = peers
        self._clock = clock
        self._local = local
        self._reports = reports
        self._find_directory = directory
        self._wake = asyncio.Event()
        self._round = 0
        self._resynced_at: float | None = None
        self._requested_at_by_address: dict[str, float] = {}
        self._synced_by_vm_id: dict[str, bool] = {}
        self._draining_at_by_address: dict[str, float] = {}
        self._highest_revision = 0
        self._primary_address: str | None = None
        self._acknowledged_vm_ids_digest = 0
        self._reported: Report | None = None
        local.history.listeners.append(lambda _: self._wake.set())
        peers.register(Update, self._receive_update)

    def handle_follow(self, sender: Sender, message: Follow) -> None:
        """Process the heartbeat of a VM that follows this one.

        Requests changes from a follower that is ahead. A relay reports when
        the revisions of its data centre have changed.
        """
        if message.revision > self._local.current.revision:
            self.request_changes(sender.address)
        if self.is_relay and self._make_report() != self._reported:
            self._wake.set()

    @property
    def is_relay(self) -> bool:
        """Return whether this VM is the relay of its data centre."""
        relay = self._relay()
        return relay is not None and relay == self._own_address

    @property
    def is_fresh(self) -> bool:
        """Return whether this VM is synchronized and its revision fresh."""
        age = self._local.age
        return self._local.is_synced and (
            age is not None and age < MAX_FRESH_AGE_SECONDS
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._wake.clear()
            self._follow()
            period = (
                FOLLOW_INTERVAL_SECONDS
                if self.is_fresh
                else STALE_FOLLOW_INTERVAL_SECONDS
            )
            if not self._local.is_synced:
                period = UNSYNCED_FOLLOW_INTERVAL_SECONDS
            try:
                async with asyncio.timeout(period):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await self._clock.sleep(ACKNOWLEDGEMENT_DELAY_SECONDS)

    def _follow(self) -> None:
        self._round += 1
        self._primary_address = self._choose_primary()
        if self.is_relay:
            self._reported = self._make_report()
            self._reports.record_report(self._reported)
        if not self._local.is_synced:
            self._query_data_centre()
        if self._primary_address is not None:
            self._send_follow(self._primary_address)
        if not self.is_fresh:
            self._follow_alternative()

    def _follow_alternative(self) -> None:
        others = [
            address
            for address in (
                *self._data_centre_addresses(),
                *self._other_control_addresses(),
            )
            if address != self._primary_address
        ]
        if others:
            self._send_follow(others[self._round % len(others)])

    def _query_data_centre(self) -> None:
        for address in self._data_centre_addresses():
            if address != self._primary_address:
                self._send_follow(address, with_changes=False)
        self._try_sync_from_data_centre()

    def _try_sync_from_data_centre(self) -> None:
        """Synchronize without a control VM, from the data centre's VMs.

        Requires a response of all live VMs there, because this VM may have
        served a later revision before its restart than some of them have.
        """
        if self._local.uptime < DIRECTORY_SETTLE_SECONDS:
            return
        own = self._peers.identity
        views = self._find_directory().vms_in(own.data_centre)
        vm_ids = {view.identity.vm_id for view in views} - {own.vm_id}
        if not vm_ids <= self._synced_by_vm_id.keys():
            return
        if not any(self._synced_by_vm_id[vm_id] for vm_id in vm_ids):
            return
        if self._local.current.revision >= self._highest_revision:
            self._local.mark_synced("data centre")

    def _send_follow(
        self,
        address: str,
        *,
        with_changes: bool = True,
        snapshot: bool = False,
    ) -> None:
        current = self._local.current
        report = None
        if self.is_relay and address in self._other_control_addresses():
            report = self._reported
            if (
                report
                and report.vm_ids_digest == self._acknowledged_vm_ids_digest
            ):
                report = msgspec.structs.replace(report, vm_ids=None)
        message = Follow(
            revision=current.revision,
            digest=current.digest,
            sent_at=self._clock.monotonic(),
            wants_changes=with_changes,
            wants_snapshot=snapshot,
            report=report,
            control_digest=self._local.control_digest,
            awaiting_sync=not self._local.is_synced,
        )
        self._peers.send(address, message)

    async def _receive_update(
        self, sender: Sender, message: Update
    ) -> Message | None:
        self._apply_content(sender, message)
        self._record_draining(sender.address, message.draining)
        if not self._local.is_after_start(message.echo):
            # A late response to a message from before this VM's restart does
            # not prove that the revision is current; this VM may have served
            # a later one since.
            return None
        current = self._local.current
        if message.synced:
            self._highest_revision = max(
                self._highest_revision, message.revision
            )
        self._synced_by_vm_id[sender.vm_id] = message.synced
        if sender.address == self._primary_address:
            self._acknowledged_vm_ids_digest = message.vm_ids_digest
        if message.age is not None and message.revision <= current.revision:
            # Counts from when this VM sent its message, which is the safe
            # side.
            self._local.confirm_current(message.echo - message.age)
        if message.age is not None and message.control_addresses:
            self._local.update_control_addresses(
                message.control_addresses, message.echo - message.age
            )
        if not self._local.is_synced:
            self._try_sync_from_data_centre()
        return None

    def _record_draining(self, address: str, draining: bool) -> None:
        """Switch to another source while the current one is draining.

        Otherwise changes after its end would be delayed until it is detected
        as unreachable.
        """
        if not draining:
            self._draining_at_by_address.pop(address, None)
            return
        self._draining_at_by_address[address] = self._clock.monotonic()
        if address == self._primary_address:
            self._wake.set()

    def _is_draining(self, address: str) -> bool:
        draining_at = self._draining_at_by_address.get(address)
        if draining_at is None:
            return False
        return self._clock.monotonic() - draining_at < MAX_DRAINING_AGE_SECONDS

    def _apply_content(self, sender: Sender, message: Update) -> None:
        history = self._local.history
        if message.resources is not None:
            self._apply_snapshot(sender, message)
        elif message.revision > history.current.revision:
            complete = bool(message.changes) and history.advance(
                message.changes
            )
            if not complete:
                # A change is missing, or no changes were requested.
                self.request_changes(sender.address)
        self._compare_digests(sender, message)

    def _apply_snapshot(self, sender: Sender, message: Update) -> None:
        configuration = Configuration.of(
            message.revision, message.resources or []
        )
        current = self._local.current
        is_same = (
            configuration.revision == current.revision
            and configuration.digest == current.digest
        )
        if not is_same:
            self._local.history.replace(configuration)

    def _compare_digests(self, sender: Sender, message: Update) -> None:
        current = self._local.current
        if message.revision != current.revision:
            return
        if message.digest == current.digest:
            return
        if sender.address != self._primary_address:
            return
        now = self._clock.monotonic()
        if (
            self._resynced_at is None
            or now - self._resynced_at >= RESYNC_INTERVAL_SECONDS
        ):
            self._resynced_at = now
            logger.warning(
                "revision {} differs from that of {}: fetching all of it",
                current.revision,
                sender.vm_id,
            )
            self._send_follow(sender.address, snapshot=True)

    def request_changes(self, address: str) -> None:
        """Request missing changes from a VM that is ahead; rate-limited."""
        now = self._clock.monotonic()
        requested_at = self._requested_at_by_address.get(address)
        if (
            requested_at is None
            or now - requested_at >= STALE_FOLLOW_INTERVAL_SECONDS
        ):
            self._requested_at_by_address[address] = now
            self._send_follow(address)

    def _choose_primary(self) -> str | None:
        relay = self._relay()
        if relay is not None and relay != self._own_address:
            return relay
        control = self._other_control_addresses()
        return control[0] if control else None

    @property
    def _own_address(self) -> str:
        return self._peers.identity.control_address

    def _relay(self) -> str | None:
        data_centre = self._peers.identity.data_centre
        relay = self._find_directory().relay_of(data_centre)
        return relay.identity.control_address if relay else None

    def _data_centre_addresses(self) -> list[str]:
        views = self._find_directory().vms_in(self._peers.identity.data_centre)
        addresses = [view.identity.control_address for view in views]
        return [a for a in addresses if a != self._own_address]

    def _other_control_addresses(self) -> list[str]:
        """Return the other control VMs in an order for this data centre.

        This spreads the relays over the control VMs.
        """
        own = self._peers.identity
        addresses = sorted(
            address
            for vm_id, address in self._local.control_addresses.items()
            if vm_id != own.vm_id
        )
        if not addresses:
            return []
        start = zlib.crc32(own.data_centre.encode()) % len(addresses)
        rotated = addresses[start:] + addresses[:start]
        return sorted(rotated, key=self._is_draining)

    def _make_report(self) -> Report:
        return self._reports.make_report(
            self._find_directory(), self._local.current.revision
        )
