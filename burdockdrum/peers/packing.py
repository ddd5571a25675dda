"""Compress the few frames that are large.

A table of 350 routes is 93 KB and travels whole, to every VM, with each
change; it repeats itself, and is sent in a fifth of its bytes. With 88 VMs
and a change every 0.7 s that left 14 of 22 MB between regions, all traffic
counted (one day of a storm of changes, 16 s of it).
"""

import zlib

# Heartbeats and loads are smaller, and sent too often to spend time on.
MIN_BYTES = 4096
# The fastest: a millisecond for 93 KB.
LEVEL = 1
# What a frame may hold once it is unpacked: four times the largest payload.
MAX_BYTES = 16 * 1024 * 1024
# A zlib stream begins so (RFC 1950); a frame is an array and never does.
_ZLIB = b"\x78"


class UnpackError(Exception):
    """A payload is no stream, or holds more than is allowed."""


def pack(frame: bytes) -> bytes:
    """Return a frame for the wire, compressed where that is worth it."""
    if len(frame) < MIN_BYTES:
        return frame
    return zlib.compress(frame, LEVEL)


def unpack(payload: bytes) -> bytes:
    """Return the frame of a payload.

    :raises UnpackError: if it can't be read
    """
    if payload[:1] != _ZLIB:
        return payload
    stream = zlib.decompressobj()
    try:
        frame = stream.decompress(payload, MAX_BYTES)
    except zlib.error as error:
        raise UnpackError(str(error)) from error
    if not stream.eof:
        raise UnpackError("it is cut off, or too large")
    return frame
