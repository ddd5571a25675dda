"""Exchange of summaries between data centres.

For each other data centre one live VM here, chosen by rendezvous hashing
(Thaler and Ravishankar, 1998), sends it the summary of this data centre. The
VM that receives a summary publishes it to the others of its data centre. So
the load is spread over all VMs, and moves when a VM dies or drains.
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

MIN_SUMMARY_INTERVAL_SECONDS = 1.0
# The interval grows with the number of data centres, which bounds the traffic
# of a VM: it is within its budget with 76 data centres.
SUMMARY_INTERVAL_PER_DATA_CENTRE_SECONDS = 0.1
STALE_INTERVALS = 3.0
STALE_MARGIN_SECONDS = 1.0
ENTRIES_PER_SUMMARY = 3
MAX_CONTACTS = 4
# How long a received summary stays published, so that the next one of its
# data centre is a small change.
PUBLISHED_SECONDS = 120.0
# How long the contacts of a data centre are shared before its first summary.
NEW_CONTACT_SHARING_SECONDS = 60.0
REMOVAL_AGE_SECONDS = 24 * 3600.0

REMOTE_TOPIC = 1
REMOTE_FIGURES_TOPIC = 2


class RemoteRecord(msgspec.Struct, frozen=True, array_like=True):
    """The part of a summary that rarely changes, as published here."""

    data_centre: str
    region: str
    entries: list[EntryAddress]
    services: list[str]


class RemoteFiguresRecord(msgspec.Struct, frozen=True, array_like=True):
    """The rest of a summary, and its age when it was published.

    ``age`` is in tenths of a second. ``figures`` has an item for each of the
    services of the ``RemoteRecord``.
    """

    made_at: Stamp
    age: int
    revision: int
    figures: list[ServiceFigures]


@dataclass(kw_only=True)
class RemoteDataCentre:
    """Another data centre; the times are on this VM's monotonic clock."""

    name: str
    region: str
    added_at: float
    made_at: Stamp = Stamp(0, 0)
    updated_at: float = float("-inf")
    revision: int = 0
    entries: tuple[VmIdentity, ...] = ()
    services: tuple[ServiceSummary, ...] = ()
    contacts_by_id: dict[str, VmIdentity] = field(default_factory=dict)
    was_live: bool = False
    summaries_sent: int = 0


