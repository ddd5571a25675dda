"""Compress the few frames that are large.

Failure: the configuration grows to 350 routes and changes every second.
Symptom: the relay of a data centre sends 93 KB to each of 14 VMs for each
change, over two seconds of a link of 5 Mbit/s, and changes come in force too
late. A table of routes repeats itself: it is sent in a tenth of its bytes.
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
