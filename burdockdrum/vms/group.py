"""Membership and state replication among the VMs of this data centre.

Every VM sends the changes of its publication to every other one once per
tick, which is its heartbeat too. After a gap a VM queries the publisher for
the missing changes, and after an idle timeout also two other VMs.
"""

import asyncio
from collections.abc import Callable
import random
import zlib

from loguru import logger
import msgspec

from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.liveness import Heartbeat
from burdockdrum.vms.liveness import IdleTimeouts
from burdockdrum.vms.liveness import STALL_SECONDS
from burdockdrum.vms.members import Member
from burdockdrum.vms.members import VmState
from burdockdrum.vms.messages import Changes
from burdockdrum.vms.messages import ChangesQuery
from burdockdrum.vms.messages import Record
from burdockdrum.vms.publication import NIL
from burdockdrum.vms.publication import Publication

MIN_TICK_INTERVAL_SECONDS = 0.25
# A tick sends to every other VM; with this many VMs the interval is one
# second.
VMS_PER_TICK_SECOND = 17
URGENT_DELAY_SECONDS = 0.05
INDIRECT_QUERY_COUNT = 2
QUERY_INTERVAL_SECONDS = 0.2
# Dead VMs are still sent hellos for this time, to rejoin after a partition,
# which may last for an hour.
DEAD_RETENTION_SECONDS = 4 * 3600.0

IDENTITY_TOPIC = 0
IDENTITY_KEY = 0
STATE_KEY = 1

RecordHandler = Callable[[str, int, msgspec.Raw | None], None]
SyncHandler = Callable[[str], None]