class RemoteDataCentres:
    """Sends this data centre's summary and stores those of the others."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        group: VmGroup,
        make_summary: Callable[[str], DataCentreSummary],
        read_urgent_state: Callable[[], frozenset[str]],
        relay_ids: Callable[[], list[str]],
    ) -> None:
        """Create a collection without data centres.

        :param make_summary: makes the summary for the data centre named
        :param read_urgent_state: returns the state whose changes are sent
            without waiting for the interval
        :param relay_ids: returns the VMs here that may send summaries
        """
        self.known_by_name: dict[str, RemoteDataCentre] = {}
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._group = group
        self._make_summary = make_summary
        self._read_urgent_state = read_urgent_state
        self._relay_ids = relay_ids
        self._keys_by_name: dict[str, int] = {}
        self._received_by_name: dict[str, DataCentreSummary] = {}
        self._received_at_by_name: dict[str, float] = {}
        self._published_by_name: dict[str, Stamp] = {}
        self._records_by_source: dict[tuple[str, int], RemoteRecord] = {}
        peers.register(DataCentreSummary, self._handle_summary)
        group.subscribe(REMOTE_TOPIC, self._handle_remote_record)
        group.subscribe(REMOTE_FIGURES_TOPIC, self._handle_figures_record)
        group.add_source(self._publish)

    def interval_seconds(self) -> float:
        """Return the time between two summaries to one data centre."""
        count = len(self.known_by_name)
        return max(
            MIN_SUMMARY_INTERVAL_SECONDS,
            count * SUMMARY_INTERVAL_PER_DATA_CENTRE_SECONDS,
        )

    def stale_seconds(self) -> float:
        """Return the age from which a data centre counts as unreachable."""
        interval = self.interval_seconds()
        return STALE_INTERVALS * interval + STALE_MARGIN_SECONDS

    def age_of(self, name: str) -> float:
        """Return the age of a data centre's summary in seconds."""
        return self._clock.monotonic() - self.known_by_name[name].updated_at

    def live(self) -> list[RemoteDataCentre]:
        """Return the data centres whose summaries are not stale."""
        limit = self._clock.monotonic() - self.stale_seconds()
        return [
            r for r in self.known_by_name.values() if r.updated_at >= limit
        ]

    def add_contact(self, identity: VmIdentity) -> None:
        """Add a VM of another data centre to its contacts."""
        remote = self._get_or_add(identity.data_centre, identity.region)
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
            # Contacts of a data centre that is gone are not shared, or VMs
            # would add it again and again.
            is_new = now - remote.added_at < NEW_CONTACT_SHARING_SECONDS
            if is_new or now - remote.updated_at < REMOVAL_AGE_SECONDS:
                found += self.contacts_in(name)[-count:]
        return found

    def contacts_in(self, name: str) -> list[VmIdentity]:
        """Return the known VMs of a data centre, its current entries last."""
        remote = self.known_by_name.get(name)
        if remote is None:
            return []
        by_id = {vm.vm_id: vm for vm in remote.entries}
        return list({**remote.contacts_by_id, **by_id}.values())

    def digest(self) -> int:
        """Return a checksum over the known data centres and this one."""
        names = sorted([*self.known_by_name, self._own.data_centre])
        return zlib.crc32("\n".join(names).encode())

    async def run(self) -> None:
        """Send this data centre's summary until cancelled."""
        due_by_name: dict[str, float] = {}
        announced: frozenset[str] = frozenset()
        announced_at = float("-inf")
        while True:
            now = self._clock.monotonic()
            interval = self.interval_seconds()
            urgent_state = self._read_urgent_state()
            if (
                urgent_state != announced
                and now - announced_at >= MIN_SUMMARY_INTERVAL_SECONDS
            ):
                # A service that appeared or ended, or an entry that drains,
                # is sent before the interval has passed.
                announced, announced_at = urgent_state, now
                due_by_name.clear()
            for remote in list(self.known_by_name.values()):
                if now < due_by_name.get(remote.name, 0.0):
                    continue
                due_by_name[remote.name] = now + interval
                if self._is_relay_for(remote.name):
                    self._send_summary(remote)
                self._update_liveness(remote, now)
            await self._clock.sleep(MIN_SUMMARY_INTERVAL_SECONDS / 4)

    def _is_relay_for(self, name: str) -> bool:
        ids = self._relay_ids()
        return choose_by_hash(ids, name, 1) == [self._own.vm_id]

    def _send_summary(self, remote: RemoteDataCentre) -> None:
        targets = remote.entries or tuple(remote.contacts_by_id.values())
        if self._clock.monotonic() - remote.updated_at > self.stale_seconds():
            # The entries may all have been replaced during a long partition.
            targets += tuple(remote.contacts_by_id.values())
        if not targets:
            return
        target = targets[remote.summaries_sent % len(targets)]
        remote.summaries_sent += 1
        summary = self._make_summary(remote.name)
        self._peers.send(target.control_address, summary)

    def _update_liveness(self, remote: RemoteDataCentre, now: float) -> None:
        idle_seconds = now - remote.updated_at
        is_live = idle_seconds <= self.stale_seconds()
        if is_live != remote.was_live:
            remote.was_live = is_live
            name = "data_centre.heard" if is_live else "data_centre.silent"
            self._timeline.record(name, data_centre=remote.name)
        # Otherwise summaries would be sent to a removed data centre for ever.
        if now - max(remote.updated_at, remote.added_at) > REMOVAL_AGE_SECONDS:
            del self.known_by_name[remote.name]
            self._received_by_name.pop(remote.name, None)

    async def _handle_summary(
        self, sender: Sender, summary: DataCentreSummary
    ) -> Message | None:
        if summary.data_centre == self._own.data_centre:
            return None
        name = summary.data_centre
        record, figures_record = (
            _make_record(summary),
            _make_figures_record(summary, 0),
        )
        if not self._update(record, figures_record):
            return None
        self._received_by_name[name] = summary
        self._received_at_by_name[name] = self._clock.monotonic()
        return None

    def _publish(self) -> None:
        now = self._clock.monotonic()
        for name, summary in list(self._received_by_name.items()):
            key = self._keys_by_name.setdefault(name, len(self._keys_by_name))
            remote = self.known_by_name[name]
            if now - self._received_at_by_name[name] > PUBLISHED_SECONDS:
                del self._received_by_name[name]
                self._group.drop(REMOTE_TOPIC, key)
                self._group.drop(REMOTE_FIGURES_TOPIC, key)
                continue
            if self._published_by_name.get(name) == summary.made_at:
                continue
            self._published_by_name[name] = summary.made_at
            self._group.put(REMOTE_TOPIC, key, _make_record(summary))
            age = max(0, round((now - remote.updated_at) * 10))
            self._group.put(
                REMOTE_FIGURES_TOPIC, key, _make_figures_record(summary, age)
            )

    def _handle_remote_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        if value is None:
            self._records_by_source.pop((vm_id, key), None)
            return
        record = msgspec.msgpack.decode(value, type=RemoteRecord)
        self._records_by_source[(vm_id, key)] = record

    def _handle_figures_record(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        record = self._records_by_source.get((vm_id, key))
        if value is None or record is None:
            return
        figures_record = msgspec.msgpack.decode(
            value, type=RemoteFiguresRecord
        )
        self._update(record, figures_record)

    def _update(
        self, record: RemoteRecord, figures_record: RemoteFiguresRecord
    ) -> bool:
        remote = self._get_or_add(record.data_centre, record.region)
        idle_seconds = self._clock.monotonic() - remote.updated_at
        is_old = remote.made_at >= figures_record.made_at
        # If a data centre's clocks were set back, its stamps stay old for
        # long; they are accepted once its last summary is stale.
        if is_old and idle_seconds <= self.stale_seconds():
            return False
        if remote.made_at == figures_record.made_at:
            return False
        remote.made_at = figures_record.made_at
        remote.updated_at = self._clock.monotonic() - figures_record.age / 10
        remote.revision = figures_record.revision
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
            decode_figures(name, figures)
            for name, figures in zip(
                record.services, figures_record.figures, strict=False
            )
        )
        for identity in remote.entries:
            self.add_contact(identity)
        return True

    def _get_or_add(self, name: str, region: str) -> RemoteDataCentre:
        remote = self.known_by_name.get(name)
        if remote is None:
            now = self._clock.monotonic()
            remote = RemoteDataCentre(name=name, region=region, added_at=now)
            self.known_by_name[name] = remote
        return remote


