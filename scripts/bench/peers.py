"""Measure what a control message costs over real sockets.

Usage: peers

Two VMs' message services in one process exchange frames over pynng on
loopback. Prints the processor time of a frame and of a message in it, for
both ends together, and the bytes. Takes about 15 seconds.
"""

import asyncio
import time

from docopt import docopt

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.system_ports import limit_threads
from burdockdrum.system_ports import PynngNetwork
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import make_peers

FRAMES = 100
BATCHES = (1, 10, 50)
SIZES = (50, 500)
PAUSE_SECONDS = 0.025


class Payload(Message, frozen=True, kw_only=True):
    """A message of so many bytes."""

    content: bytes


class Pair:
    """Two message services on loopback."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.received = 0

    async def start(self, name: str) -> Peers:
        """Open one end."""
        mailbox = await PynngNetwork().open("tcp://127.0.0.1:0")
        peers = make_peers(
            vm_id=name,
            mailbox=mailbox,
            clock=SystemClock(),
            metrics=self.metrics,
        )
        peers.register(Payload, self._take)
        return peers

    async def _take(self, sender: object, message: Payload) -> None:
        self.received += 1


async def measure(batch: int, size: int) -> tuple[float, float]:
    """Return CPU seconds a frame (both ends) and bytes a frame."""
    pair = Pair()
    first, second = await pair.start("a"), await pair.start("b")
    tasks = [asyncio.create_task(p.run()) for p in (first, second)]
    target = second.identity.control_address
    first.send(target, Payload(content=b"warm up"))
    await asyncio.sleep(0.3)
    sent_bytes = pair.metrics.counter("burdockdrum_peer_bytes_total", "")
    before = time.process_time(), sent_bytes.value(way="out")
    idle = await _idle_cpu()
    for _ in range(FRAMES):
        for _ in range(batch):
            first.send(target, Payload(content=bytes(size)))
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.sleep(0.2)
    cpu = time.process_time() - before[0] - idle
    sent = sent_bytes.value(way="out") - before[1]
    assert pair.received == FRAMES * batch + 1, pair.received
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await first.close()
    await second.close()
    return cpu / FRAMES, sent / FRAMES


async def _idle_cpu() -> float:
    """Return what the sleeping itself costs, to take it off."""
    start = time.process_time()
    for _ in range(FRAMES):
        await asyncio.sleep(PAUSE_SECONDS / 10)
    return time.process_time() - start


async def _main() -> None:
    limit_threads()
    print(f"{'MESSAGES':>8} {'BYTES EACH':>10} {'us/FRAME':>9} {'B/FRAME':>9}")
    for size in SIZES:
        for batch in BATCHES:
            cpu, sent = await measure(batch, size)
            print(f"{batch:8} {size:10} {cpu * 1e6:9.0f} {sent:9.0f}")


if __name__ == "__main__":
    docopt(__doc__)
    asyncio.run(_main())
