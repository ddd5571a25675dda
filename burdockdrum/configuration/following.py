"""Follow the configuration from a source, and find another if it fails.

A control VM is followed by one relay a data centre, and the relay by the
other VMs there. Who hears nothing fresh asks others as well: VMs of its data
centre first, then control VMs.
"""

import asyncio
from collections.abc import Callable
import zlib

from loguru import logger
import msgspec

from burdockdrum.configuration.knowledge import Knowledge
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

# How often a VM tells its source that it follows, while all is well.
FOLLOW_SECONDS = 2.0
# And while it does not yet know what to serve by, or hears nothing fresh.
HURRIED_SECONDS = 0.5
# Until it knows what to serve by a VM refuses its callers.
FIRST_SECONDS = 0.25
# Knowledge older than this is not fresh: one message in a row was lost at
# each of the two steps from a control VM.
FRESH_SECONDS = 6.0
# Acknowledgements of a relay's VMs are collected for so long.
COLLECT_SECONDS = 0.1
# A whole configuration is fetched at most so often: two versions of the
# program may encode a resource differently and never agree on a digest.
HEAL_SECONDS = 10.0
# The directory names the data centre's VMs within so many seconds of a
# start.
SETTLE_SECONDS = 3.0
# A source that said that it leaves is asked last for so long: it ends within
# its drain, and one that returns says so itself when it is asked.
LEAVING_SECONDS = 30.0


