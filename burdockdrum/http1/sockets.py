"""Options that make a silent peer noticed.

A peer that loses power, or a path that drops packets, leaves a connection open
for minutes. The kernel's probes end it within ``SILENT_SECONDS``, and no
answer that is merely slow is cut: a live peer's kernel answers them.
"""

import asyncio
import socket

# Below the 5 s after which others count on this VM to have noticed.
SILENT_SECONDS = 4
_IDLE_SECONDS = 2
_PROBE_SECONDS = 1
_PROBES = 2


def watch_peer(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection whose peer is silent."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_SECONDS),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, SILENT_SECONDS * 1000),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)
