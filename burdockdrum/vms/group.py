"""The VMs of this data centre: what each publishes, and who lives.

Every VM sends the changes of its publication to every other one once a
tick; the message is its heartbeat too. A gap, or silence on a direct link,
makes a VM ask for what it misses: the publisher, or two others.
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
from burdockdrum.vms.liveness import Limits
from burdockdrum.vms.liveness import STALL_SECONDS
from burdockdrum.vms.members import Member
from burdockdrum.vms.members import VmState
from burdockdrum.vms.messages import Ask
from burdockdrum.vms.messages import Changes
from burdockdrum.vms.messages import Record
from burdockdrum.vms.publication import NIL
from burdockdrum.vms.publication import Publication

MIN_TICK_SECONDS = 0.25
# A tick costs a send to each other VM: with so many VMs it takes a second.
VMS_A_TICK_SECOND = 17
URGENT_SECONDS = 0.05
ASKED_AT_ONCE = 2
ASK_AGAIN_SECONDS = 0.2
# A dead VM is greeted for so long; a cut may last for an hour.
FORGET_DEAD_SECONDS = 4 * 3600.0

IDENTITY_TOPIC = 0
IDENTITY_KEY = 0
STATE_KEY = 1

RecordHandler = Callable[[str, int, msgspec.Raw | None], None]
SyncHandler = Callable[[str], None]


class VmGroup:
    """Publish this VM's records and follow those of the others."""

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
        self._urgent = asyncio.Event()
        self._sources: list[Callable[[], None]] = []
        self._handlers_by_topic: dict[int, RecordHandler] = {}
        self._sync_handlers: list[SyncHandler] = []
        self.subscribe(IDENTITY_TOPIC, self._take_own_record)
        self._own.put(
            IDENTITY_TOPIC, IDENTITY_KEY, msgspec.msgpack.encode(self.identity)
        )
        peers.register(Changes, self._take_changes)
        peers.register(Ask, self._take_ask)

    def put(self, topic: int, key: int, value: object) -> None:
        """Publish a value with the next tick."""
        self._own.put(topic, key, msgspec.msgpack.encode(value))

    def drop(self, topic: int, key: int) -> None:
        """Withdraw a value with the next tick."""
        self._own.drop(topic, key)

    def urge(self) -> None:
        """Tick as soon as possible: something must be known quickly."""
        self._urgent.set()

    def add_source(self, source: Callable[[], None]) -> None:
        """Call a function before each tick, to put and drop."""
        self._sources.append(source)

    def subscribe(self, topic: int, handler: RecordHandler) -> None:
        """Call a function with each change of another VM's records.

        It gets the VM's id, the key and the value, None where dropped.
        """
        self._handlers_by_topic[topic] = handler

    def add_sync_handler(self, handler: SyncHandler) -> None:
        """Call a function whenever a VM's publication is up to date."""
        self._sync_handlers.append(handler)

    def live_members(self) -> list[Member]:
        """Return the other VMs that were heard and are not dead."""
        return [
            member
            for member in self.members_by_id.values()
            if member.health is not Health.DEAD and member.state is not None
        ]

    def digest(self) -> int:
        """Return a number that stands for the VMs that live here."""
        names = [
            f"{m.identity.vm_id}/{m.identity.incarnation}"
            for m in self.members_by_id.values()
            if m.health is not Health.DEAD
        ]
        names.append(f"{self.identity.vm_id}/{self.identity.incarnation}")
        return zlib.crc32("\n".join(sorted(names)).encode())

    def introduce(self, identity: VmIdentity) -> None:
        """Take in a VM of this data centre that was heard of.

        It is sent this VM's ticks; it counts once it was heard itself.
        """
        if identity.data_centre != self.identity.data_centre:
            return
        if identity.vm_id == self.identity.vm_id:
            self._check_same_id(identity.incarnation, identity.control_address)
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
        self.urge()

    def answer_hello(self, identity: VmIdentity) -> None:
        """Let a VM that said hello hear this one.

        A hello alone does not make a dead VM live again here: one that can
        send but not receive would flap. It hears this heartbeat, begins to
        tick, and its tick makes it live.
        """
        self.introduce(identity)
        member = self.members_by_id.get(identity.vm_id)
        if member is not None and member.health is Health.DEAD:
            heartbeat = self._own.changes_since(self._own.sequence)
            self._peers.send(identity.control_address, heartbeat)

    def tick_seconds(self) -> float:
        """Return the time between two ticks for so many VMs."""
        count = len(self.members_by_id) + 1
        return max(MIN_TICK_SECONDS, count / VMS_A_TICK_SECOND)

    async def run(self) -> None:
        """Publish and judge once a tick until cancelled."""
        while True:
            await self._pause()
            self._judge_all()
            self._publish()

    async def _pause(self) -> None:
        seconds = self.tick_seconds()
        started = self._clock.monotonic()
        if await self._wait_for_urgency(seconds):
            seconds = self._clock.monotonic() - started + URGENT_SECONDS
            await self._clock.sleep(URGENT_SECONDS)
        stall = self._clock.monotonic() - started - seconds
        if stall > STALL_SECONDS:
            self._timeline.record("vm.stalled", seconds=round(stall, 3))
            for member in self.members_by_id.values():
                member.heartbeat.excuse(stall)

    async def _wait_for_urgency(self, seconds: float) -> bool:
        # The injected clock, not asyncio.timeout: a stall shows on it.
        sleeping = asyncio.create_task(self._clock.sleep(seconds))
        urged = asyncio.create_task(self._urgent.wait())
        try:
            await asyncio.wait(
                {sleeping, urged}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleeping.cancel()
            urged.cancel()
        was_urged = self._urgent.is_set()
        self._urgent.clear()
        return was_urged

    def _publish(self) -> None:
        for source in self._sources:
            source()
        self.put(IDENTITY_TOPIC, STATE_KEY, self._read_state())
        changes = self._own.advance()
        for member in self.members_by_id.values():
            if member.health is not Health.DEAD:
                self._peers.send(member.identity.control_address, changes)

    def _judge_all(self) -> None:
        now = self._clock.monotonic()
        limits = Limits.from_tick(self.tick_seconds())
        for member in list(self.members_by_id.values()):
            if member.health is Health.DEAD:
                silence = now - member.heartbeat.advanced_at
                if silence > FORGET_DEAD_SECONDS:
                    del self.members_by_id[member.identity.vm_id]
                continue
            health = member.heartbeat.health(limits, now)
            if health is not member.health:
                self._set_health(member, health)
            if health is not Health.DEAD and member.heartbeat.is_indirect(
                limits, now
            ):
                self._ask_others(member)

    def _set_health(self, member: Member, health: Health) -> None:
        member.health = health
        if member.state is not None and member.state.draining:
            # It said that it would go: nothing to worry an operator with.
            if health is Health.DEAD:
                self._timeline.record("vm.left", vm_id=member.identity.vm_id)
            return
        self._timeline.record(
            f"vm.{health.value}", vm_id=member.identity.vm_id
        )

    def _ask_others(self, member: Member) -> None:
        others = [
            other.identity.control_address
            for other in self.live_members()
            if other is not member and other.health is Health.ALIVE
        ]
        count = min(ASKED_AT_ONCE, len(others))
        chosen = self._rng.sample(others, count)
        self._ask(member, [*chosen, member.identity.control_address])

    def _ask(self, member: Member, addresses: list[str]) -> None:
        now = self._clock.monotonic()
        if now - member.asked_at < ASK_AGAIN_SECONDS:
            return
        member.asked_at = now
        ask = Ask(
            vm_id=member.identity.vm_id,
            incarnation=member.identity.incarnation,
            have=member.publication.sequence,
        )
        for address in addresses:
            self._peers.send(address, ask)

    async def _take_ask(self, sender: Sender, ask: Ask) -> Message | None:
        if ask.vm_id == self.identity.vm_id:
            publication = self._own
        else:
            member = self.members_by_id.get(ask.vm_id)
            if member is None:
                return None
            publication = member.publication
        if publication.incarnation != ask.incarnation:
            return None
        if publication.sequence > ask.have:
            changes = publication.changes_since(ask.have)
            self._peers.send(sender.address, changes)
        return None

    async def _take_changes(
        self, sender: Sender, changes: Changes
    ) -> Message | None:
        direct = sender.vm_id == changes.vm_id
        if changes.vm_id == self.identity.vm_id:
            self._check_same_id(changes.incarnation, sender.address)
            return None
        member = self.members_by_id.get(changes.vm_id)
        if member is None:
            if direct:
                self._ask_stranger(sender, changes)
            return None
        known = member.identity.incarnation
        if changes.incarnation < known:
            if direct:
                # It goes on though another one took its id: let it know.
                publication = member.publication
                news = publication.changes_since(publication.sequence)
                self._peers.send(sender.address, news)
            return None
        if changes.incarnation > known:
            if direct:
                self._ask_stranger(sender, changes)
            return None
        self._follow(member, changes, direct=direct)
        return None

    def _follow(
        self, member: Member, changes: Changes, *, direct: bool
    ) -> None:
        now = self._clock.monotonic()
        member.heartbeat.note(changes.sequence, now=now, direct=direct)
        if member.health is not Health.ALIVE:
            limits = Limits.from_tick(self.tick_seconds())
            health = member.heartbeat.health(limits, now)
            if health is Health.ALIVE:
                self._set_health(member, health)
        news = member.publication.apply(changes)
        if news is None:
            self._ask(member, [member.identity.control_address])
            return
        self._hand_out(member.identity.vm_id, news)
        for handler in self._sync_handlers:
            handler(member.identity.vm_id)

    def _hand_out(self, vm_id: str, records: list[Record]) -> None:
        for record in records:
            handler = self._handlers_by_topic.get(record.topic)
            if handler is None:
                continue
            dropped = bytes(record.value) == bytes(NIL)
            try:
                handler(vm_id, record.key, None if dropped else record.value)
            except msgspec.MsgspecError as error:
                # A newer version may publish what this one can't read. The
                # rest of the changes has to get through all the same: they
                # are not sent again.
                logger.warning(
                    "{} published topic {} in a form unknown here: {}",
                    vm_id,
                    record.topic,
                    error,
                )

    def _take_own_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        if key != STATE_KEY or value is None:
            return
        member = self.members_by_id[vm_id]
        if member.state is None:
            self._timeline.record("vm.joined", vm_id=vm_id)
        member.state = msgspec.msgpack.decode(value, type=VmState)

    def _ask_stranger(self, sender: Sender, changes: Changes) -> None:
        for record in changes.records:
            is_identity = record.topic == IDENTITY_TOPIC
            if is_identity and record.key == IDENTITY_KEY:
                identity = msgspec.msgpack.decode(
                    record.value, type=VmIdentity
                )
                self.introduce(identity)
                member = self.members_by_id.get(identity.vm_id)
                if member is not None and changes.full:
                    self._follow(member, changes, direct=True)
                return
        ask = Ask(vm_id=changes.vm_id, incarnation=changes.incarnation, have=0)
        self._peers.send(sender.address, ask)

    def _check_same_id(self, incarnation: int, address: str) -> None:
        # Two VMs with one id take each other's place at every peer. The
        # operator has to mend the settings of one; the older one says so.
        if incarnation <= self.identity.incarnation or self.has_duplicate_id:
            return
        self.has_duplicate_id = True
        self._timeline.record("vm.duplicate_id", told_by=address)
        logger.error(
            "a newer process has this VM's id {!r}: give one of them "
            "another vm.id in its settings",
            self.identity.vm_id,
        )

    def _remove(self, member: Member, event: str) -> None:
        vm_id = member.identity.vm_id
        self._hand_out(vm_id, member.publication.clear())
        del self.members_by_id[vm_id]
        self._timeline.record(event, vm_id=vm_id)
