"""A client that selects an entry VM by weight and fails over to others.

The client caches the gateway's list of entries. When an entry fails:

- if nothing was sent, or the entry is draining ("not run"), the request is
  retried at another entry;
- if the response was lost, and the request is repeatable or has an
  idempotency key, it is retried at another entry with the same key;
- if the response of an unrepeatable request without a key was lost, it is
  not retried, and the error says that it may have run.

Once a response was lost, a later "not run" can't revoke it: the reply or the
error has ``may_have_run`` set.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
import random
import ssl

import msgspec

from burdockdrum.client.entries import EntryTable
from burdockdrum.decoding import decode_json
from burdockdrum.decoding import InvalidData
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import AnswerTooLarge
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

MAX_ATTEMPTS = 6
# Exponential backoff: the second attempt comes soon, yet the attempts outlast
# the seconds in which all entries of a data centre may be starting.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.6
RESPONSE_HEAD_TIMEOUT_SECONDS = 620.0
ENTRY_LIST_TIMEOUT_SECONDS = 2.0
IDEMPOTENCY_HEADER = "idempotency-key"
# An entry that refuses a request sends less.
MAX_REFUSAL_BYTES = 64 * 1024
_UNAVAILABLE_STATUS = 503


class ClientError(Exception):
    """No entry VM answered.

    ``may_have_run`` says whether an attempt may have reached an endpoint.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


@dataclass(frozen=True, kw_only=True)
class GatewayReply:
    """A complete reply.

    ``may_have_run`` says that the response of an earlier attempt was lost
    and that attempt may have run, whatever this reply says.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    entry: str
    may_have_run: bool = False

    @property
    def ok(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    verdict: str


class _RefusalBody(msgspec.Struct, frozen=True):
    error: _ErrorBody


class GatewayClient:
    """A client that authenticates with a bearer token."""

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

        :param seeds: URLs of entry VMs to query for the list of entries
        :param data_centre: the caller's; nearby entries are preferred
        """
        self._token = token
        self._clock = clock
        self._http = http or PooledHttpClient(ssl_context=ssl_context)
        self._data_centre = data_centre
        self._rng = rng
        self._entry_table = EntryTable(seeds=seeds, clock=clock, rng=rng)

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        repeatable: bool = True,
    ) -> GatewayReply:
        """Send a request and read the complete reply.

        :param repeatable: False for a request that must not run twice; it
            is retried only if it has an idempotency key
        :raises ClientError: if no entry VM answered, or the reply exceeds
            ``burdockdrum.ports.http.MAX_WHOLE_BODY_BYTES``
        """
        may_resend = repeatable or _has_idempotency_key(headers)
        response_lost = False
        last_error = "no entry VM is known"
        for attempt in range(MAX_ATTEMPTS):
            entry = await self._choose_entry()
            try:
                answer = await self.open(entry, method, path, body, headers)
                content = await read_whole(answer)
            except ConnectFailed as error:
                last_error = str(error)
            except AnswerTooLarge as error:
                # It would be as large from another entry.
                raise ClientError(str(error), may_have_run=True) from error
            except AnswerLost as error:
                last_error = str(error)
                response_lost = True
                if not may_resend:
                    break
            else:
                if not _is_draining(answer.status, content):
                    return GatewayReply(
                        status=answer.status,
                        headers=answer.headers,
                        body=content,
                        entry=entry,
                        may_have_run=response_lost,
                    )
                last_error = f"{entry} is shutting down"
            self._entry_table.avoid(entry)
            await self._back_off(attempt)
        raise ClientError(last_error, may_have_run=response_lost)

    async def stream(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[bytes]:
        """Send a request and yield its reply as it arrives.

        Other entries are tried only until the first chunk has arrived. A
        stream that breaks later is not retried.

        :raises ClientError: if no entry VM answered, or the stream broke
        """
        last_error = "no entry VM is known"
        for attempt in range(MAX_ATTEMPTS):
            entry = await self._choose_entry()
            try:
                answer = await self.open(entry, method, path, body, headers)
                refusal_body = b""
                may_be_refusal = answer.status == _UNAVAILABLE_STATUS
                async for part in answer.chunks():
                    if not may_be_refusal:
                        yield part
                        continue
                    refusal_body += part
                    if len(refusal_body) > MAX_REFUSAL_BYTES:
                        may_be_refusal = False
                        yield refusal_body
                        refusal_body = b""
            except ConnectFailed as error:
                last_error = str(error)
            except AnswerLost as error:
                self._entry_table.avoid(entry)
                raise ClientError(str(error), may_have_run=True) from error
            else:
                if not _is_draining(answer.status, refusal_body):
                    if refusal_body:
                        yield refusal_body
                    return
                last_error = f"{entry} is shutting down"
            self._entry_table.avoid(entry)
            await self._back_off(attempt)
        raise ClientError(last_error, may_have_run=False)

    async def open(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        timeout: float = RESPONSE_HEAD_TIMEOUT_SECONDS,
    ) -> UpstreamAnswer:
        """Send a request to one entry VM and return the open response.

        :param timeout: seconds to wait for the head of the response
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
        """Return the entry VMs to use, refreshing an expired list.

        If no entry VM answers, the expired list stays in use.
        """
        if not self._entry_table.is_valid():
            for url in self._entry_table.candidate_urls():
                entry_list = await self._query_entries(url)
                if entry_list is not None:
                    self._entry_table.update(entry_list)
                    break
        return self._entry_table.entries

    async def _query_entries(self, url: str) -> EntryList | None:
        path = "/v1/entries"
        if self._data_centre is not None:
            path += f"?data_centre={self._data_centre}"
        try:
            answer = await self.open(
                url, "GET", path, timeout=ENTRY_LIST_TIMEOUT_SECONDS
            )
            body = await read_whole(answer)
        except (ConnectFailed, AnswerLost):
            self._entry_table.avoid(url)
            return None
        if answer.status != 200:
            return None
        try:
            return decode_json(body, EntryList)
        except InvalidData:
            return None

    async def _back_off(self, attempt: int) -> None:
        seconds = min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**attempt
        )
        # Jitter keeps the clients of a failed entry from retrying in step.
        await self._clock.sleep(seconds * (0.5 + self._rng.random()))

    async def _choose_entry(self) -> str:
        await self.fetch_entries()
        return self._entry_table.choose()


def _has_idempotency_key(headers: Mapping[str, str] | None) -> bool:
    return any(name.lower() == IDEMPOTENCY_HEADER for name in headers or {})


def _is_draining(status: int, body: bytes) -> bool:
    if status != _UNAVAILABLE_STATUS:
        return False
    try:
        refusal = decode_json(body, _RefusalBody).error
    except InvalidData:
        return False
    has_draining_code = refusal.code == RefusalCode.DRAINING.value
    return has_draining_code and refusal.verdict == Verdict.NOT_RUN.value
