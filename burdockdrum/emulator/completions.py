"""Parsing of completion requests and encoding of their responses.

Each token is derived from a digest of the prompt and the token's index, so
that a test detects lost, duplicated or mixed-up tokens.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
import hashlib
from typing import Any

import msgspec

from burdockdrum.web.parsing import hash_prefixes

DONE = b"data: [DONE]\n\n"
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, kw_only=True)
class Work:
    """A parsed completion request.

    Requests with a lower ``rank`` are scheduled first.
    """

    request_id: str
    chat: bool
    stream: bool
    prompt: bytes
    max_tokens: int
    resume_offset: int = 0
    rank: int = 0
    prompt_tokens: int = 1
    prefix_hashes: tuple[int, ...] = ()


def make_token(prompt: bytes, index: int) -> bytes:
    """Return the token at an index of the completion of a prompt."""
    digest = hashlib.blake2b(prompt, digest_size=3).hexdigest()
    return f"{digest}-{index} ".encode()


def make_answer(prompt: bytes, count: int) -> str:
    """Return the completion of a prompt with ``count`` tokens."""
    return b"".join(make_token(prompt, i) for i in range(count)).decode()


def parse_request(
    body: bytes,
    *,
    chat: bool,
    request_id: str,
    resume_offset: int = 0,
    rank: int = 0,
) -> Work:
    """Parse a completion request.

    :raises msgspec.MsgspecError: if it is not JSON
    """
    fields: dict[str, Any] = msgspec.json.decode(body)
    prompt = msgspec.json.encode(fields.get("messages" if chat else "prompt"))
    text = _flatten_prompt(fields, chat)
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
        rank=rank,
        prompt_tokens=len(text) // BYTES_PER_TOKEN + 1,
        prefix_hashes=hash_prefixes(text),
    )


async def stream_events(
    model: str, work: Work, tokens: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the server-sent events of a streamed completion.

    Each event's id is the number of tokens sent so far, the offset from
    which a broken stream can be resumed.
    """
    count = work.resume_offset
    async for token in tokens:
        count += 1
        yield _event(model, work, count, token.decode(), None)
    if count < work.max_tokens:
        return
    yield _event(model, work, count, "", "length")
    yield DONE


async def encode_completion(
    model: str, work: Work, tokens: AsyncIterator[bytes]
) -> bytes | None:
    """Return the JSON of a buffered completion, or None if cancelled."""
    parts = [token async for token in tokens]
    if len(parts) + work.resume_offset < work.max_tokens:
        return None
    text = b"".join(parts).decode()
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
            "model": model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": work.prompt_tokens,
                "completion_tokens": len(parts),
                "total_tokens": work.prompt_tokens + len(parts),
            },
        }
    )


def _flatten_prompt(fields: dict[str, Any], chat: bool) -> bytes:
    if not chat:
        return _flatten(fields.get("prompt"))
    return b"".join(
        str(message.get("role")).encode()
        + b"\0"
        + _flatten(message.get("content"))
        + b"\0"
        for message in fields.get("messages") or []
    )


def _flatten(content: Any) -> bytes:
    if isinstance(content, str):
        return content.encode()
    return msgspec.json.encode(content)


def _event(
    model: str, work: Work, count: int, text: str, finish_reason: str | None
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
            "model": model,
            "choices": [choice],
        }
    )
    return b"id: %d\ndata: %s\n\n" % (count, data)
