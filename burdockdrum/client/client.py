"""Send requests to whichever entry VM the gateway says to use.

The client keeps the list of entries while it is valid and chooses among them
by weight. When an entry fails:

- nothing was sent, or the entry said that it is shutting down ("not run"):
  the request goes to another entry;
- the answer was lost, and the request is repeatable or bears an idempotency
  key: it is sent again, with that key, to another entry;
- the answer of an unrepeatable request without a key was lost: the error
  says that it may have run, and nothing is sent again.

Once an answer was lost, no later "not run" undoes it: the reply and the
error say so in ``may_have_run``.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
import random
import ssl

import msgspec

from burdockdrum.client.entries import EntryBook
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import EntryChoice
from burdockdrum.vms import EntryList

MAX_TRIES = 6
# The pause doubles: the next entry is tried soon, and yet the tries outlast
# the few seconds in which all entries of a data centre may be starting.
PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.6
ANSWER_TIMEOUT_SECONDS = 620.0
LIST_TIMEOUT_SECONDS = 2.0
IDEMPOTENCY_HEADER = "idempotency-key"
_REFUSED_STATUS = 503


class ClientError(Exception):
    """No entry VM gave an answer; the message says whether it may have run.

    ``may_have_run`` is true once a request may have left.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


@dataclass(frozen=True, kw_only=True)
class GatewayReply:
    """A whole reply.

    ``may_have_run`` says that an earlier try of the same call was lost on
    the way and may have run, whatever this reply says of its own.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    entry: str
    may_have_run: bool = False

    @property
    def ok(self) -> bool:
        """Say whether the status is one of success."""
        return 200 <= self.status < 300


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    verdict: str


class _RefusalBody(msgspec.Struct, frozen=True):
    error: _ErrorBody


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
        self._token = token
        self._clock = clock
        self._http = http or PooledHttpClient(ssl_context=ssl_context)
        self._data_centre = data_centre
        self._rng = rng
        self._book = EntryBook(seeds=seeds, clock=clock, rng=rng)

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

        :param repeatable: False for a request that must not run twice; it
            is sent again only if it bears an idempotency key
        :raises ClientError: if no entry VM gave a reply
        """
        may_resend = repeatable or _has_key(headers)
        lost = False
        trouble = "no entry VM is known"
        for attempt in range(MAX_TRIES):
            entry = await self._choose()
            try:
                answer = await self.open(entry, method, path, body, headers)
                content = await read_whole(answer)
            except ConnectFailed as error:
                trouble = str(error)
            except AnswerLost as error:
                trouble = str(error)
                lost = True
                if not may_resend:
                    break
            else:
                if not _is_leaving(answer.status, content):
                    return GatewayReply(
                        status=answer.status,
                        headers=answer.headers,
                        body=content,
                        entry=entry,
                        may_have_run=lost,
                    )
                trouble = f"{entry} is shutting down"
            self._book.avoid(entry)
            await self._pause(attempt)
        raise ClientError(trouble, may_have_run=lost)

    async def stream(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[bytes]:
        """Send a request and yield its reply as it comes.

        It moves to another entry until the first part has come. A stream
        that breaks later is not sent again: its caller has part of it.

        :raises ClientError: if no entry VM gave a reply, or it was cut
        """
        trouble = "no entry VM is known"
        for attempt in range(MAX_TRIES):
            entry = await self._choose()
            try:
                answer = await self.open(entry, method, path, body, headers)
                held = b""
                async for part in answer.chunks():
                    if answer.status == _REFUSED_STATUS:
                        held += part
                    else:
                        yield part
            except ConnectFailed as error:
                trouble = str(error)
            except AnswerLost as error:
                self._book.avoid(entry)
                raise ClientError(str(error), may_have_run=True) from error
            else:
                if not _is_leaving(answer.status, held):
                    if held:
                        yield held
                    return
                trouble = f"{entry} is shutting down"
            self._book.avoid(entry)
            await self._pause(attempt)
        raise ClientError(trouble, may_have_run=False)

    async def open(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        timeout: float = ANSWER_TIMEOUT_SECONDS,
    ) -> UpstreamAnswer:
        """Send a request to one entry VM and return the open answer.

        :param timeout: seconds to wait for the head of the answer
        """
        call = UpstreamCall(
            method=method,
            url=entry + path,
            headers={
                "authorization": f"Bearer {self._token}",
                "content-type": "application/json",
                **(headers or {}),
            },
            body=body,
            head_timeout=timeout,
        )
        return await self._http.open(call)

    async def fetch_entries(self) -> list[EntryChoice]:
        """Return the entry VMs to use, asking for them when out of date.

        While nobody answers, the last list stays in use.
        """
        if not self._book.is_valid():
            for url in self._book.sources():
                found = await self._ask(url)
                if found is not None:
                    self._book.take(found)
                    break
        return self._book.entries

    async def _ask(self, url: str) -> EntryList | None:
        path = "/v1/entries"
        if self._data_centre is not None:
            path += f"?data_centre={self._data_centre}"
        try:
            answer = await self.open(
                url, "GET", path, timeout=LIST_TIMEOUT_SECONDS
            )
            body = await read_whole(answer)
        except (ConnectFailed, AnswerLost):
            self._book.avoid(url)
            return None
        if answer.status != 200:
            return None
        try:
            return msgspec.json.decode(body, type=EntryList)
        except msgspec.MsgspecError:
            return None

    async def _pause(self, attempt: int) -> None:
        seconds = min(MAX_PAUSE_SECONDS, PAUSE_SECONDS * 2**attempt)
        # Jitter: the callers of a dead entry must not move in step.
        await self._clock.sleep(seconds * (0.5 + self._rng.random()))

    async def _choose(self) -> str:
        await self.fetch_entries()
        return self._book.choose()


def _has_key(headers: Mapping[str, str] | None) -> bool:
    return any(name.lower() == IDEMPOTENCY_HEADER for name in headers or {})


def _is_leaving(status: int, body: bytes) -> bool:
    if status != _REFUSED_STATUS:
        return False
    try:
        refusal = msgspec.json.decode(body, type=_RefusalBody).error
    except msgspec.MsgspecError:
        return False
    is_draining = refusal.code == RefusalCode.DRAINING.value
    return is_draining and refusal.verdict == Verdict.NOT_RUN.value
