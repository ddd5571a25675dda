"""Registers an emulated endpoint with the entry VMs and reports its load."""

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

RETRY_INTERVAL_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 2.0


class Announcer:
    """Announces to one entry VM and fails over when it does not respond.

    The entry VMs of a data centre share what they receive. Announcing to
    each of them would make each one publish the endpoint.
    """

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

        :param read_load: returns the number of running and of waiting
            requests
        :param cache: prefix cache whose events are reported, if any
        :param orders: loaded versions and adapters to report, if any
        :param load_age_seconds: age of the load that ``read_load`` returns
        """
        self._http = http
        self._clock = clock
        self._entries = list(entries)
        self._token = token
        self._announcement = announcement
        self._read_load = read_load
        self._cache = cache
        self._orders = orders
        self._load_age_seconds = load_age_seconds
        self._sequence = 0

    async def run(self) -> None:
        """Announce once, then report at each interval, until cancelled."""
        grant: LeaseGrant | None = None
        while True:
            if grant is None or not grant.known:
                grant = await self._announce()
            else:
                grant = await self._report(grant.resync)
            if grant is None:
                self._rotate_entries()
            delay = grant.report_seconds if grant else RETRY_INTERVAL_SECONDS
            await self._clock.sleep(delay)

    async def leave(self) -> None:
        """Announce draining in this and all later messages."""
        self._announcement = msgspec.structs.replace(
            self._announcement, leaving=True
        )
        name = self._announcement.endpoint_id
        body = msgspec.json.encode(
            {"incarnation": self._announcement.incarnation}
        )
        for entry in self._entries:
            await self._post(f"{entry}/v1/endpoints/{name}/leave", body)

    def _rotate_entries(self) -> None:
        """Move the unreachable entry VM to the end of the list."""
        self._entries.append(self._entries.pop(0))

    async def _announce(self) -> LeaseGrant | None:
        body = msgspec.json.encode(self._announcement)
        url = f"{self._entries[0]}/v1/endpoints/announce"
        grant = await self._post(url, body)
        if grant is not None:
            known = set(self._entries)
            self._entries += [e for e in grant.entries if e not in known]
        return grant

    async def _report(self, resync: bool) -> LeaseGrant | None:
        name = self._announcement.endpoint_id
        body = msgspec.json.encode(self._make_report(resync))
        url = f"{self._entries[0]}/v1/endpoints/{name}/report"
        return await self._post(url, body)

    def _make_report(self, resync: bool) -> Report:
        self._sequence += 1
        running, waiting = self._read_load()
        orders = self._orders
        return Report(
            incarnation=self._announcement.incarnation,
            sequence=self._sequence,
            running=running,
            waiting=waiting,
            age_seconds=self._load_age_seconds,
            cache_events=self._collect_cache_events(resync),
            cache_sequence=self._cache.sequence if self._cache else 0,
            cache_complete=resync and self._cache is not None,
            versions=sorted(orders.versions) if orders else None,
            adapters=sorted(orders.adapters) if orders else None,
            role=orders.role if orders else None,
            leaving=self._announcement.leaving,
        )

    def _collect_cache_events(self, resync: bool) -> list[CacheEvent]:
        """Return the unreported events, or the whole cache for a resync."""
        if self._cache is None:
            return []
        events = self._cache.take_events()
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
            head_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        try:
            answer = await self._http.open(call)
            body = await read_whole(answer)
        except (ConnectFailed, AnswerLost) as error:
            logger.debug("No response from {}: {}", url, error)
            return None
        if answer.status != 200:
            logger.warning("{} responded with status {}", url, answer.status)
            return None
        try:
            return msgspec.json.decode(body, type=LeaseGrant)
        except msgspec.MsgspecError:
            return None
