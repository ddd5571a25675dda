"""Tell the other VMs of the data centre about the endpoints that talk here.

A record names an endpoint once; after that only its load travels, under a
small number, and only when it has changed. Prefixes of its cache travel as
far as a fixed budget allows, the latest first.
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

# Hashes of 5 bytes for each of 16 peers: under 2 KB a tick.
PREFIXES_A_TICK = 24
PREFIXES_AN_ENDPOINT_A_TICK = 8
# Younger figures are as fresh as the reports; their age is not sent.
FRESH_SECONDS = 2 * REPORT_INTERVAL_SECONDS
# Renewing each copy with each of four ticks a second was half of the CPU
# of a VM with 160 endpoints in a data centre of four.
REFRESH_SECONDS = 0.9
_TENTHS = 10
_PERCENT = 100


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """What seldom changes about an endpoint."""

    endpoint_id: str
    incarnation: int
    url: str
    service: str
    slots: int
    versions: list[str]
    adapters: list[str]
    role: str
    checks_fencing: bool
    leaving: bool


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint last reported, memory in hundredths.

    ``age`` is in tenths of a second, 0 where it is as fresh as reports are.
    """

    running: int
    waiting: int
    memory: int
    sequence: int
    age: int


class EndpointSharing:
    """Publish this VM's endpoints and mirror those of the others."""

    def __init__(
        self, *, clock: Clock, group: VmGroup, registry: EndpointRegistry
    ) -> None:
        """Join a registry to the publications of a group."""
        self._clock = clock
        self._group = group
        self._registry = registry
        # Each start of an endpoint has a key of its own, so that no figure
        # of an old one is taken for the new one's.
        self._keys_by_start: dict[tuple[str, int], int] = {}
        self._next_key = 0
        self._loads_by_key: dict[int, LoadRecord] = {}
        self._ids_by_source: dict[str, dict[int, str]] = {}
        self._loads_by_source: dict[tuple[str, str], LoadRecord] = {}
        self._fresh_loads: set[tuple[str, str]] = set()
        registry.add_listener(group.urge)
        registry.entries = self._list_entries
        group.add_source(self._publish)
        group.subscribe(ENDPOINT_TOPIC, self._take_endpoint)
        group.subscribe(LOAD_TOPIC, self._take_load)
        group.subscribe(CACHE_TOPIC, self._take_cache)
        group.add_sync_handler(self._refresh)

    def _publish(self) -> None:
        self._registry.prune()
        own = {
            (endpoint.endpoint_id, endpoint.incarnation): endpoint
            for endpoint in self._registry.local_endpoints()
        }
        for start in self._keys_by_start.keys() - own.keys():
            key = self._keys_by_start.pop(start)
            self._loads_by_key.pop(key, None)
            for topic in (ENDPOINT_TOPIC, LOAD_TOPIC, CACHE_TOPIC):
                self._group.drop(topic, key)
        now = self._clock.monotonic()
        prefixes_left = PREFIXES_A_TICK
        for endpoint in own.values():
            key = self._key_of(endpoint)
            record = _make_record(
                endpoint, self._registry.is_draining(endpoint)
            )
            self._group.put(ENDPOINT_TOPIC, key, record)
            self._put_load(key, _make_load(endpoint, now))
            cache = self._registry.get_cache(endpoint.endpoint_id)
            limit = min(prefixes_left, PREFIXES_AN_ENDPOINT_A_TICK)
            fresh = cache.pop_unpublished(limit)
            prefixes_left -= len(fresh)
            if fresh:
                self._group.put(CACHE_TOPIC, key, fresh)

    def _put_load(self, key: int, load: LoadRecord) -> None:
        # The sequence alone is no news: it only decides between the copies
        # of two reporters, and theirs are equal where no figure changed.
        known = self._loads_by_key.get(key)
        if known is not None:
            same = msgspec.structs.replace(known, sequence=load.sequence)
            if same == load:
                return
        self._loads_by_key[key] = load
        self._group.put(LOAD_TOPIC, key, load)

    def _key_of(self, endpoint: Endpoint) -> int:
        start = (endpoint.endpoint_id, endpoint.incarnation)
        key = self._keys_by_start.get(start)
        if key is None:
            key = self._next_key
            self._next_key += 1
            self._keys_by_start[start] = key
        return key

    def _take_endpoint(
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
        if record.leaving:
            self._registry.start_draining(
                record.endpoint_id, record.incarnation
            )

    def _take_load(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is not None and endpoint_id is not None:
            load = msgspec.msgpack.decode(value, type=LoadRecord)
            self._loads_by_source[(vm_id, endpoint_id)] = load
            self._fresh_loads.add((vm_id, endpoint_id))

    def _take_cache(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is None or endpoint_id is None:
            return
        prefixes = msgspec.msgpack.decode(value, type=list[int])
        self._registry.get_cache(endpoint_id).add(prefixes)

    def _refresh(self, vm_id: str) -> None:
        """Renew the copies of a VM whose publication is up to date."""
        now = self._clock.monotonic()
        due = now + COPY_LEASE_SECONDS - REFRESH_SECONDS
        for endpoint_id in self._ids_by_source.get(vm_id, {}).values():
            copy = self._registry.get_copy(vm_id, endpoint_id)
            if copy is None:
                continue
            source = (vm_id, endpoint_id)
            if source in self._fresh_loads:
                self._fresh_loads.discard(source)
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


def _make_record(endpoint: Endpoint, leaving: bool) -> EndpointRecord:
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
        leaving,
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
    )


def _renew(copy: Endpoint, load: LoadRecord, now: float) -> Endpoint:
    # A load that bears an age is not sent again while that age grows with
    # the clock here as it does there.
    is_fresh = load.age == 0
    changed = load.sequence != copy.sequence or is_fresh
    return replace(
        copy,
        running=load.running,
        waiting=load.waiting,
        memory_used=load.memory / _PERCENT,
        sequence=load.sequence,
        reported_at=now - load.age / _TENTHS if changed else copy.reported_at,
        lease_until=now + COPY_LEASE_SECONDS,
    )


def _make_load(endpoint: Endpoint, now: float) -> LoadRecord:
    age = now - endpoint.reported_at
    return LoadRecord(
        endpoint.running,
        endpoint.waiting,
        round(endpoint.memory_used * _PERCENT),
        endpoint.sequence,
        0 if age <= FRESH_SECONDS else round(age * _TENTHS),
    )
