"""A caller of a history: sends one request, and a booking again."""

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from burdockdrum.emulator import make_answer
from burdockdrum.histories import Ended
from burdockdrum.histories import Ending
from burdockdrum.histories import Sent
from burdockdrum.histories import Sort
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.ports import UpstreamCall

if TYPE_CHECKING:
    from tests.histories.world import World

TOKENS = (5, 20, 60)
MAX_BOOKING_SENDINGS = 4
HEAD_TIMEOUT = 30.0
DEADLINE_SECONDS = "20"


class Caller:
    """One request at a random time."""

    def __init__(self, *, world: "World", rng: random.Random) -> None:
        """Choose the client, the entry and the sort of request."""
        self._world = world
        self._rng = rng
        clients = sorted(world.history.residency_by_client)
        self._client_id = rng.choice(clients)
        home = self._client_id.split("-")[1]
        self._home = home
        self._sort = rng.choice(list(Sort))
        self._start = rng.uniform(0, world.seconds)

    async def run(self) -> None:
        """Send the request; send a booking again until it is settled."""
        await asyncio.sleep(self._start)
        if self._sort is not Sort.BOOKING:
            entry = f"{self._home}-{self._rng.choice((1, 2))}"
            await self._send_completion(entry)
            return
        key = f"key-{self._world.next_number()}"
        for sending in range(MAX_BOOKING_SENDINGS):
            near = f"{self._home}-{self._rng.choice((1, 2))}"
            entry = (
                near if sending == 0 else self._rng.choice(self._world.vm_ids)
            )
            ended = await self._send_booking(entry, key)
            if ended.ending is Ending.ANSWERED:
                return
            await asyncio.sleep(self._rng.uniform(0.1, 4))

    async def _send_completion(self, entry: str) -> None:
        number = self._world.next_number()
        messages = [{"role": "user", "content": f"request {number}"}]
        tokens = self._rng.choice(TOKENS)
        body = {
            "model": "planner",
            "messages": messages,
            "max_tokens": tokens,
            "stream": self._sort is Sort.STREAMED,
        }
        wanted = make_answer(msgspec.json.encode(messages), tokens)
        self._world.history.answers_by_number[number] = wanted
        await self._send(
            number,
            entry,
            UpstreamCall(
                method="POST",
                url=self._world.entry_url(entry) + "/v1/chat/completions",
                headers=self._headers(),
                body=msgspec.json.encode(body),
                head_timeout=HEAD_TIMEOUT,
            ),
            None,
        )

    async def _send_booking(self, entry: str, key: str) -> Ended:
        headers = {
            **self._headers(),
            "idempotency-key": key,
            "x-unrepeatable": "true",
        }
        return await self._send(
            self._world.next_number(),
            entry,
            UpstreamCall(
                method="POST",
                url=self._world.entry_url(entry) + "/services/booking/book",
                headers=headers,
                body=b'{"section": 7}',
                head_timeout=HEAD_TIMEOUT,
            ),
            key,
        )

    def _headers(self) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self._client_id}",
            "content-type": "application/json",
            "x-deadline-seconds": DEADLINE_SECONDS,
        }

    async def _send(
        self, number: int, entry: str, call: UpstreamCall, key: str | None
    ) -> Ended:
        self._world.history.sent.append(
            Sent(
                time=self._world.now(),
                number=number,
                client_id=self._client_id,
                entry=entry,
                sort=self._sort,
                key=key,
            )
        )
        reading = _Reading(sort=self._sort)
        try:
            http = self._world.cluster.client(f"{self._home}-caller")
            answer = await http.open(call)
            await reading.read(answer)
            ending = reading.ending
        except ConnectFailed:
            ending = Ending.UNREACHED
        except AnswerLost:
            ending = Ending.CUT
        ended = Ended(
            time=self._world.now(),
            number=number,
            ending=ending,
            verdict=reading.verdict,
            code=reading.code,
            text=reading.text,
            marked_done=reading.marked_done,
        )
        self._world.history.ended.append(ended)
        return ended


class _Reading:
    """What a caller has read of one answer."""

    def __init__(self, *, sort: Sort) -> None:
        self._sort = sort
        self.ending = Ending.CUT
        self.verdict: str | None = None
        self.code: str | None = None
        self.text = ""
        self.marked_done = False

    async def read(self, answer: UpstreamAnswer) -> None:
        if answer.status != 200 or self._sort is not Sort.STREAMED:
            body = b"".join([part async for part in answer.chunks()])
            self._take_whole(answer.status, body)
            return
        buffer = b""
        async for part in answer.chunks():
            buffer += part
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                self._take_event(event)

    def _take_whole(self, status: int, body: bytes) -> None:
        if status != 200:
            self._take_error(body)
            return
        self.ending = Ending.ANSWERED
        self.marked_done = True
        if self._sort is Sort.WHOLE:
            choice = msgspec.json.decode(body)["choices"][0]
            self.text = choice["message"]["content"]

    def _take_event(self, event: bytes) -> None:
        data = b"".join(
            line.removeprefix(b"data: ")
            for line in event.split(b"\n")
            if line.startswith(b"data: ")
        )
        if data == b"[DONE]":
            self.marked_done = True
            self.ending = Ending.ANSWERED
        elif b'"error"' in data:
            self._take_error(data)
        elif data:
            choice = msgspec.json.decode(data)["choices"][0]
            self.text += choice["delta"].get("content", "")

    def _take_error(self, body: bytes) -> None:
        error = msgspec.json.decode(body)["error"]
        self.ending = Ending.REFUSED
        self.verdict = error["verdict"]
        self.code = error["code"]
