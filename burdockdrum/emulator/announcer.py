"""Tell the entry VMs that a stand-in is there."""

import asyncio
from collections.abc import Callable

from loguru import logger
import msgspec

from burdockdrum.emulator.orders import OrderBook
from burdockdrum.emulator.prefix_cache import PrefixCache
from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import CacheEvent
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall

RETRY_SECONDS = 0.5
TIMEOUT_SECONDS = 2.0


class Announcer:
    """Announce, report and leave at each entry VM given."""

    def __init__(
        self,
        *,
        http: HttpClient,
        clock: Clock,
        entries: list[str],
        token: str,
        announcement: Announcement,
        read_load: Callable[[], tuple[int, int]],
        cache: PrefixCache | None = None,
        orders: OrderBook | None = None,
        load_age_seconds: float = 0.0,
    ) -> None:
        """Create an announcer.

        :param read_load: returns the running and the waiting requests
        :param cache: whose events are reported, if any
        :param orders: what is loaded, if reported
        :param load_age_seconds: how old the figures of read_load are
        """
        self._http = http
        self._clock = clock
        self._entries = entries
        self._token = token
        self._announcement = announcement
        self._read_load = read_load
        self._cache = cache
        self._orders = orders
        self._load_age_seconds = load_age_seconds
        self._sequence = 0
        self._events_by_entry: dict[str, list[CacheEvent]] = {
            entry: [] for entry in entries
        }

    async def run(self) -> None:
        """Keep every entry VM informed until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                group.create_task(self._inform(entry))

    async def leave(self) -> None:
        """Ask for no new work, now and with every message from now on."""
        self._announcement = msgspec.structs.replace(
            self._announcement, leaving=True
        )
        name = self._announcement.endpoint_id
        body = msgspec.json.encode(
            {"incarnation": self._announcement.incarnation}
        )
        for entry in self._entries:
            await self._post(f"{entry}/v1/endpoints/{name}/leave", body)

    async def _inform(self, entry: str) -> None:
        grant: LeaseGrant | None = None
        while True:
            if grant is None or not grant.known:
                grant = await self._announce(entry)
            else:
                grant = await self._report(entry, grant.resync)
            pause = grant.report_seconds if grant else RETRY_SECONDS
            await self._clock.sleep(pause)

    async def _announce(self, entry: str) -> LeaseGrant | None:
        body = msgspec.json.encode(self._announcement)
        return await self._post(f"{entry}/v1/endpoints/announce", body)

    async def _report(self, entry: str, resync: bool) -> LeaseGrant | None:
        name = self._announcement.endpoint_id
        body = msgspec.json.encode(self._make_report(entry, resync))
        return await self._post(f"{entry}/v1/endpoints/{name}/report", body)

    def _make_report(self, entry: str, resync: bool) -> Report:
        self._sequence += 1
        running, waiting = self._read_load()
        orders = self._orders
        return Report(
            incarnation=self._announcement.incarnation,
            sequence=self._sequence,
            running=running,
            waiting=waiting,
            age_seconds=self._load_age_seconds,
            cache_events=self._take_cache_events(entry, resync),
            cache_sequence=self._cache.sequence if self._cache else 0,
            cache_complete=resync and self._cache is not None,
            versions=sorted(orders.versions) if orders else None,
            adapters=sorted(orders.adapters) if orders else None,
            role=orders.role if orders else None,
            leaving=self._announcement.leaving,
        )

    def _take_cache_events(self, entry: str, resync: bool) -> list[CacheEvent]:
        """Return what an entry VM has not been told yet."""
        if self._cache is None:
            return []
        for event in self._cache.take_events():
            for events in self._events_by_entry.values():
                events.append(event)
        events = self._events_by_entry[entry]
        self._events_by_entry[entry] = []
        return self._cache.contents() if resync else events

    async def _post(self, url: str, body: bytes) -> LeaseGrant | None:
        call = UpstreamCall(
            method="POST",
            url=url,
            headers={
                "content-type": "application/json",
                "authorization": f"Bearer {self._token}",
            },
            body=body,
            head_timeout=TIMEOUT_SECONDS,
        )
        try:
            answer = await self._http.open(call)
            body = await read_whole(answer)
        except (ConnectFailed, AnswerLost) as error:
            logger.debug("{} did not answer: {}", url, error)
            return None
        if answer.status != 200:
            logger.warning("{} answered {}", url, answer.status)
            return None
        try:
            return msgspec.json.decode(body, type=LeaseGrant)
        except msgspec.MsgspecError:
            return None
