"""What this VM knows of the other data centres: summaries only.

For each other data centre one VM here, chosen by rendezvous hashing
(Thaler and Ravishankar, 1998) over those that live, sends this data
centre's summary there. Whichever VM there receives it publishes it to the
others of its data centre. So the work of a relay is shared among all VMs,
and moves to another one by itself when a VM dies or drains.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import hashlib
import zlib

import msgspec

from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.timeline import Stamp
from burdockdrum.timeline import Timeline
from burdockdrum.vms.group import VmGroup
from burdockdrum.vms.messages import DataCentreSummary
from burdockdrum.vms.messages import EntryAddress
from burdockdrum.vms.messages import ServiceFigures
from burdockdrum.vms.messages import ServiceSummary

MIN_SUMMARY_SECONDS = 1.0
# Each data centre more makes the summaries rarer, so that what a VM sends
# and receives stays within its budget at 76 data centres.
SUMMARY_SECONDS_A_DATA_CENTRE = 0.1
STALE_INTERVALS = 3.0
STALE_EXTRA_SECONDS = 1.0
ENTRIES_A_SUMMARY = 3
MAX_CONTACTS = 4
# A summary that this VM received stays published for so long, so that the
# next one for it is a small change.
KEEP_SECONDS = 120.0
# One not heard yet is passed on for so long, while everything starts.
INTRODUCE_SECONDS = 60.0
FORGET_SECONDS = 24 * 3600.0

REMOTE_TOPIC = 1
HEARD_TOPIC = 2


class RemoteRecord(msgspec.Struct, frozen=True, array_like=True):
    """What seldom changes of a summary, for the VMs of this data centre."""

    data_centre: str
    region: str
    entries: list[EntryAddress]
    services: list[str]


class HeardRecord(msgspec.Struct, frozen=True, array_like=True):
    """The rest of a summary, and how old it was when published.

    The age is in tenths of a second. ``figures`` go with the services of
    the ``RemoteRecord``, in their order.
    """

    made_at: Stamp
    age: int
    revision: int
    figures: list[ServiceFigures]


@dataclass(kw_only=True)
class RemoteDataCentre:
    """Another data centre; the times are on this VM's clock."""

    name: str
    region: str
    introduced_at: float
    made_at: Stamp = Stamp(0, 0)
    heard_at: float = float("-inf")
    revision: int = 0
    entries: tuple[VmIdentity, ...] = ()
    services: tuple[ServiceSummary, ...] = ()
    contacts_by_id: dict[str, VmIdentity] = field(default_factory=dict)
    was_live: bool = False
    pushes: int = 0


