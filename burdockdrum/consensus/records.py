"""The records on disk and the frames that contain them.

A frame is the unit of one sync: magic, length, CRC-32 and the records
encoded by msgspec. As a frame is written only after the previous one was
synced, a damaged frame before a valid one is corruption, not a torn write.
"""

import enum
import struct
import zlib

import msgspec

FORMAT_VERSION = 1

_MAGIC = b"BDL1"
_FRAME_HEADER = struct.Struct(">4sII")


class CorruptLog(Exception):
    """Synced data is missing or damaged; an operator has to intervene.

    If it continued, this VM could vote without entries it acknowledged.
    """


class EntryKind(enum.IntEnum):
    """The kind of data in an entry."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """A log entry; it replaces all entries at or after its index."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, tag="hard"):
    """The current term and the vote in it, synced before any reply."""

    term: int
    voted_for: str | None


class Reset(msgspec.Struct, frozen=True, array_like=True, tag="reset"):
    """Marks that a snapshot from the leader replaced all earlier entries."""

    index: int
    term: int


class SegmentHeader(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """The first record of a segment file.

    ``previous_size`` is how many bytes of the previous segment count. What
    follows them was refused by the disk, and is in this segment.
    """

    format: int
    number: int
    disk_id: str
    previous_size: int | None = None


Record = Entry | HardState | Reset | SegmentHeader

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode_frame(payload: bytes) -> bytes:
    """Return a frame with magic, length, checksum and payload."""
    return (
        _FRAME_HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload
    )


def decode_frame(content: bytes, offset: int) -> tuple[bytes, int] | None:
    """Read the frame at an offset.

    :returns: its payload and the offset after it, or None if it is damaged
    """
    start = offset + _FRAME_HEADER.size
    if len(content) < start:
        return None
    magic, length, checksum = _FRAME_HEADER.unpack_from(content, offset)
    payload = content[start : start + length]
    if magic != _MAGIC or len(payload) < length:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return payload, start + length


def encode_records(records: list[Record]) -> bytes:
    """Encode records that are synced together as one frame."""
    return encode_frame(_encoder.encode(records))


def decode_records(content: bytes, name: str) -> tuple[list[Record], int]:
    """Read the records of a file up to a torn tail.

    :returns: the records and the size of the valid part
    :raises CorruptLog: if a valid frame follows a damaged one
    """
    records: list[Record] = []
    offset = 0
    while offset < len(content):
        frame = decode_frame(content, offset)
        if frame is None:
            _raise_if_valid_frame_follows(content, offset, name)
            break
        payload, offset = frame
        try:
            records.extend(_decoder.decode(payload))
        except msgspec.MsgspecError as error:
            raise CorruptLog(f"{name} before byte {offset}: {error}") from None
    return records, offset


def _raise_if_valid_frame_follows(
    content: bytes, damaged: int, name: str
) -> None:
    found = content.find(_MAGIC, damaged + 1)
    while found >= 0:
        if decode_frame(content, found) is not None:
            raise CorruptLog(
                f"{name} is damaged at byte {damaged}, but valid again at "
                f"byte {found}: synced records were lost. Remove this member "
                "and add it again with an empty data folder."
            )
        found = content.find(_MAGIC, found + 1)
