"""The records on disk and the frames that hold them.

A frame is what one sync makes last: magic, length, CRC-32 and the records
encoded by msgspec. Since the next frame is written only after the sync of
the one before, a frame that is damaged and followed by a good one was once
whole on the disk.
"""

import enum
import struct
import zlib

import msgspec

FORMAT_VERSION = 1

_MAGIC = b"BDL1"
_HEAD = struct.Struct(">4sII")


class CorruptLog(Exception):
    """What was synced once can't be read back; a person has to look.

    Going on would let this VM vote without what it has promised to keep.
    """


class EntryKind(enum.IntEnum):
    """What an entry holds."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """One place in the log; it takes away every entry at or after it."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, tag="hard"):
    """The term and the vote in it, synced before any answer."""

    term: int
    voted_for: str | None


class Reset(msgspec.Struct, frozen=True, array_like=True, tag="reset"):
    """A snapshot from the leader took the place of all entries so far."""

    index: int
    term: int


class SegmentHead(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """The first record of a segment file."""

    format: int
    number: int
    disk_id: str


Record = Entry | HardState | Reset | SegmentHead

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode_frame(payload: bytes) -> bytes:
    """Put magic, length and checksum before a payload."""
    return _HEAD.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def decode_frame(content: bytes, offset: int) -> tuple[bytes, int] | None:
    """Read the frame at an offset.

    :returns: its payload and the offset after it, or None if it is damaged
    """
    start = offset + _HEAD.size
    if len(content) < start:
        return None
    magic, length, checksum = _HEAD.unpack_from(content, offset)
    payload = content[start : start + length]
    if magic != _MAGIC or len(payload) < length:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return payload, start + length


def encode_records(records: list[Record]) -> bytes:
    """Return the frame of records that are synced together."""
    return encode_frame(_encoder.encode(records))


def decode_records(content: bytes, name: str) -> tuple[list[Record], int]:
    """Read the records of a file up to a torn tail.

    :returns: the records, and the size of the part that is whole
    :raises CorruptLog: if a whole frame follows a damaged one
    """
    records: list[Record] = []
    offset = 0
    while offset < len(content):
        frame = decode_frame(content, offset)
        if frame is None:
            _refuse_corrupt_middle(content, offset, name)
            break
        payload, offset = frame
        try:
            records.extend(_decoder.decode(payload))
        except msgspec.MsgspecError as error:
            raise CorruptLog(f"{name} before byte {offset}: {error}") from None
    return records, offset


def _refuse_corrupt_middle(content: bytes, damaged: int, name: str) -> None:
    found = content.find(_MAGIC, damaged + 1)
    while found >= 0:
        if decode_frame(content, found) is not None:
            raise CorruptLog(
                f"{name} is damaged at byte {damaged}, but whole again at "
                f"byte {found}: synced records were lost. Remove this member "
                "and add it again with an empty data folder."
            )
        found = content.find(_MAGIC, found + 1)
