"""Keeps what began each stream, and finds it for a caller's next try.

While a route has one service only, and that one software version, nothing is
sent: a quorum of control VMs knows each version before a stream begins at it,
and each move of a route, so that any entry can find out what must have begun
a stream. Where there are, or lately were, several, each entry tells three
others of the streams that it begins.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
import enum
import hashlib

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.streams.holders import HolderSelector
from burdockdrum.streams.memory import MEMORY_SECONDS
from burdockdrum.streams.memory import OriginMemory
from burdockdrum.streams.messages import OriginNotice
from burdockdrum.streams.messages import OriginQuery
from burdockdrum.streams.messages import OriginRecord
from burdockdrum.streams.messages import OriginReply
from burdockdrum.streams.origin import StreamOrigin

# How often the holders of open streams are checked for restarts.
UPDATE_INTERVAL_SECONDS = 0.5
# By then the records of open streams are sent again, before they expire.
RENEWAL_SECONDS = MEMORY_SECONDS / 3
# Two round trips between regions and a retransmission.
ASK_TIMEOUT_SECONDS = 0.5
# An entry that has just started hears of each data centre in this time, or
# else counts it as lost. A caller that asks meanwhile waits or returns.
DISCOVERY_SECONDS = 5.0
DISCOVERY_WAIT_SECONDS = 1.5
DISCOVERY_RETRY_SECONDS = 1.0
DISCOVERY_INTERVAL_SECONDS = 0.1
KEY_BYTES = 12


class Knowledge(enum.Enum):
    """How an entry knows what began a stream.

    ``OWN``: it began the stream, or keeps the record; ``KEPT``: another entry
    does; ``ONLY_VERSION``: its service has had no other version.
    """

    OWN = "own"
    KEPT = "kept"
    ONLY_VERSION = "only version"


@dataclass(frozen=True, kw_only=True)
class FoundOrigin:
    """What began a stream, and how this entry knows.

    ``vm_id`` is the VM that kept it, None if there is no other version;
    ``age`` is in seconds.
    """

    origin: StreamOrigin
    knowledge: Knowledge
    vm_id: str | None = None
    age: float = 0.0


@dataclass(frozen=True, kw_only=True)
class UnknownOrigin:
    """No one knows what began a stream.

    ``retry_after`` is the time in seconds after which another search may find
    it, None if none will.
    """

    reason: str
    retry_after: float | None = None


@dataclass(kw_only=True)
class _OpenStream:
    origin: StreamOrigin
    has_several_services: bool
    sent_at: float | None = None


def make_key(team: str | None, request_id: str) -> bytes:
    """Return what identifies a stream, for its own caller only."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    digest.update(b"" if team is None else b"team " + team.encode() + b"\n")
    digest.update(request_id.encode())
    return digest.digest()


