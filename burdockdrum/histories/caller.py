"""Sends requests to entry VMs and records how each one ended."""

from collections.abc import Callable
import itertools
from typing import Any

import msgspec

from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import History
from burdockdrum.histories.events import RequestEnded
from burdockdrum.histories.events import RequestSent
from burdockdrum.histories.events import Sort
from burdockdrum.histories.response_reader import ResponseReader
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall

HEAD_TIMEOUT_SECONDS = 30.0
DEADLINE_SECONDS = 20


class RecordingCaller:
    """Sends requests with an HTTP client and records them in a history.

    :param answer_for: returns the completion that an engine generates for
        the messages, with a number of tokens
    """

    def __init__(
        self,
        *,
        history: History,
        http: HttpClient,
        now: Callable[[], float],
        entry_urls_by_vm_id: dict[str, str],
        numbers: "itertools.count[int]",
        answer_for: Callable[[bytes, int], str],
    ) -> None:
        """Create a caller; all callers of a history share ``numbers``."""
        self._history = history
        self._http = http
        self._now = now
        self._entry_urls_by_vm_id = entry_urls_by_vm_id
        self._numbers = numbers
        self._answer_for = answer_for

    async def complete(
        self,
        *,
        client_id: str,
        token: str,
        entry: str,
        sort: Sort,
        tokens: int,
    ) -> RequestEnded:
        """Send a chat completion request, streamed or buffered."""
        number = next(self._numbers)
        messages = [{"role": "user", "content": f"request {number}"}]
        body = {
            "model": "planner",
            "messages": messages,
            "max_tokens": tokens,
            "stream": sort is Sort.STREAMED,
        }
        prompt = msgspec.json.encode(messages)
        expected = self._answer_for(prompt, tokens)
        self._history.expected_text_by_number[number] = expected
        sent = self._record(number, client_id, entry, sort, None)
        call = self._make_call(entry, "/v1/chat/completions", token, body, {})
        return await self._send(sent, call)

    async def book(
        self, *, client_id: str, token: str, entry: str, key: str
    ) -> RequestEnded:
        """Send a non-idempotent request to the plain booking service."""
        number = next(self._numbers)
        sent = self._record(number, client_id, entry, Sort.BOOKING, key)
        headers = {"idempotency-key": key, "x-unrepeatable": "true"}
        path = "/services/booking/book"
        call = self._make_call(entry, path, token, {"section": 7}, headers)
        return await self._send(sent, call)

    def _record(
        self,
        number: int,
        client_id: str,
        entry: str,
        sort: Sort,
        key: str | None,
    ) -> RequestSent:
        sent = RequestSent(
            time=self._now(),
            number=number,
            client_id=client_id,
            entry=entry,
            sort=sort,
            key=key,
        )
        self._history.sent.append(sent)
        return sent

    def _make_call(
        self,
        entry: str,
        path: str,
        token: str,
        body: dict[str, Any],
        headers: dict[str, str],
    ) -> UpstreamCall:
        return UpstreamCall(
            method="POST",
            url=self._entry_urls_by_vm_id[entry] + path,
            headers={
                "authorization": f"Bearer {token}",
                "content-type": "application/json",
                "x-deadline-seconds": str(DEADLINE_SECONDS),
                **headers,
            },
            body=msgspec.json.encode(body),
            head_timeout=HEAD_TIMEOUT_SECONDS,
        )

    async def _send(
        self, sent: RequestSent, call: UpstreamCall
    ) -> RequestEnded:
        reader = ResponseReader(sort=sent.sort)
        try:
            answer = await self._http.open(call)
            await reader.read(answer)
            ending = reader.ending
        except ConnectFailed:
            ending = Ending.UNREACHED
        except AnswerLost:
            ending = Ending.CUT
        ended = RequestEnded(
            time=self._now(),
            number=sent.number,
            ending=ending,
            verdict=reader.verdict,
            code=reader.code,
            text=reader.text,
            has_terminator=reader.has_terminator,
        )
        self._history.ended.append(ended)
        return ended