class RemoteDataCentres:
    """The other data centres by name."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        group: VmGroup,
        make_summary: Callable[[str], DataCentreSummary],
        read_headline: Callable[[], frozenset[str]],
        relay_ids: Callable[[], list[str]],
    ) -> None:
        """Create an empty set.

        :param make_summary: describes this data centre to the one named
        :param read_headline: returns what others must be told of at once
        :param relay_ids: the VMs here that may send summaries
        """
        self.known_by_name: dict[str, RemoteDataCentre] = {}
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._group = group
        self._make_summary = make_summary
        self._read_headline = read_headline
        self._relay_ids = relay_ids
        self._keys_by_name: dict[str, int] = {}
        self._received_by_name: dict[str, DataCentreSummary] = {}
        self._received_at_by_name: dict[str, float] = {}
        self._published_by_name: dict[str, Stamp] = {}
        self._records_by_source: dict[tuple[str, int], RemoteRecord] = {}
        peers.register(DataCentreSummary, self._take_summary)
        group.subscribe(REMOTE_TOPIC, self._take_remote_record)
        group.subscribe(HEARD_TOPIC, self._take_heard_record)
        group.add_source(self._publish)

    def interval_seconds(self) -> float:
        """Return the time between two summaries to one data centre."""
        count = len(self.known_by_name)
        return max(MIN_SUMMARY_SECONDS, count * SUMMARY_SECONDS_A_DATA_CENTRE)

    def stale_seconds(self) -> float:
        """Return the age from which a data centre counts as unreachable."""
        interval = self.interval_seconds()
        return STALE_INTERVALS * interval + STALE_EXTRA_SECONDS

    def age_of(self, name: str) -> float:
        """Return how many seconds ago a data centre was heard of."""
        return self._clock.monotonic() - self.known_by_name[name].heard_at

    def live(self) -> list[RemoteDataCentre]:
        """Return the data centres that were heard of lately."""
        limit = self._clock.monotonic() - self.stale_seconds()
        return [r for r in self.known_by_name.values() if r.heard_at >= limit]

    def introduce(self, identity: VmIdentity) -> None:
        """Take in a VM of another data centre that was heard of."""
        remote = self._find(identity.data_centre, identity.region)
        known = remote.contacts_by_id.pop(identity.vm_id, None)
        if known is not None and known.incarnation > identity.incarnation:
            identity = known
        remote.contacts_by_id[identity.vm_id] = identity
        while len(remote.contacts_by_id) > MAX_CONTACTS:
            del remote.contacts_by_id[next(iter(remote.contacts_by_id))]

    def contacts(self, count: int) -> list[VmIdentity]:
        """Return a few VMs of each other data centre."""
        now = self._clock.monotonic()
        found = []
        for name, remote in self.known_by_name.items():
            # One silent for a day is not passed on: VMs would remind each
            # other for ever of a data centre that is gone.
            is_new = now - remote.introduced_at < INTRODUCE_SECONDS
            if is_new or now - remote.heard_at < FORGET_SECONDS:
                found += self.contacts_in(name)[-count:]
        return found

    def contacts_in(self, name: str) -> list[VmIdentity]:
        """Return the VMs known of a data centre, the surest last."""
        remote = self.known_by_name.get(name)
        if remote is None:
            return []
        by_id = {vm.vm_id: vm for vm in remote.entries}
        return list({**remote.contacts_by_id, **by_id}.values())

    def digest(self) -> int:
        """Return a number for the data centres known, this one too."""
        names = sorted([*self.known_by_name, self._own.data_centre])
        return zlib.crc32("\n".join(names).encode())

    async def run(self) -> None:
        """Send this data centre's summary until cancelled."""
        due_by_name: dict[str, float] = {}
        told: frozenset[str] = frozenset()
        told_at = float("-inf")
        while True:
            now = self._clock.monotonic()
            interval = self.interval_seconds()
            headline = self._read_headline()
            if headline != told and now - told_at >= MIN_SUMMARY_SECONDS:
                # A service that came or went, or an entry that drains, is
                # not kept back for the rest of the interval.
                told, told_at = headline, now
                due_by_name.clear()
            for remote in list(self.known_by_name.values()):
                if now < due_by_name.get(remote.name, 0.0):
                    continue
                due_by_name[remote.name] = now + interval
                if self._is_relay_for(remote.name):
                    self._send_summary(remote)
                self._note_liveness(remote, now)
            await self._clock.sleep(MIN_SUMMARY_SECONDS / 4)

    def _is_relay_for(self, name: str) -> bool:
        ids = self._relay_ids()
        return choose_by_hash(ids, name, 1) == [self._own.vm_id]

    def _send_summary(self, remote: RemoteDataCentre) -> None:
        targets = remote.entries or tuple(remote.contacts_by_id.values())
        if self._clock.monotonic() - remote.heard_at > self.stale_seconds():
            # The entries may all have been replaced during a long cut.
            targets += tuple(remote.contacts_by_id.values())
        if not targets:
            return
        target = targets[remote.pushes % len(targets)]
        remote.pushes += 1
        summary = self._make_summary(remote.name)
        self._peers.send(target.control_address, summary)

    def _note_liveness(self, remote: RemoteDataCentre, now: float) -> None:
        silence = now - remote.heard_at
        is_live = silence <= self.stale_seconds()
        if is_live != remote.was_live:
            remote.was_live = is_live
            name = "data_centre.heard" if is_live else "data_centre.silent"
            self._timeline.record(name, data_centre=remote.name)
        # One that was given up would otherwise be sent to for ever.
        if now - max(remote.heard_at, remote.introduced_at) > FORGET_SECONDS:
            del self.known_by_name[remote.name]
            self._received_by_name.pop(remote.name, None)

    async def _take_summary(
        self, sender: Sender, summary: DataCentreSummary
    ) -> Message | None:
        if summary.data_centre == self._own.data_centre:
            return None
        name = summary.data_centre
        record, heard = _make_record(summary), _make_heard(summary, 0)
        if not self._update(record, heard):
            return None
        self._received_by_name[name] = summary
        self._received_at_by_name[name] = self._clock.monotonic()
        return None

    def _publish(self) -> None:
        now = self._clock.monotonic()
        for name, summary in list(self._received_by_name.items()):
            key = self._keys_by_name.setdefault(name, len(self._keys_by_name))
            remote = self.known_by_name[name]
            if now - self._received_at_by_name[name] > KEEP_SECONDS:
                del self._received_by_name[name]
                self._group.drop(REMOTE_TOPIC, key)
                self._group.drop(HEARD_TOPIC, key)
                continue
            if self._published_by_name.get(name) == summary.made_at:
                continue
            self._published_by_name[name] = summary.made_at
            self._group.put(REMOTE_TOPIC, key, _make_record(summary))
            age = max(0, round((now - remote.heard_at) * 10))
            self._group.put(HEARD_TOPIC, key, _make_heard(summary, age))

    def _take_remote_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        if value is None:
            self._records_by_source.pop((vm_id, key), None)
            return
        record = msgspec.msgpack.decode(value, type=RemoteRecord)
        self._records_by_source[(vm_id, key)] = record

    def _take_heard_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        record = self._records_by_source.get((vm_id, key))
        if value is None or record is None:
            return
        heard = msgspec.msgpack.decode(value, type=HeardRecord)
        self._update(record, heard)

    def _update(self, record: RemoteRecord, heard: HeardRecord) -> bool:
        remote = self._find(record.data_centre, record.region)
        silence = self._clock.monotonic() - remote.heard_at
        is_old = remote.made_at >= heard.made_at
        # After a data centre's clocks were set back its stamps are old for
        # long; once it counts as silent, they are taken all the same.
        if is_old and silence <= self.stale_seconds():
            return False
        if remote.made_at == heard.made_at:
            return False
        remote.made_at = heard.made_at
        remote.heard_at = self._clock.monotonic() - heard.age / 10
        remote.revision = heard.revision
        remote.region = record.region
        remote.entries = tuple(
            VmIdentity(
                vm_id=entry.vm_id,
                incarnation=entry.incarnation,
                region=record.region,
                data_centre=record.data_centre,
                control_address=entry.control_address,
                http_address=entry.http_address,
            )
            for entry in record.entries
        )
        remote.services = tuple(
            read_figures(name, figures)
            for name, figures in zip(
                record.services, heard.figures, strict=False
            )
        )
        for identity in remote.entries:
            self.introduce(identity)
        return True

    def _find(self, name: str, region: str) -> RemoteDataCentre:
        remote = self.known_by_name.get(name)
        if remote is None:
            now = self._clock.monotonic()
            remote = RemoteDataCentre(
                name=name, region=region, introduced_at=now
            )
            self.known_by_name[name] = remote
        return remote


def _make_record(summary: DataCentreSummary) -> RemoteRecord:
    return RemoteRecord(
        summary.data_centre,
        summary.region,
        summary.entries,
        summary.services,
    )


def _make_heard(summary: DataCentreSummary, age: int) -> HeardRecord:
    return HeardRecord(summary.made_at, age, summary.revision, summary.figures)


def choose_by_hash(ids: Iterable[str], key: str, count: int) -> list[str]:
    """Return the ids that rank first for a key; others keep their place."""

    def rank(name: str) -> bytes:
        text = f"{key}\n{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(ids, key=rank)[:count]


def make_figures(summary: ServiceSummary) -> ServiceFigures:
    """Shorten a summary for the wire."""
    return ServiceFigures(
        summary.endpoints,
        summary.slots,
        summary.room,
        round(summary.queue_seconds * 10),
        round(summary.warmth * 100),
    )


def read_figures(service: str, figures: ServiceFigures) -> ServiceSummary:
    """Undo ``make_figures``."""
    return ServiceSummary(
        service=service,
        endpoints=figures.endpoints,
        slots=figures.slots,
        room=figures.room,
        queue_seconds=figures.queue / 10,
        warmth=figures.warmth / 100,
    )
