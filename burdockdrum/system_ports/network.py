"""The control network over pynng's push and pull sockets."""

import asyncio
import collections
from collections.abc import Awaitable

import pynng

from burdockdrum.ports.network import Mailbox
from burdockdrum.ports.network import SendFailed

MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
SEND_TIMEOUT_MS = 500
# What a VM sends to a peer while the connection comes about, which takes
# three ways there and back between regions: a dozen frames in 0.4 s.
SEND_BUFFER_PAYLOADS = 16
# VMs that start together dial peers that don't listen yet. The next try comes
# soon, and then ever later: a leader can't be elected before control VMs hear
# of each other.
REDIAL_MIN_MS = 20
REDIAL_MAX_MS = 500
RECEIVE_BUFFER_PAYLOADS = 256
_THREADS = 2


def limit_threads() -> None:
    """Keep nng to a few threads; call before the first socket.

    By default nng starts two threads a core, which on a VM of 12 cores is
    30 threads for a process that one event loop drives.
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
            lib.nng_init_set_parameter(getattr(lib, parameter), _THREADS)


async def _finish(operation: Awaitable[None]) -> None:
    """Wait for a socket operation and pass a cancellation on.

    pynng swallows the cancellation of an operation that ends at that very
    moment: the task goes on, waits for the next one, and whoever cancelled it
    waits for good. A daemon with a failed part did not exit.
    """
    before = _count_cancellations()
    try:
        await operation
    except pynng.NNGException as error:
        if _count_cancellations() > before:
            raise asyncio.CancelledError from error
        raise
    if _count_cancellations() > before:
        raise asyncio.CancelledError


def _count_cancellations() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task is not None else 0


class PynngMailbox:
    """A pull socket for what comes in and a push socket a peer.

    Both are used without waiting inside the library: what waits there comes
    back through one of its threads, which takes the interpreter's lock, and
    costs half as much again as the message.
    """

    def __init__(self, *, pull: pynng.Pull0, address: str) -> None:
        """Take over a listening socket; a loop must be running."""
        self._pull = pull
        self._address = address
        self._pushes_by_address: dict[str, pynng.Push0] = {}
        self._received = collections.deque[bytes]()
        self._has_received = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._descriptor = pull.recv_fd
        self._loop.add_reader(self._descriptor, self._take_received)

    @property
    def address(self) -> str:
        """Return the address that peers dial."""
        return self._address

    async def send(self, address: str, payload: bytes) -> None:
        """Hand a payload to the socket of that peer."""
        push = self._pushes_by_address.get(address)
        try:
            if push is None:
                push = self._dial(address)
            await self._push(push, payload)
        except pynng.NNGException as error:
            self._drop(address)
            raise SendFailed(f"{address}: {error}") from error

    def renew(self, address: str) -> None:
        """Close the socket of a peer; the next payload opens another."""
        self._drop(address)

    async def receive(self) -> bytes:
        """Wait for the next payload."""
        while not self._received:
            self._has_received.clear()
            await self._has_received.wait()
        return self._received.popleft()

    async def close(self) -> None:
        """Close every socket."""
        for address in list(self._pushes_by_address):
            self._drop(address)
        self._loop.remove_reader(self._descriptor)
        self._pull.close()

    async def _push(self, push: pynng.Push0, payload: bytes) -> None:
        try:
            push.send(payload, block=False)
        except pynng.TryAgain:
            # The peer is slow, or absent: wait until the timeout of sends.
            await _finish(push.asend(payload))

    def _take_received(self) -> None:
        """Take what has arrived; called when there is something."""
        try:
            for _ in range(RECEIVE_BUFFER_PAYLOADS):
                self._received.append(self._pull.recv(block=False))
        except pynng.TryAgain:
            # All of it has been taken.
            pass
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

    def _drop(self, address: str) -> None:
        push = self._pushes_by_address.pop(address, None)
        if push is not None:
            push.close()


class PynngNetwork:
    """The control network of the machine."""

    async def open(self, address: str) -> Mailbox:
        """Listen on an address; port 0 takes a free one."""
        pull = pynng.Pull0(
            recv_max_size=MAX_PAYLOAD_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_PAYLOADS,
        )
        listener = pull.listen(address)
        bound = str(listener.local_address)
        if address.endswith(":0"):
            address = f"tcp://{bound.removeprefix('tcp://')}"
        return PynngMailbox(pull=pull, address=address)
