"""Compress large frames, such as tables of routes, which repeat themselves.

Frames below a minimum size are sent uncompressed.
"""

import zlib

# Heartbeats and load reports are smaller, and too frequent to compress.
MIN_COMPRESSED_FRAME_BYTES = 4096
COMPRESSION_LEVEL = 1
# Four times the largest payload; bounds the memory of a decompressed frame.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
# The first byte of a zlib stream (RFC 1950). An uncompressed frame is a
# msgpack array, which never starts with it.
_ZLIB_HEADER = b"\x78"


class UnpackError(Exception):
    """A payload is not a valid zlib stream or exceeds the size limit."""


def pack(frame: bytes) -> bytes:
    """Return a frame, compressed if it is large."""
    if len(frame) < MIN_COMPRESSED_FRAME_BYTES:
        return frame
    return zlib.compress(frame, COMPRESSION_LEVEL)


def unpack(payload: bytes) -> bytes:
    """Return the uncompressed frame of a payload.

    :raises UnpackError: if it can't be decompressed
    """
    if payload[:1] != _ZLIB_HEADER:
        return payload
    stream = zlib.decompressobj()
    try:
        frame = stream.decompress(payload, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise UnpackError(str(error)) from error
    if not stream.eof:
        raise UnpackError("compressed frame is truncated or too large")
    return frame
