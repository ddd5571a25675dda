"""Send requests and record how each ended."""

from collections.abc import Callable
import itertools
from typing import Any

import msgspec

from burdockdrum.histories.events import Ended
from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import History
from burdockdrum.histories.events import Sent
from burdockdrum.histories.events import Sort
from burdockdrum.histories.reading import AnswerReading
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall

HEAD_TIMEOUT_SECONDS = 30.0
DEADLINE_SECONDS = 20


class RecordingCaller:
    """Sends over one HTTP port and records into one history.

    :param answer_for: what an engine answers to messages, of so many tokens
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
        """Create a caller; ``numbers`` is shared by all of a history."""
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
    ) -> Ended:
        """Send a chat completion, streamed or whole."""
        number = next(self._numbers)
        messages = [{"role": "user", "content": f"request {number}"}]
        body = {
            "model": "planner",
            "messages": messages,
            "max_tokens": tokens,
            "stream": sort is Sort.STREAMED,
        }
        prompt = msgspec.json.encode(messages)
        wanted = self._answer_for(prompt, tokens)
        self._history.answers_by_number[number] = wanted
        sent = self._record(number, client_id, entry, sort, None)
        call = self._make_call(entry, "/v1/chat/completions", token, body, {})
        return await self._send(sent, call)

    async def book(
        self, *, client_id: str, token: str, entry: str, key: str
    ) -> Ended:
        """Send an unrepeatable call to the plain service that books."""
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
    ) -> Sent:
        sent = Sent(
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

    async def _send(self, sent: Sent, call: UpstreamCall) -> Ended:
        reading = AnswerReading(sort=sent.sort)
        try:
            answer = await self._http.open(call)
            await reading.read(answer)
            ending = reading.ending
        except ConnectFailed:
            ending = Ending.UNREACHED
        except AnswerLost:
            ending = Ending.CUT
        ended = Ended(
            time=self._now(),
            number=sent.number,
            ending=ending,
            verdict=reading.verdict,
            code=reading.code,
            text=reading.text,
            marked_done=reading.marked_done,
        )
        self._history.ended.append(ended)
        return ended