class VmGroup:
    """Publishes this VM's records and mirrors those of the other VMs."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        rng: random.Random,
        read_state: Callable[[], VmState],
    ) -> None:
        """Create a group that knows only this VM."""
        self.identity = peers.identity
        self.members_by_id: dict[str, Member] = {}
        self.has_duplicate_id = False
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._rng = rng
        self._read_state = read_state
        self._own = Publication(
            vm_id=self.identity.vm_id, incarnation=self.identity.incarnation
        )
        self._tick_requested = asyncio.Event()
        self._sources: list[Callable[[], None]] = []
        self._handlers_by_topic: dict[int, RecordHandler] = {}
        self._sync_handlers: list[SyncHandler] = []
        self.subscribe(IDENTITY_TOPIC, self._handle_member_record)
        self._own.put(
            IDENTITY_TOPIC, IDENTITY_KEY, msgspec.msgpack.encode(self.identity)
        )
        peers.register(Changes, self._handle_changes)
        peers.register(ChangesQuery, self._handle_query)

    def put(self, topic: int, key: int, value: object) -> None:
        """Publish a value at the next tick."""
        self._own.put(topic, key, msgspec.msgpack.encode(value))

    def drop(self, topic: int, key: int) -> None:
        """Withdraw a value at the next tick."""
        self._own.drop(topic, key)

    def request_tick(self) -> None:
        """Publish soon instead of at the next regular tick."""
        self._tick_requested.set()

    def add_source(self, source: Callable[[], None]) -> None:
        """Register a function that puts and drops values before each tick."""
        self._sources.append(source)

    def subscribe(self, topic: int, handler: RecordHandler) -> None:
        """Register a handler for changes of a topic by other VMs.

        It gets the VM's id, the key and the value, None if it was dropped.
        """
        self._handlers_by_topic[topic] = handler

    def add_sync_handler(self, handler: SyncHandler) -> None:
        """Register a handler, called when a VM's records are current."""
        self._sync_handlers.append(handler)

    def live_members(self) -> list[Member]:
        """Return the other VMs that published their state and are not dead."""
        return [
            member
            for member in self.members_by_id.values()
            if member.health is not Health.DEAD and member.state is not None
        ]

    def digest(self) -> int:
        """Return a checksum over the live VMs of this data centre."""
        names = [
            f"{m.identity.vm_id}/{m.identity.incarnation}"
            for m in self.members_by_id.values()
            if m.health is not Health.DEAD
        ]
        names.append(f"{self.identity.vm_id}/{self.identity.incarnation}")
        return zlib.crc32("\n".join(sorted(names)).encode())

    def add_member(self, identity: VmIdentity) -> None:
        """Add a VM of this data centre, or replace an older incarnation.

        It gets this VM's ticks, and counts as live once it sent its own.
        """
        if identity.data_centre != self.identity.data_centre:
            return
        if identity.vm_id == self.identity.vm_id:
            self._check_duplicate_id(
                identity.incarnation, identity.control_address
            )
            return
        known = self.members_by_id.get(identity.vm_id)
        if known and known.identity.incarnation >= identity.incarnation:
            return
        if known is not None:
            self._remove(known, "vm.replaced")
        self.members_by_id[identity.vm_id] = Member(
            identity=identity,
            publication=Publication(
                vm_id=identity.vm_id, incarnation=identity.incarnation
            ),
            heartbeat=Heartbeat(now=self._clock.monotonic()),
        )
        self._timeline.record(
            "vm.introduced",
            vm_id=identity.vm_id,
            vm_incarnation=identity.incarnation,
        )
        self.request_tick()

    def handle_hello(self, identity: VmIdentity) -> None:
        """Add the sender of a hello; answer a dead VM with a heartbeat.

        The hello itself does not mark a dead VM as live, or a VM that can
        send but not receive would flap. If the heartbeat arrives, the VM
        sends ticks again, and these mark it as live.
        """
        self.add_member(identity)
        member = self.members_by_id.get(identity.vm_id)
        if member is not None and member.health is Health.DEAD:
            self._peers.send(identity.control_address, self._own.heartbeat())

    def tick_interval_seconds(self) -> float:
        """Return the time between two ticks, which grows with the group."""
        count = len(self.members_by_id) + 1
        return max(MIN_TICK_INTERVAL_SECONDS, count / VMS_PER_TICK_SECOND)

    async def run(self) -> None:
        """Update the health of members and publish, once per tick."""
        while True:
            await self._pause()
            self._update_health()
            self._publish()

    async def _pause(self) -> None:
        seconds = self.tick_interval_seconds()
        started = self._clock.monotonic()
        if await self._wait_for_request(seconds):
            seconds = self._clock.monotonic() - started + URGENT_DELAY_SECONDS
            await self._clock.sleep(URGENT_DELAY_SECONDS)
        stall = self._clock.monotonic() - started - seconds
        if stall > STALL_SECONDS:
            self._timeline.record("vm.stalled", seconds=round(stall, 3))
            for member in self.members_by_id.values():
                member.heartbeat.discount_stall(stall)

    async def _wait_for_request(self, seconds: float) -> bool:
        # Uses the injected clock, on which tests can simulate a stall.
        sleeping = asyncio.create_task(self._clock.sleep(seconds))
        requested = asyncio.create_task(self._tick_requested.wait())
        try:
            await asyncio.wait(
                {sleeping, requested}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleeping.cancel()
            requested.cancel()
        was_requested = self._tick_requested.is_set()
        self._tick_requested.clear()
        return was_requested

    def _publish(self) -> None:
        for source in self._sources:
            source()
        self.put(IDENTITY_TOPIC, STATE_KEY, self._read_state())
        changes = self._own.advance()
        for member in self.members_by_id.values():
            if member.health is not Health.DEAD:
                self._peers.send(member.identity.control_address, changes)

    def _update_health(self) -> None:
        now = self._clock.monotonic()
        timeouts = IdleTimeouts.from_tick(self.tick_interval_seconds())
        for member in list(self.members_by_id.values()):
            if member.health is Health.DEAD:
                idle_seconds = now - member.heartbeat.advanced_at
                if idle_seconds > DEAD_RETENTION_SECONDS:
                    del self.members_by_id[member.identity.vm_id]
                continue
            health = member.heartbeat.health(timeouts, now)
            if health is not member.health:
                self._set_health(member, health)
            if health is not Health.DEAD and member.heartbeat.is_indirect(
                timeouts, now
            ):
                self._query_others(member)

    def _set_health(self, member: Member, health: Health) -> None:
        member.health = health
        if member.state is not None and member.state.draining:
            # An announced exit needs no alert.
            if health is Health.DEAD:
                self._timeline.record("vm.left", vm_id=member.identity.vm_id)
            return
        self._timeline.record(
            f"vm.{health.value}", vm_id=member.identity.vm_id
        )

    def _query_others(self, member: Member) -> None:
        others = [
            other.identity.control_address
            for other in self.live_members()
            if other is not member and other.health is Health.ALIVE
        ]
        count = min(INDIRECT_QUERY_COUNT, len(others))
        chosen = self._rng.sample(others, count)
        self._query(member, [*chosen, member.identity.control_address])

    def _query(self, member: Member, addresses: list[str]) -> None:
        now = self._clock.monotonic()
        if now - member.queried_at < QUERY_INTERVAL_SECONDS:
            return
        member.queried_at = now
        query = ChangesQuery(
            vm_id=member.identity.vm_id,
            incarnation=member.identity.incarnation,
            have=member.publication.sequence,
        )
        for address in addresses:
            self._peers.send(address, query)

    async def _handle_query(
        self, sender: Sender, query: ChangesQuery
    ) -> Message | None:
        if query.vm_id == self.identity.vm_id:
            publication = self._own
        else:
            member = self.members_by_id.get(query.vm_id)
            if member is None:
                return None
            publication = member.publication
        if publication.incarnation != query.incarnation:
            return None
        if publication.sequence > query.have:
            changes = publication.changes_since(query.have)
            self._peers.send(sender.address, changes)
        return None

    async def _handle_changes(
        self, sender: Sender, changes: Changes
    ) -> Message | None:
        direct = sender.vm_id == changes.vm_id
        if changes.vm_id == self.identity.vm_id:
            self._check_duplicate_id(changes.incarnation, sender.address)
            return None
        member = self.members_by_id.get(changes.vm_id)
        if member is None:
            if direct:
                self._handle_unknown_sender(sender, changes)
            return None
        known = member.identity.incarnation
        if changes.incarnation == known:
            self._apply_changes(member, changes, direct=direct)
        elif direct and changes.incarnation > known:
            self._handle_unknown_sender(sender, changes)
        elif direct and member.health is Health.DEAD:
            # A start after the clock was set back has a lower number.
            self._remove(member, "vm.replaced")
            self._handle_unknown_sender(sender, changes)
        elif direct:
            # An older VM still uses the id of a newer one: notify it.
            heartbeat = member.publication.heartbeat()
            self._peers.send(sender.address, heartbeat)
        return None

    def _apply_changes(
        self, member: Member, changes: Changes, *, direct: bool
    ) -> None:
        now = self._clock.monotonic()
        member.heartbeat.record(changes.sequence, now=now, direct=direct)
        if member.health is not Health.ALIVE:
            timeouts = IdleTimeouts.from_tick(self.tick_interval_seconds())
            health = member.heartbeat.health(timeouts, now)
            if health is Health.ALIVE:
                self._set_health(member, health)
        records = member.publication.apply(changes)
        if records is None:
            self._query(member, [member.identity.control_address])
            return
        self._dispatch(member.identity.vm_id, records)
        for handler in self._sync_handlers:
            handler(member.identity.vm_id)

    def _dispatch(self, vm_id: str, records: list[Record]) -> None:
        for record in records:
            handler = self._handlers_by_topic.get(record.topic)
            if handler is None:
                continue
            dropped = bytes(record.value) == bytes(NIL)
            try:
                handler(vm_id, record.key, None if dropped else record.value)
            except msgspec.MsgspecError as error:
                # A newer version may use another format. The other records
                # must still be handled, as they are not sent again.
                logger.warning(
                    "cannot decode a record of VM {}, topic {}: {}",
                    vm_id,
                    record.topic,
                    error,
                )

    def _handle_member_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        if key != STATE_KEY or value is None:
            return
        member = self.members_by_id[vm_id]
        if member.state is None:
            self._timeline.record("vm.joined", vm_id=vm_id)
        member.state = msgspec.msgpack.decode(value, type=VmState)

    def _handle_unknown_sender(self, sender: Sender, changes: Changes) -> None:
        for record in changes.records:
            is_identity = record.topic == IDENTITY_TOPIC
            if is_identity and record.key == IDENTITY_KEY:
                identity = msgspec.msgpack.decode(
                    record.value, type=VmIdentity
                )
                self.add_member(identity)
                member = self.members_by_id.get(identity.vm_id)
                if member is not None and changes.full:
                    self._apply_changes(member, changes, direct=True)
                return
        query = ChangesQuery(
            vm_id=changes.vm_id, incarnation=changes.incarnation, have=0
        )
        self._peers.send(sender.address, query)

    def _check_duplicate_id(self, incarnation: int, address: str) -> None:
        # Two VMs with one id replace each other at every peer. The older one
        # logs it, as an operator has to fix the settings.
        if incarnation <= self.identity.incarnation or self.has_duplicate_id:
            return
        self.has_duplicate_id = True
        self._timeline.record("vm.duplicate_id", told_by=address)
        logger.error(
            "another VM was started with this VM's id {!r}: set a different "
            "vm.id for one of them",
            self.identity.vm_id,
        )

    def _remove(self, member: Member, event: str) -> None:
        vm_id = member.identity.vm_id
        self._dispatch(vm_id, member.publication.clear())
        del self.members_by_id[vm_id]
        self._timeline.record(event, vm_id=vm_id)
