"""Send requests to whichever entry VM the gateway says to use.

The client keeps the list of entries while it is valid, chooses among them by
weight, and moves to another one when a connection can't be made. A request
that may have left is sent again only if its caller says it is repeatable or
gave an idempotency key.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
import random
import ssl

import msgspec

from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.vms import EntryChoice
from burdockdrum.vms import EntryList

MAX_TRIES = 4
PAUSE_SECONDS = 0.2
ANSWER_TIMEOUT_SECONDS = 620.0


class ClientError(Exception):
    """No entry VM gave an answer; the message says whether it may have run.

    ``may_have_run`` is true once a request may have left.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


@dataclass(frozen=True, kw_only=True)
class GatewayReply:
    """A whole reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    entry: str

    @property
    def ok(self) -> bool:
        """Say whether the status is one of success."""
        return 200 <= self.status < 300


class GatewayClient:
    """Calls to the gateway with a bearer token."""

    def __init__(
        self,
        *,
        seeds: list[str],
        token: str,
        clock: Clock,
        rng: random.Random,
        http: HttpClient | None = None,
        ssl_context: ssl.SSLContext | None = None,
        data_centre: str | None = None,
    ) -> None:
        """Create a client.

        :param seeds: URLs of entry VMs to ask for the list of entries
        :param data_centre: the caller's own, so that near entries come first
        """
        self._seeds = seeds
        self._token = token
        self._clock = clock
        self._rng = rng
        self._http = http or PooledHttpClient(ssl_context=ssl_context)
        self._data_centre = data_centre
        self._entries: list[EntryChoice] = []
        self._valid_until = 0.0

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        repeatable: bool = True,
    ) -> GatewayReply:
        """Send a request and read its whole reply.

        :raises ClientError: if no entry VM gave a reply
        """
        sent = False
        trouble = "no entry VM is known"
        for attempt in range(MAX_TRIES):
            entry = await self._choose(attempt)
            try:
                answer = await self.open(entry, method, path, body, headers)
                sent = True
                parts = [part async for part in answer.chunks()]
            except ConnectFailed as error:
                trouble = str(error)
            except AnswerLost as error:
                sent = True
                trouble = str(error)
                if not repeatable:
                    break
            else:
                return GatewayReply(
                    status=answer.status,
                    headers=answer.headers,
                    body=b"".join(parts),
                    entry=entry,
                )
            self._forget(entry)
            await self._clock.sleep(PAUSE_SECONDS)
        raise ClientError(trouble, may_have_run=sent)

    async def stream(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[bytes]:
        """Send a request and yield its reply as it comes.

        :raises ClientError: if no entry VM gave a reply, or it was cut
        """
        entry = await self._choose(0)
        try:
            answer = await self.open(entry, method, path, body, headers)
            async for part in answer.chunks():
                yield part
        except ConnectFailed as error:
            raise ClientError(str(error), may_have_run=False) from error
        except AnswerLost as error:
            raise ClientError(str(error), may_have_run=True) from error

    async def open(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> UpstreamAnswer:
        """Send a request to one entry VM and return the open answer."""
        call = UpstreamCall(
            method=method,
            url=entry + path,
            headers={
                "authorization": f"Bearer {self._token}",
                "content-type": "application/json",
                **(headers or {}),
            },
            body=body,
            head_timeout=ANSWER_TIMEOUT_SECONDS,
        )
        return await self._http.open(call)

    async def fetch_entries(self) -> list[EntryChoice]:
        """Return the entry VMs to use, asking for them when out of date."""
        if self._clock.monotonic() < self._valid_until and self._entries:
            return self._entries
        known = [entry.url for entry in self._entries]
        for url in [*known, *self._seeds]:
            found = await self._ask(url)
            if found is not None:
                self._entries = found.entries
                now = self._clock.monotonic()
                self._valid_until = now + found.valid_seconds
                return self._entries
        return []

    async def _ask(self, url: str) -> EntryList | None:
        path = "/v1/entries"
        if self._data_centre is not None:
            path += f"?data_centre={self._data_centre}"
        try:
            answer = await self.open(url, "GET", path)
            body = b"".join([part async for part in answer.chunks()])
        except (ConnectFailed, AnswerLost):
            return None
        if answer.status != 200:
            return None
        try:
            return msgspec.json.decode(body, type=EntryList)
        except msgspec.MsgspecError:
            return None

    async def _choose(self, attempt: int) -> str:
        entries = await self.fetch_entries()
        if not entries:
            return self._seeds[attempt % len(self._seeds)]
        weights = [entry.weight for entry in entries]
        return self._rng.choices(entries, weights=weights)[0].url

    def _forget(self, url: str) -> None:
        # A dead entry stays on the list until the gateway notices; until
        # then this client must not choose it again.
        self._entries = [entry for entry in self._entries if entry.url != url]
