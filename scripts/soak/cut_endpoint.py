"""An endpoint whose connections from some processes can be cut."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import enum
import os
import pathlib
import random
import socket
import struct
import time
import weakref

from burdockdrum.histories import RetryHistory
from scripts.soak.failing_endpoint import FailingEndpoint

SILENCE_SECONDS = 20.0
# How often open connections are checked for a cut.
CHECK_INTERVAL_SECONDS = 0.1
_TCP_TABLE = pathlib.Path("/proc/net/tcp")
_LOCAL_ADDRESS_FIELD, _INODE_FIELD = 1, 9


class Cut(enum.Enum):
    """What happens to the connections of a process that is cut off."""

    SILENT = "all connections are silent"
    RESET = "all connections are reset"
    NEW_ONES_RESET = "new connections are reset, open ones live on"


@dataclass(frozen=True, kw_only=True)
class _Peer:
    """The socket at the other end of a connection; monotonic time."""

    inode: str
    accepted_at: float


class CutEndpoint(FailingEndpoint):
    """Serves every request, except those of processes that are cut off."""

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        history: RetryHistory,
        read_cuts: Callable[[], dict[int, Cut]],
    ) -> None:
        """Create an endpoint that is not open.

        :param read_cuts: returns the processes that are cut off, by their id
        """
        super().__init__(rng=rng, service=service, zone=zone, history=history)
        self._read_cuts = read_cuts
        # The table of all sockets takes long to read beside other programs.
        self._peers_by_writer: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, _Peer
        ] = weakref.WeakKeyDictionary()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = _Peer(
            inode=_find_inode(writer),
            accepted_at=time.monotonic(),
        )
        self._peers_by_writer[writer] = peer
        match self._find_cut(peer):
            case Cut.RESET | Cut.NEW_ONES_RESET:
                writer.transport.abort()
                return
        watch = asyncio.create_task(self._watch(writer, peer))
        try:
            await super()._serve(reader, writer)
        finally:
            watch.cancel()

    async def _watch(self, writer: asyncio.StreamWriter, peer: _Peer) -> None:
        """Reset a connection once its process is cut off in that way."""
        while self._find_cut(peer) is not Cut.RESET:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if self._find_cut(self._peers_by_writer[writer]) is Cut.SILENT:
            await asyncio.sleep(SILENCE_SECONDS)
            return
        buffered = asyncio.StreamReader()
        buffered.feed_data(head)
        await super()._answer(buffered, writer)

    def _find_cut(self, peer: _Peer) -> Cut | None:
        for pid, cut in self._read_cuts().items():
            inodes = _socket_lists.read(pid, since=peer.accepted_at)
            if peer.inode and peer.inode in inodes:
                return cut
        return None


def _find_inode(writer: asyncio.StreamWriter) -> str:
    """Return the inode of the socket at the other end of a connection.

    Sockets of other addresses may have the same port, and need not belong to
    the same process.
    """
    ends = (
        _encode_address(*writer.get_extra_info("peername")[:2]),
        _encode_address(*writer.get_extra_info("sockname")[:2]),
    )
    for line in _TCP_TABLE.read_bytes().splitlines()[1:]:
        fields = line.split()
        if tuple(fields[_LOCAL_ADDRESS_FIELD:][:2]) == ends:
            return fields[_INODE_FIELD].decode()
    return ""


def _encode_address(ip: str, port: int) -> bytes:
    """Return an address as the table of sockets has it."""
    (number,) = struct.unpack("=I", socket.inet_aton(ip))
    return b"%08X:%04X" % (number, port)


class _SocketLists:
    """The inodes of the sockets of processes, read again when needed."""

    def __init__(self) -> None:
        self._lists_by_pid: dict[int, tuple[float, set[str]]] = {}

    def read(self, pid: int, *, since: float) -> set[str]:
        """Return the inodes of a process's sockets.

        :param since: the list is not older than this monotonic time
        """
        read_at, inodes = self._lists_by_pid.get(pid, (0.0, set()))
        if read_at < since:
            read_at = time.monotonic()
            inodes = _list_inodes(pid)
            self._lists_by_pid[pid] = (read_at, inodes)
        return inodes


_socket_lists = _SocketLists()


def _list_inodes(pid: int) -> set[str]:
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith("socket:["):
                    inodes.add(target.removeprefix("socket:[").rstrip("]"))
    return inodes
