"""Tell the entry VMs that a stand-in is there."""

import asyncio
from collections.abc import Callable

from loguru import logger
import msgspec

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import LeaseGrant
from burdockdrum.endpoints import Report
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
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
    ) -> None:
        """Create an announcer.

        :param read_load: returns the running and the waiting requests
        """
        self._http = http
        self._clock = clock
        self._entries = entries
        self._token = token
        self._announcement = announcement
        self._read_load = read_load
        self._sequence = 0

    async def run(self) -> None:
        """Keep every entry VM informed until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                group.create_task(self._inform(entry))

    async def leave(self) -> None:
        """Ask for no new work."""
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
                grant = await self._report(entry)
            pause = grant.report_seconds if grant else RETRY_SECONDS
            await self._clock.sleep(pause)

    async def _announce(self, entry: str) -> LeaseGrant | None:
        body = msgspec.json.encode(self._announcement)
        return await self._post(f"{entry}/v1/endpoints/announce", body)

    async def _report(self, entry: str) -> LeaseGrant | None:
        self._sequence += 1
        running, waiting = self._read_load()
        report = Report(
            incarnation=self._announcement.incarnation,
            sequence=self._sequence,
            running=running,
            waiting=waiting,
        )
        name = self._announcement.endpoint_id
        body = msgspec.json.encode(report)
        return await self._post(f"{entry}/v1/endpoints/{name}/report", body)

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
            parts = [part async for part in answer.chunks()]
        except (ConnectFailed, AnswerLost) as error:
            logger.debug("{} did not answer: {}", url, error)
            return None
        if answer.status != 200:
            logger.warning("{} answered {}", url, answer.status)
            return None
        try:
            return msgspec.json.decode(b"".join(parts), type=LeaseGrant)
        except msgspec.MsgspecError:
            return None
