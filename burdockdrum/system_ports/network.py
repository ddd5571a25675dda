"""The network port over pynng's push and pull sockets."""

import asyncio
import collections
from collections.abc import Awaitable

import pynng

from burdockdrum.ports.network import Mailbox
from burdockdrum.ports.network import SendFailed

MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
SEND_TIMEOUT_MS = 500
# Holds what a VM sends while a connection between regions is established.
SEND_BUFFER_PAYLOADS = 16
# VMs that start together dial peers that don't listen yet. The backoff starts
# low, as no leader can be elected before the control VMs are connected.
REDIAL_MIN_MS = 20
REDIAL_MAX_MS = 500
RECEIVE_BUFFER_PAYLOADS = 256
_NNG_THREADS_PER_POOL = 2


def limit_threads() -> None:
    """Limit nng's thread pools; call before the first socket is opened.

    By default nng starts several threads per core, which a process driven
    by one event loop doesn't need.
    """
    lib = pynng.lib
    for parameter in (
        "NNG_INIT_NUM_TASK_THREADS",
        "NNG_INIT_MAX_TASK_THREADS",
        "NNG_INIT_NUM_POLLER_THREADS",
        "NNG_INIT_MAX_POLLER_THREADS",
        "NNG_INIT_NUM_EXPIRE_THREADS",
        "NNG_INIT_MAX_EXPIRE_THREADS",
    ):
        if hasattr(lib, parameter):
            lib.nng_init_set_parameter(
                getattr(lib, parameter), _NNG_THREADS_PER_POOL
            )


async def _await_cancellable(operation: Awaitable[None]) -> None:
    """Wait for a socket operation and propagate a cancellation.

    pynng swallows a cancellation that arrives just as the operation ends.
    The task would go on, and a daemon with a failed service would never
    exit.
    """
    cancellations_before = _count_pending_cancellations()
    try:
        await operation
    except pynng.NNGException as error:
        if _count_pending_cancellations() > cancellations_before:
            raise asyncio.CancelledError from error
        raise
    if _count_pending_cancellations() > cancellations_before:
        raise asyncio.CancelledError


def _count_pending_cancellations() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task is not None else 0


class PynngMailbox:
    """A pull socket for incoming payloads and a push socket per peer.

    Both are used in non-blocking mode: asynchronous operations of pynng
    complete on its own threads, which contend for the interpreter lock.
    """

    def __init__(self, *, pull: pynng.Pull0, address: str) -> None:
        """Own a listening socket; an event loop must be running."""
        self._pull = pull
        self._address = address
        self._pushes_by_address: dict[str, pynng.Push0] = {}
        self._received = collections.deque[bytes]()
        self._has_received = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._descriptor = pull.recv_fd
        self._loop.add_reader(self._descriptor, self._read_available)

    @property
    def address(self) -> str:
        """Return the address that peers connect to."""
        return self._address

    async def send(self, address: str, payload: bytes) -> None:
        """Queue a payload on the peer's socket."""
        push = self._pushes_by_address.get(address)
        try:
            if push is None:
                push = self._dial(address)
            await self._push(push, payload)
        except pynng.NNGException as error:
            self._close_push(address)
            raise SendFailed(f"{address}: {error}") from error

    def renew(self, address: str) -> None:
        """Close a peer's socket; the next payload opens a new one."""
        self._close_push(address)

    async def receive(self) -> bytes:
        """Wait for the next payload."""
        while not self._received:
            self._has_received.clear()
            await self._has_received.wait()
        return self._received.popleft()

    async def close(self) -> None:
        """Close every socket."""
        for address in list(self._pushes_by_address):
            self._close_push(address)
        self._loop.remove_reader(self._descriptor)
        self._pull.close()

    async def _push(self, push: pynng.Push0, payload: bytes) -> None:
        try:
            push.send(payload, block=False)
        except pynng.TryAgain:
            # The peer is slow or unreachable: wait up to the send timeout.
            await _await_cancellable(push.asend(payload))

    def _read_available(self) -> None:
        """Read a payload; called again at once while there are others.

        Payloads mostly arrive alone, and an attempt to read from an empty
        socket costs as much as the read of a payload.
        """
        try:
            self._received.append(self._pull.recv(block=False))
        except pynng.TryAgain:
            # The socket is empty.
            return
        self._has_received.set()

    def _dial(self, address: str) -> pynng.Push0:
        push = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=SEND_BUFFER_PAYLOADS,
            reconnect_time_min=REDIAL_MIN_MS,
            reconnect_time_max=REDIAL_MAX_MS,
        )
        push.dial(address, block=False)
        self._pushes_by_address[address] = push
        return push

    def _close_push(self, address: str) -> None:
        push = self._pushes_by_address.pop(address, None)
        if push is not None:
            push.close()


class PynngNetwork:
    """The control network over the system's sockets."""

    async def open(self, address: str) -> Mailbox:
        """Listen on an address; port 0 selects a free one."""
        pull = pynng.Pull0(
            recv_max_size=MAX_PAYLOAD_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_PAYLOADS,
        )
        listener = pull.listen(address)
        bound = str(listener.local_address)
        if address.endswith(":0"):
            address = f"tcp://{bound.removeprefix('tcp://')}"
        return PynngMailbox(pull=pull, address=address)
