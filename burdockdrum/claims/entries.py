"""Entries of a claim replica's log and their encoding.

Each has its length and a checksum of length and content.
"""

from dataclasses import dataclass
import zlib

import msgspec

from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import Epoch

_HEADER_BYTES = 8


class Put(msgspec.Struct, frozen=True, tag="put"):
    """A claim was granted or changed."""

    record: ClaimRecord


class Removed(msgspec.Struct, frozen=True, tag="removed"):
    """A claim was released."""

    client_id: str
    key: str


class EpochEntered(msgspec.Struct, frozen=True, tag="entered"):
    """An epoch was entered.

    ``is_complete`` is False if claims of this epoch may be missing.
    """

    epoch: Epoch
    formed_at: float
    is_complete: bool = True


class ClientCreated(msgspec.Struct, frozen=True, tag="client"):
    """A client was created in the current epoch."""

    client_id: str


Entry = Put | Removed | EpochEntered | ClientCreated

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


@dataclass(frozen=True, kw_only=True)
class LogContent:
    """What a log file contains.

    ``torn_bytes`` is the size of what follows the last valid entry.
    ``is_readable`` is False if that begins with a whole entry of an unknown
    type, as written by another version.
    """

    entries: list[Entry]
    torn_bytes: int
    is_readable: bool


def encode_entry(entry: Entry) -> bytes:
    """Return the bytes of one entry."""
    body = _ENCODER.encode(entry)
    length = len(body).to_bytes(4, "big")
    return length + zlib.crc32(length + body).to_bytes(4, "big") + body


def decode_entries(content: bytes) -> LogContent:
    """Read entries up to the first that is incomplete or corrupt."""
    entries: list[Entry] = []
    start = 0
    is_readable = True
    while (end := _find_end(content, start)) is not None:
        body = content[start + _HEADER_BYTES : end]
        try:
            entries.append(_DECODER.decode(body))
        except msgspec.MsgspecError:
            is_readable = False
            break
        start = end
    return LogContent(
        entries=entries,
        torn_bytes=len(content) - start,
        is_readable=is_readable,
    )


def _find_end(content: bytes, start: int) -> int | None:
    """Return the end of the valid entry at an offset, None if none is."""
    length = content[start : start + 4]
    end = start + _HEADER_BYTES + int.from_bytes(length, "big")
    if start + _HEADER_BYTES > len(content) or end > len(content):
        return None
    body = content[start + _HEADER_BYTES : end]
    checksum = zlib.crc32(length + body).to_bytes(4, "big")
    return end if checksum == content[start + 4 : start + 8] else None
