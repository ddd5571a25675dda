"""An engine that batches continuously, without a model.

Each token of an answer is made from a digest of the prompt and its own
number, so that a test can tell a whole answer from one that lost, doubled
or mixed tokens.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import hashlib
from typing import Any

import msgspec

from burdockdrum.ports import Clock

DONE = b"data: [DONE]\n\n"


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """How fast the engine is and what it holds.

    ``prefill_seconds`` is for a prompt of one token, ``token_seconds`` the
    time between two tokens of one stream.
    """

    service: str
    slots: int = 8
    prefill_seconds: float = 0.0001
    token_seconds: float = 0.01


@dataclass(frozen=True, kw_only=True)
class Work:
    """One completion as the engine understands it."""

    request_id: str
    chat: bool
    stream: bool
    prompt: bytes
    max_tokens: int
    resume_offset: int = 0


class EmulatedEngine:
    """The batching core, behind HTTP or in memory."""

    def __init__(self, *, settings: EngineSettings, clock: Clock) -> None:
        """Create an idle engine."""
        self.settings = settings
        self._clock = clock
        self._slots = asyncio.Semaphore(settings.slots)
        self.running = 0
        self.waiting = 0
        self.completed = 0
        self._tasks_by_request_id: dict[str, asyncio.Event] = {}

    def cancel(self, request_id: str) -> bool:
        """Stop a request; say whether it was running or waiting."""
        cancelled = self._tasks_by_request_id.get(request_id)
        if cancelled is None:
            return False
        cancelled.set()
        return True

    async def generate(self, work: Work) -> AsyncIterator[bytes]:
        """Yield the tokens of a completion as they are made."""
        cancelled = asyncio.Event()
        self._tasks_by_request_id[work.request_id] = cancelled
        self.waiting += 1
        try:
            await self._slots.acquire()
        except asyncio.CancelledError:
            self.waiting -= 1
            raise
        self.waiting -= 1
        self.running += 1
        try:
            size = len(work.prompt) // 4 + 1
            await self._clock.sleep(size * self.settings.prefill_seconds)
            for index in range(work.resume_offset, work.max_tokens):
                if cancelled.is_set():
                    return
                yield make_token(work.prompt, index)
                await self._clock.sleep(self.settings.token_seconds)
            self.completed += 1
        finally:
            self.running -= 1
            self._slots.release()
            self._tasks_by_request_id.pop(work.request_id, None)


def make_token(prompt: bytes, index: int) -> bytes:
    """Return the token that answers a prompt at an offset."""
    digest = hashlib.blake2b(prompt, digest_size=3).hexdigest()
    return f"{digest}-{index} ".encode()


def make_answer(prompt: bytes, count: int) -> str:
    """Return the whole answer to a prompt."""
    return b"".join(make_token(prompt, i) for i in range(count)).decode()


def parse_work(
    body: bytes, *, chat: bool, request_id: str, resume_offset: int = 0
) -> Work:
    """Read a completion request.

    :raises msgspec.MsgspecError: if it is not JSON
    """
    fields: dict[str, Any] = msgspec.json.decode(body)
    if chat:
        prompt = msgspec.json.encode(fields.get("messages"))
    else:
        prompt = msgspec.json.encode(fields.get("prompt"))
    max_tokens = fields.get("max_completion_tokens") or fields.get(
        "max_tokens"
    )
    return Work(
        request_id=request_id,
        chat=chat,
        stream=bool(fields.get("stream")),
        prompt=prompt,
        max_tokens=int(max_tokens or 16),
        resume_offset=resume_offset,
    )


async def stream_events(
    engine: EmulatedEngine, work: Work
) -> AsyncIterator[bytes]:
    """Yield the server-sent events of a streamed completion.

    Each event's id is the number of tokens sent with it, from which a
    broken stream can be resumed.
    """
    count = work.resume_offset
    async for token in engine.generate(work):
        count += 1
        yield _event(engine, work, count, token.decode(), None)
    if count < work.max_tokens:
        return
    yield _event(engine, work, count, "", "length")
    yield DONE


async def whole_answer(engine: EmulatedEngine, work: Work) -> bytes | None:
    """Return the JSON of a whole completion, or None if cancelled."""
    tokens = [token async for token in engine.generate(work)]
    if len(tokens) + work.resume_offset < work.max_tokens:
        return None
    text = b"".join(tokens).decode()
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if work.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": work.request_id,
            "object": "chat.completion" if work.chat else "text_completion",
            "created": 0,
            "model": engine.settings.service,
            "choices": [choice],
            "usage": {
                "prompt_tokens": len(work.prompt) // 4 + 1,
                "completion_tokens": len(tokens),
                "total_tokens": len(work.prompt) // 4 + 1 + len(tokens),
            },
        }
    )


def _event(
    engine: EmulatedEngine,
    work: Work,
    count: int,
    text: str,
    finish_reason: str | None,
) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if work.chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    data = msgspec.json.encode(
        {
            "id": work.request_id,
            "object": "chat.completion.chunk"
            if work.chat
            else "text_completion",
            "created": 0,
            "model": engine.settings.service,
            "choices": [choice],
        }
    )
    return b"id: %d\ndata: %s\n\n" % (count, data)
