"""Measure what keeping the origins of streams costs, in two ways.

Usage: stream_origins [--seconds S]

Options:
  --seconds S  How long each case runs [default: 4].

Entries of two data centres on loopback begin streams. In the first way each
tells one other entry of its data centre and one of another one, chosen by the
stream's key; in the second it tells three control VMs. Prints the processor
time of all ends and the bytes, for each stream, and the memory of a record.
"""

import asyncio
from collections.abc import Callable
import secrets
import time
import tracemalloc

from docopt import docopt

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.streams.memory import OriginMemory
from burdockdrum.streams.messages import OriginNotice
from burdockdrum.streams.messages import OriginRecord
from burdockdrum.streams.origin import StreamOrigin
from burdockdrum.streams.origins import StreamOrigins
from burdockdrum.system_ports import limit_threads
from burdockdrum.system_ports import PynngNetwork
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import make_peers

ENTRIES_PER_DATA_CENTRE = 6
CONTROL_VMS = 3
# Streams that each entry begins per second.
RATES = (1.0, 10.0, 31.0)
RECORDS = 20_000
ORIGIN = StreamOrigin(service="model", software_version="v1.2")


class Ends:
    """The message services of some VMs in this process."""

    def __init__(self) -> None:
        """Create it without VMs."""
        self.metrics = Metrics()
        self.peers: list[Peers] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def open(self, name: str, data_centre: str) -> Peers:
        """Open the message service of a VM."""
        mailbox = await PynngNetwork().open("tcp://127.0.0.1:0")
        peers = make_peers(
            vm_id=name,
            mailbox=mailbox,
            clock=SystemClock(),
            metrics=self.metrics,
        )
        peers.identity = VmIdentity(
            vm_id=name,
            incarnation=1,
            region=data_centre,
            data_centre=data_centre,
            control_address=mailbox.address,
            http_address="http://x",
        )
        self.peers.append(peers)
        self.tasks.append(asyncio.create_task(peers.run()))
        return peers

    async def close(self) -> None:
        """Close all VMs."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peers in self.peers:
            await peers.close()


async def _open_entries(ends: Ends) -> list[Peers]:
    return [
        await ends.open(f"{data_centre}{number}", data_centre)
        for data_centre in "ab"
        for number in range(ENTRIES_PER_DATA_CENTRE)
    ]


async def _make_holders(ends: Ends) -> list[Callable[[bytes], None]]:
    """Return what begins a stream at each entry, kept by other entries."""
    entries = await _open_entries(ends)
    identities = [peers.identity for peers in entries]

    async def confirm_versions(seconds: float) -> bool:
        """Confirm the versions; streams here are never taken up."""
        return True

    def begin_at(peers: Peers) -> Callable[[bytes], None]:
        origins = StreamOrigins(
            clock=SystemClock(),
            peers=peers,
            metrics=Metrics(),
            read_entries=lambda: identities,
            read_versions=lambda service: ["v1.1", "v1.2"],
            knows_all_versions=lambda: True,
            confirm_versions=confirm_versions,
            read_moved_to=list,
        )

        def begin(key: bytes) -> None:
            origins.begin(key, ORIGIN, [ORIGIN.service])
            origins.end(key)

        return begin

    return [begin_at(peers) for peers in entries]


async def _make_control(ends: Ends) -> list[Callable[[bytes], None]]:
    """Return what begins a stream at each entry, kept by control VMs."""
    entries = await _open_entries(ends)
    control = [await ends.open(f"c{n}", "c") for n in range(CONTROL_VMS)]
    for peers in control:
        memory = OriginMemory(clock=SystemClock())

        async def keep(
            sender: Sender, notice: OriginNotice, memory: OriginMemory = memory
        ) -> Message | None:
            for record in notice.records:
                memory.keep(record.key, record.origin)
            return None

        peers.register(OriginNotice, keep)
    addresses = [peers.identity.control_address for peers in control]

    async def confirm_versions(seconds: float) -> bool:
        """Confirm the versions; streams here are never taken up."""
        return True

    def begin_at(peers: Peers) -> Callable[[bytes], None]:
        def begin(key: bytes) -> None:
            record = OriginRecord(key, ORIGIN.service, ORIGIN.software_version)
            for address in addresses:
                peers.send(
                    address, OriginNotice(records=[record], is_passed_on=True)
                )

        return begin

    return [begin_at(peers) for peers in entries]


async def _measure(way: str, rate: float, seconds: float) -> None:
    ends = Ends()
    make = _make_holders if way == "other entries" else _make_control
    entries = await make(ends)
    for begin in entries:
        begin(secrets.token_bytes(12))
    await asyncio.sleep(0.5)
    sent = ends.metrics.counter("burdockdrum_peer_bytes_total", "")
    idle_began = time.process_time()
    await asyncio.sleep(seconds)
    idle = time.process_time() - idle_began
    bytes_before, began = sent.value(way="out"), time.process_time()
    count = 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        entries[count % len(entries)](secrets.token_bytes(12))
        count += 1
        await asyncio.sleep(1 / (rate * len(entries)))
    await asyncio.sleep(0.2)
    cpu = time.process_time() - began - idle
    out = sent.value(way="out") - bytes_before
    await ends.close()
    print(
        f"{way:14} {rate:9.0f} {cpu / count * 1e6:10.0f} {out / count:8.0f}",
        flush=True,
    )


def _measure_memory() -> int:
    tracemalloc.start()
    memory = OriginMemory(clock=SystemClock())
    for _ in range(RECORDS):
        memory.keep(secrets.token_bytes(12), ORIGIN)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size // RECORDS


async def _main(seconds: float) -> None:
    limit_threads()
    print(f"{'KEPT BY':14} {'STREAMS/S':>9} {'us/STREAM':>10} {'B/STREAM':>8}")
    for way in ("other entries", "control VMs"):
        for rate in RATES:
            await _measure(way, rate, seconds)
    print(f"memory of a record: {_measure_memory()} B")


if __name__ == "__main__":
    asyncio.run(_main(float(docopt(__doc__)["--seconds"])))