class Follower:
    """Keep this VM's knowledge up to date."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        knowledge: Knowledge,
        reports: Reports,
        directory: Callable[[], Directory],
    ) -> None:
        """Create a follower.

        :param directory: returns the directory, which may need this to be
            built
        """
        self._peers = peers
        self._clock = clock
        self._knowledge = knowledge
        self._reports = reports
        self._find_directory = directory
        self._wake = asyncio.Event()
        self._turn = 0
        self._healed_at: float | None = None
        self._asked_at_by_address: dict[str, float] = {}
        self._known_by_vm_id: dict[str, bool] = {}
        self._leaving_at_by_address: dict[str, float] = {}
        self._highest_revision = 0
        self._primary_address: str | None = None
        self._told_vm_ids_digest = 0
        self._reported: Report | None = None
        knowledge.history.listeners.append(lambda _: self._wake.set())
        peers.register(Update, self._take_update)

    def note_follow(self, sender: Sender, message: Follow) -> None:
        """Act on what a VM that follows this one has told.

        One that is ahead is asked for its changes; a relay passes on that
        one of its data centre has caught up.
        """
        if message.revision > self._knowledge.current.revision:
            self.ask(sender.address)
        if self.is_relay and self._make_report() != self._reported:
            self._wake.set()

    @property
    def is_relay(self) -> bool:
        """Say whether this VM passes on for its data centre."""
        relay = self._relay()
        return relay is not None and relay == self._own_address

    @property
    def is_fresh(self) -> bool:
        """Say whether this VM serves by what is known to be current."""
        age = self._knowledge.age
        return self._knowledge.known and (
            age is not None and age < FRESH_SECONDS
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._wake.clear()
            self._follow()
            period = FOLLOW_SECONDS if self.is_fresh else HURRIED_SECONDS
            if not self._knowledge.known:
                period = FIRST_SECONDS
            try:
                async with asyncio.timeout(period):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await self._clock.sleep(COLLECT_SECONDS)

    def _follow(self) -> None:
        self._turn += 1
        self._primary_address = self._choose_primary()
        if self.is_relay:
            self._reported = self._make_report()
            self._reports.take_report(self._reported)
        if not self._knowledge.known:
            self._ask_data_centre()
        if self._primary_address is not None:
            self._send_follow(self._primary_address)
        if not self.is_fresh:
            self._follow_another()

    def _follow_another(self) -> None:
        others = [
            address
            for address in (*self._neighbours(), *self._control())
            if address != self._primary_address
        ]
        if others:
            self._send_follow(others[self._turn % len(others)])

    def _ask_data_centre(self) -> None:
        for address in self._neighbours():
            if address != self._primary_address:
                self._send_follow(address, content=False)
        self._conclude()

    def _conclude(self) -> None:
        """Serve by what the data centre's VMs know, if all have answered.

        A VM that restarts where no control VM can be reached may have served
        a later revision than the first neighbour that answers it; so every
        one that lives must have answered.
        """
        if self._knowledge.uptime < SETTLE_SECONDS:
            return
        own = self._peers.identity
        views = self._find_directory().vms_in(own.data_centre)
        vm_ids = {view.identity.vm_id for view in views} - {own.vm_id}
        if not vm_ids <= self._known_by_vm_id.keys():
            return
        if not any(self._known_by_vm_id[vm_id] for vm_id in vm_ids):
            return
        if self._knowledge.current.revision >= self._highest_revision:
            self._knowledge.mark_known("data centre")

    def _send_follow(
        self, address: str, *, content: bool = True, snapshot: bool = False
    ) -> None:
        current = self._knowledge.current
        report = None
        if self.is_relay and address in self._control():
            report = self._reported
            if report and report.vm_ids_digest == self._told_vm_ids_digest:
                report = msgspec.structs.replace(report, vm_ids=None)
        message = Follow(
            revision=current.revision,
            digest=current.digest,
            sent_at=self._clock.monotonic(),
            content=content,
            snapshot=snapshot,
            report=report,
            control_digest=self._knowledge.control_digest,
            waits=not self._knowledge.known,
        )
        self._peers.send(address, message)

    async def _take_update(
        self, sender: Sender, message: Update
    ) -> Message | None:
        self._take_content(sender, message)
        self._note_leaving(sender.address, message.leaving)
        if not self._knowledge.is_since_start(message.echo):
            # It answers a message of before this VM's restart, and came
            # late: what its sender knew then proves nothing about now. This
            # VM may have served a later revision in between.
            return None
        current = self._knowledge.current
        if message.known:
            self._highest_revision = max(
                self._highest_revision, message.revision
            )
        self._known_by_vm_id[sender.vm_id] = message.known
        if sender.address == self._primary_address:
            self._told_vm_ids_digest = message.vm_ids_digest
        if message.age is not None and message.revision <= current.revision:
            # What the source knew, it knew after this VM asked.
            self._knowledge.note_current(message.echo - message.age)
        if message.age is not None and message.control_addresses:
            self._knowledge.note_control(
                message.control_addresses, message.echo - message.age
            )
        if not self._knowledge.known:
            self._conclude()
        return None

    def _note_leaving(self, address: str, leaving: bool) -> None:
        """Turn from a source that leaves before it is silent.

        Otherwise a change made just after the end of that VM would wait until
        its silence is noticed.
        """
        if not leaving:
            self._leaving_at_by_address.pop(address, None)
            return
        self._leaving_at_by_address[address] = self._clock.monotonic()
        if address == self._primary_address:
            self._wake.set()

    def _is_leaving(self, address: str) -> bool:
        said_at = self._leaving_at_by_address.get(address)
        if said_at is None:
            return False
        return self._clock.monotonic() - said_at < LEAVING_SECONDS

    def _take_content(self, sender: Sender, message: Update) -> None:
        history = self._knowledge.history
        if message.resources is not None:
            self._take_snapshot(sender, message)
        elif message.revision > history.current.revision:
            complete = bool(message.changes) and history.advance(
                message.changes
            )
            if not complete:
                # A change between was lost, or none were asked for.
                self.ask(sender.address)
        self._compare_digests(sender, message)

    def _take_snapshot(self, sender: Sender, message: Update) -> None:
        configuration = Configuration.of(
            message.revision, message.resources or []
        )
        current = self._knowledge.current
        is_same = (
            configuration.revision == current.revision
            and configuration.digest == current.digest
        )
        if not is_same:
            self._knowledge.history.replace(configuration)

    def _compare_digests(self, sender: Sender, message: Update) -> None:
        current = self._knowledge.current
        if message.revision != current.revision:
            return
        if message.digest == current.digest:
            return
        if sender.address != self._primary_address:
            return
        now = self._clock.monotonic()
        if self._healed_at is None or now - self._healed_at >= HEAL_SECONDS:
            self._healed_at = now
            logger.warning(
                "revision {} differs from that of {}: fetching it whole",
                current.revision,
                sender.vm_id,
            )
            self._send_follow(sender.address, snapshot=True)

    def ask(self, address: str) -> None:
        """Ask a VM that is ahead for what is missing, but not too often."""
        now = self._clock.monotonic()
        asked_at = self._asked_at_by_address.get(address)
        if asked_at is None or now - asked_at >= HURRIED_SECONDS:
            self._asked_at_by_address[address] = now
            self._send_follow(address)

    def _choose_primary(self) -> str | None:
        relay = self._relay()
        if relay is not None and relay != self._own_address:
            return relay
        control = self._control()
        return control[0] if control else None

    @property
    def _own_address(self) -> str:
        return self._peers.identity.control_address

    def _relay(self) -> str | None:
        data_centre = self._peers.identity.data_centre
        relay = self._find_directory().relay_of(data_centre)
        return relay.identity.control_address if relay else None

    def _neighbours(self) -> list[str]:
        views = self._find_directory().vms_in(self._peers.identity.data_centre)
        addresses = [view.identity.control_address for view in views]
        return [a for a in addresses if a != self._own_address]

    def _control(self) -> list[str]:
        """Return the other control VMs, each data centre in its own order.

        The relays spread over them this way.
        """
        own = self._peers.identity
        addresses = sorted(
            address
            for vm_id, address in self._knowledge.control_addresses.items()
            if vm_id != own.vm_id
        )
        if not addresses:
            return []
        start = zlib.crc32(own.data_centre.encode()) % len(addresses)
        rotated = addresses[start:] + addresses[:start]
        return sorted(rotated, key=self._is_leaving)

    def _make_report(self) -> Report:
        return self._reports.make_report(
            self._find_directory(), self._knowledge.current.revision
        )
