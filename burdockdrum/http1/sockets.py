"""Options of sockets, and how to reset a connection.

Without keepalive a connection whose peer loses power, or whose packets are
dropped, stays open for minutes. A slow response does not end a connection,
as the peer's kernel acknowledges the probes.
"""

import asyncio
import fcntl
import select
import socket
import struct
import termios

# Below the 5 s within which other VMs expect this one to have detected it.
UNACKNOWLEDGED_TIMEOUT_SECONDS = 4
_KEEPALIVE_IDLE_SECONDS = 2
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
# Makes the kernel discard what is unsent and reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose peer is unreachable."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_SECONDS * 1000),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, an end or an error wait to be read."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_unsent(transport: asyncio.WriteTransport) -> bool:
    """Return whether the peer has not acknowledged all that was written."""
    if transport.get_write_buffer_size():
        return True
    raw = transport.get_extra_info("socket")
    if raw is None:
        return False
    try:
        count = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every system tells.
        return False
    return any(count)


def limit_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Bound what the kernel keeps unread, in bytes."""
    raw = transport.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection so that its peer gets an error, not an end."""
    raw = transport.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
