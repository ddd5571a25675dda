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
from burdockdrum.endpoints import REPORT_SECONDS
from burdockdrum.ports import Clock
from burdockdrum.vms.group import VmGroup

ENDPOINT_TOPIC = 3
LOAD_TOPIC = 4
CACHE_TOPIC = 5

# Hashes of 5 bytes for each of 16 peers: under 2 KB a tick.
PREFIXES_A_TICK = 24
PREFIXES_AN_ENDPOINT_A_TICK = 8
# Younger figures are as fresh as the reports; their age is not sent.
FRESH_SECONDS = 2 * REPORT_SECONDS
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
        self._keys_by_id: dict[str, int] = {}
        self._next_key = 0
        self._loads_by_key: dict[int, LoadRecord] = {}
        # Endpoints whose figures are older than usual, by who told so.
        self._aged: set[tuple[str, str]] = set()
        self._ids_by_source: dict[str, dict[int, str]] = {}
        self._copies_by_source: dict[str, dict[str, Endpoint]] = {}
        registry.add_listener(group.urge)
        registry.entries = self._list_entries
        group.add_source(self._publish)
        group.subscribe(ENDPOINT_TOPIC, self._take_endpoint)
        group.subscribe(LOAD_TOPIC, self._take_load)
        group.subscribe(CACHE_TOPIC, self._take_cache)
        group.add_sync_handler(self._refresh)

    def _publish(self) -> None:
        self._registry.prune()
        own = {e.endpoint_id: e for e in self._registry.own_endpoints()}
        for endpoint_id in self._keys_by_id.keys() - own.keys():
            key = self._keys_by_id.pop(endpoint_id)
            self._loads_by_key.pop(key, None)
            for topic in (ENDPOINT_TOPIC, LOAD_TOPIC, CACHE_TOPIC):
                self._group.drop(topic, key)
        now = self._clock.monotonic()
        prefixes_left = PREFIXES_A_TICK
        for endpoint_id, endpoint in own.items():
            key = self._key_of(endpoint_id)
            record = _make_record(endpoint, self._registry.has_left(endpoint))
            self._group.put(ENDPOINT_TOPIC, key, record)
            self._put_load(key, _make_load(endpoint, now))
            cache = self._registry.cache_of(endpoint_id)
            limit = min(prefixes_left, PREFIXES_AN_ENDPOINT_A_TICK)
            fresh = cache.take_fresh(limit)
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

    def _key_of(self, endpoint_id: str) -> int:
        key = self._keys_by_id.get(endpoint_id)
        if key is None:
            key = self._next_key
            self._next_key += 1
            self._keys_by_id[endpoint_id] = key
        return key

    def _take_endpoint(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        ids = self._ids_by_source.setdefault(vm_id, {})
        copies = self._copies_by_source.setdefault(vm_id, {})
        if value is None:
            endpoint_id = ids.pop(key, None)
            if endpoint_id is not None:
                copies.pop(endpoint_id, None)
                self._aged.discard((vm_id, endpoint_id))
                self._registry.drop_copy(vm_id, endpoint_id)
            return
        record = msgspec.msgpack.decode(value, type=EndpointRecord)
        ids[key] = record.endpoint_id
        known = copies.get(record.endpoint_id)
        endpoint = self._make_endpoint(record, known)
        copies[record.endpoint_id] = endpoint
        self._registry.take_copy(vm_id, endpoint)
        if record.leaving:
            self._registry.leave(record.endpoint_id, record.incarnation)

    def _make_endpoint(
        self, record: EndpointRecord, known: Endpoint | None
    ) -> Endpoint:
        if known is not None and known.incarnation != record.incarnation:
            known = None
        now = self._clock.monotonic()
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

    def _take_load(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is None or endpoint_id is None:
            return
        load = msgspec.msgpack.decode(value, type=LoadRecord)
        copies = self._copies_by_source[vm_id]
        now = self._clock.monotonic()
        if load.age:
            self._aged.add((vm_id, endpoint_id))
        else:
            self._aged.discard((vm_id, endpoint_id))
        copies[endpoint_id] = replace(
            copies[endpoint_id],
            running=load.running,
            waiting=load.waiting,
            memory_used=load.memory / _PERCENT,
            sequence=load.sequence,
            reported_at=now - load.age / _TENTHS,
        )

    def _take_cache(
        self, vm_id: str, key: int, value: msgspec.Raw | None
    ) -> None:
        endpoint_id = self._ids_by_source.get(vm_id, {}).get(key)
        if value is None or endpoint_id is None:
            return
        prefixes = msgspec.msgpack.decode(value, type=list[int])
        self._registry.cache_of(endpoint_id).add(prefixes)

    def _refresh(self, vm_id: str) -> None:
        """Renew the copies of a VM whose publication is up to date."""
        now = self._clock.monotonic()
        copies = self._copies_by_source.get(vm_id, {})
        for endpoint_id, copy in copies.items():
            is_aged = (vm_id, endpoint_id) in self._aged
            renewed = replace(
                copy,
                lease_until=now + COPY_LEASE_SECONDS,
                reported_at=copy.reported_at if is_aged else now,
            )
            copies[endpoint_id] = renewed
            self._registry.take_copy(vm_id, renewed)

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


def _make_load(endpoint: Endpoint, now: float) -> LoadRecord:
    age = now - endpoint.reported_at
    return LoadRecord(
        endpoint.running,
        endpoint.waiting,
        round(endpoint.memory_used * _PERCENT),
        endpoint.sequence,
        0 if age <= FRESH_SECONDS else round(age * _TENTHS),
    )
