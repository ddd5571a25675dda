"""Publish the endpoints that report to this VM to the others here.

To save bandwidth, a full record is published once per endpoint. Its load
follows under a short numeric key and only when it changes, and its cached
prefixes within a fixed budget, the latest first.
"""

from dataclasses import replace

import msgspec

from burdockdrum.endpoints import COPY_LEASE_SECONDS
from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import REPORT_INTERVAL_SECONDS
from burdockdrum.ports import Clock
from burdockdrum.vms.group import VmGroup

ENDPOINT_TOPIC = 3
LOAD_TOPIC = 4
CACHE_TOPIC = 5

# With hashes of 5 bytes and 16 peers this is under 2 KB per tick.
MAX_PREFIXES_PER_TICK = 24
MAX_PREFIXES_PER_ENDPOINT_TICK = 8
# The age of a younger load is not sent: it is as recent as reports are.
FRESH_AGE_SECONDS = 2 * REPORT_INTERVAL_SECONDS
# Renewing every copy at every tick would dominate the CPU time of a VM.
REFRESH_INTERVAL_SECONDS = 0.9
_TENTHS_PER_SECOND = 10
_PERCENT = 100


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """The properties of an endpoint that rarely change."""

    endpoint_id: str
    incarnation: int
    url: str
    service: str
    slots: int
    versions: list[str]
    adapters: list[str]
    role: str
    checks_fencing: bool
    draining: bool
    software_version: str = ""


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """The last load report of an endpoint.

    ``memory`` is in hundredths, ``age`` in tenths of a second, 0 if the load
    is as recent as reports are.
    """

    running: int
    waiting: int
    memory: int
    sequence: int
    age: int