def _make_record(summary: DataCentreSummary) -> RemoteRecord:
    return RemoteRecord(
        summary.data_centre,
        summary.region,
        summary.entries,
        summary.services,
    )


def _make_figures_record(
    summary: DataCentreSummary, age: int
) -> RemoteFiguresRecord:
    return RemoteFiguresRecord(
        summary.made_at, age, summary.revision, summary.figures
    )


def choose_by_hash(ids: Iterable[str], key: str, count: int) -> list[str]:
    """Return the first ids in the order of their rendezvous hash for a key.

    Adding or removing an id does not change the order of the others.
    """

    def rank(name: str) -> bytes:
        text = f"{key}\n{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(ids, key=rank)[:count]


def encode_figures(summary: ServiceSummary) -> ServiceFigures:
    """Return the compact encoding of a summary."""
    return ServiceFigures(
        summary.endpoints,
        summary.slots,
        summary.room,
        round(summary.queue_seconds * 10),
        round(summary.warmth * 100),
    )


def decode_figures(service: str, figures: ServiceFigures) -> ServiceSummary:
    """Return the summary of a compact encoding."""
    return ServiceSummary(
        service=service,
        endpoints=figures.endpoints,
        slots=figures.slots,
        room=figures.room,
        queue_seconds=figures.queue / 10,
        warmth=figures.warmth / 100,
    )