class StreamOrigins:
    """The origins of the streams of an entry, and those kept for others."""

    is_restartable = True

    def __init__(
        self,
        *,
        clock: Clock,
        peers: Peers,
        metrics: Metrics,
        read_entries: Callable[[], Collection[VmIdentity]],
        read_versions: Callable[[str], list[str]],
        knows_all_versions: Callable[[], bool],
        confirm_versions: Callable[[float], Awaitable[bool]],
        read_moved_to: Callable[[], Collection[str]],
        data_centres: Collection[str] = (),
    ) -> None:
        """Register the message handlers.

        :param read_entries: returns the entries that are alive
        :param read_versions: returns the software versions that a service
            has or lately had
        :param knows_all_versions: returns whether that was complete lately
        :param confirm_versions: waits, for so many seconds at most, until
            all versions at which a stream may have begun are known, and
            returns whether they are
        :param read_moved_to: returns the services that routes moved to lately
        :param data_centres: the names of all data centres
        """
        self._clock = clock
        self._began_at = clock.monotonic()
        self._peers = peers
        self._own_id = peers.identity.vm_id
        self._read_versions = read_versions
        self._knows_all_versions = knows_all_versions
        self._confirm_versions = confirm_versions
        self._read_moved_to = read_moved_to
        self._data_centres = frozenset(data_centres)
        self._holders = HolderSelector(
            own=peers.identity, read_entries=read_entries
        )
        self._memory = OriginMemory(clock=clock)
        self._open_by_key: dict[bytes, _OpenStream] = {}
        self._view: frozenset[tuple[str, int]] = frozenset()
        self._messages_total = metrics.counter(
            "burdockdrum_stream_origin_messages_total",
            "Messages to other entries about what began streams.",
        )
        metrics.gauge(
            "burdockdrum_stream_origins",
            "Streams of which this entry keeps what began them.",
            read=lambda: len(self._memory),
        )
        peers.register(OriginNotice, self._receive_notice)
        peers.register(OriginQuery, self._receive_query)

    def begin(
        self, key: bytes, origin: StreamOrigin, services: Collection[str]
    ) -> None:
        """Record that the first event of a stream is about to be sent.

        :param services: those that its route uses
        """
        stream = self._open_by_key[key] = _OpenStream(
            origin=origin, has_several_services=len(services) > 1
        )
        self._memory.keep(key, origin)
        if stream.has_several_services or self._is_ambiguous(origin):
            self._share({key: stream})

    def end(self, key: bytes) -> None:
        """Record that a stream is over or has broken off."""
        self._open_by_key.pop(key, None)

    async def find(
        self, key: bytes | None, services: Collection[str], seconds: float
    ) -> FoundOrigin | UnknownOrigin:
        """Find what began a stream.

        :param key: that of the stream, None if the caller didn't name it
        :param services: those that may have begun it
        :param seconds: how long at most
        """
        record = self._memory.find(key) if key is not None else None
        if record is not None:
            return _found(record, Knowledge.OWN, self._own_id)
        asked_ids: set[str] = set()
        searches = [
            asyncio.create_task(
                self._confirm(services, min(seconds, ASK_TIMEOUT_SECONDS))
            )
        ]
        if key is not None:
            searches.append(
                asyncio.create_task(self._ask(key, asked_ids, seconds))
            )
        found = await _first_found(searches)
        if found is not None:
            return found
        if key is None:
            return UnknownOrigin(
                reason="endpoints may have several software versions, and the "
                "request doesn't name the one that began its stream"
            )
        return UnknownOrigin(
            reason=f"none of {len(asked_ids)} other entries knows which "
            "software version began the stream",
            retry_after=(
                DISCOVERY_RETRY_SECONDS if self._is_discovering() else None
            ),
        )

    async def run(self) -> None:
        """Renew the records of open streams until cancelled."""
        while True:
            await self._clock.sleep(UPDATE_INTERVAL_SECONDS)
            self._memory.prune()
            view = self._holders.read_view()
            is_changed, self._view = view != self._view, view
            due = self._list_due(is_changed=is_changed)
            if due:
                self._share(due)

    def _list_due(self, *, is_changed: bool) -> dict[bytes, _OpenStream]:
        """Return the open streams that the holders should be told of.

        :param is_changed: whether other entries are alive than before
        """
        since = self._clock.monotonic() - RENEWAL_SECONDS
        origins = {stream.origin for stream in self._open_by_key.values()}
        ambiguous = {o for o in origins if self._is_ambiguous(o)}
        return {
            key: stream
            for key, stream in self._open_by_key.items()
            if (stream.has_several_services or stream.origin in ambiguous)
            and (
                is_changed or stream.sent_at is None or stream.sent_at < since
            )
        }

    def _is_ambiguous(self, origin: StreamOrigin) -> bool:
        """Return whether there may be other origins on a stream's route."""
        return (
            not self._knows_all_versions()
            or bool(self._read_moved_to())
            or self._read_versions(origin.service) != [origin.software_version]
        )

    async def _confirm(
        self, services: Collection[str], seconds: float
    ) -> FoundOrigin | None:
        """Return the only version, if no other one can have begun it."""
        if len(services) != 1:
            return None
        (service,) = services
        if len(self._read_versions(service)) > 1:
            return None
        is_confirmed = await self._confirm_versions(seconds)
        versions = self._read_versions(service)
        has_route_moved = service in self._read_moved_to()
        log_decision(
            "stream.versions_confirmed",
            service=service,
            software_versions=",".join(versions),
            has_route_moved=has_route_moved,
            is_confirmed=is_confirmed,
        )
        if not is_confirmed or has_route_moved or len(versions) != 1:
            return None
        return FoundOrigin(
            origin=StreamOrigin(service=service, software_version=versions[0]),
            knowledge=Knowledge.ONLY_VERSION,
        )

    def _share(self, streams_by_key: dict[bytes, _OpenStream]) -> None:
        """Let other entries keep the origins of streams."""
        now = self._clock.monotonic()
        records_by_target: dict[tuple[str, bool], list[OriginRecord]] = {}
        for key, stream in streams_by_key.items():
            stream.sent_at = now
            origin = stream.origin
            self._memory.keep(key, origin)
            record = OriginRecord(key, origin.service, origin.software_version)
            near = self._holders.choose_near(key)
            holders = [
                (holder, False) for holder in self._holders.choose_far(key)
            ]
            if near is not None:
                holders.append((near, True))
            for holder, is_near in holders:
                records_by_target.setdefault(
                    (holder.control_address, is_near), []
                ).append(record)
        for (address, is_near), records in records_by_target.items():
            self._send(address, records, is_passed_on=is_near)

    def _send(
        self, address: str, records: list[OriginRecord], *, is_passed_on: bool
    ) -> None:
        self._messages_total.increment(kind="notice")
        self._peers.send(
            address, OriginNotice(records=records, is_passed_on=is_passed_on)
        )

    async def _ask(
        self, key: bytes, asked_ids: set[str], seconds: float
    ) -> FoundOrigin | None:
        """Return the first reply of an entry that knows a stream.

        Entries that are discovered meanwhile are asked as well.

        :param asked_ids: gets the ids of the entries that were asked
        :param seconds: how long at most
        """
        ends_at = self._clock.monotonic() + min(
            seconds, DISCOVERY_WAIT_SECONDS
        )
        queries: set[asyncio.Task[FoundOrigin | None]] = set()
        try:
            while True:
                for holder in self._holders.choose_asked(key):
                    if holder.vm_id not in asked_ids:
                        asked_ids.add(holder.vm_id)
                        coroutine = self._ask_one(
                            key, holder, min(seconds, ASK_TIMEOUT_SECONDS)
                        )
                        queries.add(asyncio.create_task(coroutine))
                remaining = ends_at - self._clock.monotonic()
                if remaining <= 0 or not (queries or self._is_discovering()):
                    return None
                pause = asyncio.create_task(
                    self._clock.sleep(
                        min(DISCOVERY_INTERVAL_SECONDS, remaining)
                    )
                )
                ended, _ = await asyncio.wait(
                    [*queries, pause], return_when=asyncio.FIRST_COMPLETED
                )
                pause.cancel()
                for query in ended & queries:
                    found = query.result()
                    if found is not None:
                        return found
                queries -= ended
        finally:
            for query in queries:
                query.cancel()

    def _is_discovering(self) -> bool:
        """Return whether entries that may know a stream aren't known yet."""
        uptime = self._clock.monotonic() - self._began_at
        return uptime < DISCOVERY_SECONDS and not self._holders.are_all_heard(
            self._data_centres
        )

    async def _ask_one(
        self, key: bytes, holder: VmIdentity, seconds: float
    ) -> FoundOrigin | None:
        self._messages_total.increment(kind="query")
        try:
            reply = await self._peers.call(
                holder.control_address,
                OriginQuery(key=key),
                OriginReply,
                timeout=seconds,
            )
        except CallFailed as error:
            log_decision(
                "stream.origin_not_told",
                about_vm=holder.vm_id,
                reason=str(error),
            )
            return None
        if reply.record is None:
            return None
        return _found(reply.record, Knowledge.KEPT, holder.vm_id)

    async def _receive_notice(
        self, sender: Sender, notice: OriginNotice
    ) -> Message | None:
        for record in notice.records:
            self._memory.keep(record.key, record.origin, age=record.age)
        if notice.is_passed_on or self._holders.are_all_known_elsewhere():
            return None
        records_by_address: dict[str, list[OriginRecord]] = {}
        for record in notice.records:
            holder = self._holders.choose_near(record.key)
            if holder is not None:
                records_by_address.setdefault(
                    holder.control_address, []
                ).append(record)
        for address, records in records_by_address.items():
            self._send(address, records, is_passed_on=True)
        return None

    async def _receive_query(
        self, sender: Sender, query: OriginQuery
    ) -> OriginReply:
        return OriginReply(record=self._memory.find(query.key))


def _found(
    record: OriginRecord, knowledge: Knowledge, vm_id: str
) -> FoundOrigin:
    return FoundOrigin(
        origin=record.origin,
        knowledge=knowledge,
        vm_id=vm_id,
        age=record.age,
    )


async def _first_found(
    searches: list[asyncio.Task[FoundOrigin | None]],
) -> FoundOrigin | None:
    """Return the first result that isn't None, and end the other searches."""
    try:
        for search in asyncio.as_completed(searches):
            found = await search
            if found is not None:
                return found
    finally:
        for task in searches:
            task.cancel()
    return None