class EndpointSharing:
    """Publishes this VM's endpoints and mirrors those of the other VMs."""

    def __init__(
        self, *, clock: Clock, group: VmGroup, registry: EndpointRegistry
    ) -> None:
        """Connect an endpoint registry to the publications of a group."""
        self._clock = clock
        self._group = group
        self._registry = registry
        # Each incarnation of an endpoint has its own key, so that a load of
        # an old incarnation is not applied to a new one.
        self._keys_by_incarnation: dict[tuple[str, int], int] = {}
        self._next_key = 0
        self._loads_by_key: dict[int, LoadRecord] = {}
        self._ids_by_source: dict[str, dict[int, str]] = {}
        self._loads_by_source: dict[tuple[str, str], LoadRecord] = {}
        self._updated_loads: set[tuple[str, str]] = set()
        registry.add_listener(group.request_tick)
        registry.entries = self._list_entries
        group.add_source(self._publish)
        group.subscribe(ENDPOINT_TOPIC, self._handle_endpoint)
        group.subscribe(LOAD_TOPIC, self._handle_load)
        group.subscribe(CACHE_TOPIC, self._handle_cache)
        group.add_sync_handler(self._refresh)

    def _publish(self) -> None:
        self._registry.prune()
        own = {
            (endpoint.endpoint_id, endpoint.incarnation): endpoint
            for endpoint in self._registry.local_endpoints()
        }
        for start in self._keys_by_incarnation.keys() - own.keys():
            key = self._keys_by_incarnation.pop(start)
            self._loads_by_key.pop(key, None)
            for topic in (ENDPOINT_TOPIC, LOAD_TOPIC, CACHE_TOPIC):
                self._group.drop(topic, key)
        now = self._clock.monotonic()
        prefixes_left = MAX_PREFIXES_PER_TICK
        for endpoint in own.values():
            key = self._key_of(endpoint)
            record = _make_record(
                endpoint, self._registry.is_draining(endpoint)
            )
            self._group.put(ENDPOINT_TOPIC, key, record)
            self._put_load(key, _make_load(endpoint, now))
            cache = self._registry.get_cache(endpoint.endpoint_id)
            limit = min(prefixes_left, MAX_PREFIXES_PER_ENDPOINT_TICK)
            fresh = cache.pop_unpublished(limit)
            prefixes_left -= len(fresh)
            if fresh:
                self._group.put(CACHE_TOPIC, key, fresh)

    def _put_load(self, key: int, load: LoadRecord) -> None:
        # A change of the sequence alone is not published: it only orders the
        # copies of two VMs, which agree if the load is the same.
        known = self._loads_by_key.get(key)
        if known is not None:
            same = msgspec.structs.replace(known, sequence=load.sequence)
            if same == load:
                return
        self._loads_by_key[key] = load
        self._group.put(LOAD_TOPIC, key, load)

    def _key_of(self, endpoint: Endpoint) -> int:
        start = (endpoint.endpoint_id, endpoint.incarnation)
        key = self._keys_by_incarnation.get(start)
        if key is None:
            key = self._next_key
            self._next_key += 1
            self._keys_by_incarnation[start] = key
        return key

    def _handle_endpoint(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        ids = self._ids_by_source.setdefault(vm_id, {})
        if value is None:
            endpoint_id = ids.pop(key, None)
            if endpoint_id is not None and endpoint_id not in ids.values():
                self._loads_by_source.pop((vm_id, endpoint_id), None)
                self._registry.remove_copy(vm_id, endpoint_id)
            return
        record = msgspec.msgpack.decode(value, type=EndpointRecord)
        if key not in ids:
            self._loads_by_source.pop((vm_id, record.endpoint_id), None)
        ids[key] = record.endpoint_id
        now = self._clock.monotonic()
        known = self._registry.get_copy(vm_id, record.endpoint_id)
        endpoint = _read_record(record, known, now)
        self._registry.store_copy(vm_id, endpoint)
        if record.draining:
            self._registry.start_draining(
                record.endpoint_id, record.incarnation
            )

    def _handle_load(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is not None and endpoint_id is not None:
            load = msgspec.msgpack.decode(value, type=LoadRecord)
            self._loads_by_source[(vm_id, endpoint_id)] = load
            self._updated_loads.add((vm_id, endpoint_id))

    def _handle_cache(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is None or endpoint_id is None:
            return
        prefixes = msgspec.msgpack.decode(value, type=list[int])
        self._registry.get_cache(endpoint_id).add(prefixes)

    def _refresh(self, vm_id: str) -> None:
        """Renew the leases of copies from a VM whose records are current."""
        now = self._clock.monotonic()
        due = now + COPY_LEASE_SECONDS - REFRESH_INTERVAL_SECONDS
        for endpoint_id in self._ids_by_source.get(vm_id, {}).values():
            copy = self._registry.get_copy(vm_id, endpoint_id)
            if copy is None:
                continue
            source = (vm_id, endpoint_id)
            if source in self._updated_loads:
                self._updated_loads.discard(source)
            elif copy.lease_until > due:
                continue
            load = self._loads_by_source.get(source)
            if load is not None:
                copy = _renew(copy, load, now)
                self._registry.store_copy(vm_id, copy)

    def _list_entries(self) -> list[str]:
        members = self._group.live_members()
        others = [
            member.identity.http_address
            for member in members
            if member.state is not None and not member.state.draining
        ]
        return [self._group.identity.http_address, *others]


def _make_record(endpoint: Endpoint, draining: bool) -> EndpointRecord:
    return EndpointRecord(
        endpoint.endpoint_id,
        endpoint.incarnation,
        endpoint.url,
        endpoint.service,
        endpoint.slots,
        sorted(endpoint.versions),
        sorted(endpoint.adapters),
        endpoint.role,
        endpoint.checks_fencing,
        draining,
        endpoint.software_version,
    )


def _read_record(
    record: EndpointRecord, known: Endpoint | None, now: float
) -> Endpoint:
    if known is not None and known.incarnation != record.incarnation:
        known = None
    return Endpoint(
        endpoint_id=record.endpoint_id,
        incarnation=record.incarnation,
        url=record.url,
        service=record.service,
        slots=record.slots,
        versions=frozenset(record.versions),
        adapters=frozenset(record.adapters),
        role=record.role,
        checks_fencing=record.checks_fencing,
        running=known.running if known else 0,
        waiting=known.waiting if known else 0,
        memory_used=known.memory_used if known else 0.0,
        sequence=known.sequence if known else 0,
        reported_at=known.reported_at if known else now,
        lease_until=now + COPY_LEASE_SECONDS,
        software_version=record.software_version,
    )


def _renew(copy: Endpoint, load: LoadRecord, now: float) -> Endpoint:
    # A load with an age is not sent again as it gets older, so the time of
    # its report is only set once.
    is_fresh = load.age == 0
    changed = load.sequence != copy.sequence or is_fresh
    return replace(
        copy,
        running=load.running,
        waiting=load.waiting,
        memory_used=load.memory / _PERCENT,
        sequence=load.sequence,
        reported_at=now - load.age / _TENTHS_PER_SECOND
        if changed
        else copy.reported_at,
        lease_until=now + COPY_LEASE_SECONDS,
    )


def _make_load(endpoint: Endpoint, now: float) -> LoadRecord:
    age = now - endpoint.reported_at
    return LoadRecord(
        endpoint.running,
        endpoint.waiting,
        round(endpoint.memory_used * _PERCENT),
        endpoint.sequence,
        0 if age <= FRESH_AGE_SECONDS else round(age * _TENTHS_PER_SECOND),
    )
