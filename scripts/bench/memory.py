"""Measure the resident memory of a daemon and of what it holds.

Usage: memory

Starts one daemon on loopback and reads its resident size when idle, and
again while it relays many open streams; then fills the parts of a VM in this
process and prints bytes an item. Takes about half a minute. Linux only: it
reads /proc.
"""

import asyncio
import gc
import pathlib
import tracemalloc

from docopt import docopt

from burdockdrum.metrics import Metrics
from burdockdrum.resources import ClientSpec
from burdockdrum.resources import Configuration
from burdockdrum.resources import Quota
from burdockdrum.resources import Resource
from burdockdrum.system_ports import SystemClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from scripts.bench.requests import Measurement
from scripts.cluster import Cluster
from scripts.cluster import EndpointPlan
from scripts.cluster import VmPlan

SETTLE_SECONDS = 4.0
CLIENTS = 1040
EVENTS = 10_000
HISTOGRAMS = 50
STREAMS = 200


def resident_bytes(pid: int) -> int:
    """Return the resident size of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    [line] = [x for x in status.splitlines() if x.startswith("VmRSS")]
    return int(line.split()[1]) * 1024


async def measure_daemon() -> tuple[float, float]:
    """Return an idle daemon's resident bytes, and those of a stream."""
    plan = VmPlan(vm_id="entry", region="north", control=True)
    engine = EndpointPlan(
        endpoint_id="engine",
        region="north",
        service="planner",
        slots=STREAMS,
        token_seconds=1.0,
    )
    async with Cluster(vms=[plan], endpoints=[engine]) as cluster:
        measurement = Measurement(cluster=cluster, seconds=0)
        await measurement.prepare()
        stream = measurement.stream(cluster.entry_urls[0])
        process = cluster.processes_by_name["entry"]
        idle = resident_bytes(process.pid)
        streams = [asyncio.ensure_future(stream()) for _ in range(STREAMS)]
        await asyncio.sleep(SETTLE_SECONDS)
        busy = resident_bytes(process.pid)
        still_open = sum(not task.done() for task in streams)
        assert still_open == STREAMS, f"only {still_open} streams are open"
        for task in streams:
            task.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        return idle, (busy - idle) / STREAMS


def measure_clients() -> float:
    """Return bytes a client resource in a configuration."""
    before = tracemalloc.get_traced_memory()[0]
    resources = [_make_client(i) for i in range(CLIENTS)]
    configuration = Configuration(
        revision=1, resources_by_key={r.key: r for r in resources}
    )
    assert len(configuration.client_ids_by_token_hash) == CLIENTS
    assert len(configuration.clients_by_id) == CLIENTS
    after = tracemalloc.get_traced_memory()[0]
    return (after - before) / CLIENTS


def _make_client(number: int) -> Resource:
    spec = ClientSpec(
        home_region=f"region-{number % 33}",
        residency=[f"region-{number % 33}", f"region-{(number + 1) % 33}"],
        token_hashes=[f"{number:064x}"],
        team=f"team-{number % 260}",
        quota=Quota(requests_per_second=50.0),
    )
    return Resource(
        kind="client", name=f"client-{number}", version=number, spec=spec
    )


async def measure_events() -> float:
    """Return bytes an event of a full time line."""
    clock = HybridClock(clock=SystemClock())
    before = tracemalloc.get_traced_memory()[0]
    timeline = Timeline(process="vm", incarnation=1, clock=clock)
    for number in range(EVENTS):
        timeline.record("request.answered", request_id=f"req-{number:020}")
    after = tracemalloc.get_traced_memory()[0]
    return (after - before) / EVENTS


def measure_histograms() -> float:
    """Return bytes a histogram."""
    before = tracemalloc.get_traced_memory()[0]
    histogram = Metrics().histogram("a", "A.")
    for number in range(HISTOGRAMS):
        histogram.record(0.1, label=str(number))
    after = tracemalloc.get_traced_memory()[0]
    return (after - before) / HISTOGRAMS


async def _main() -> None:
    idle, stream = await measure_daemon()
    print(f"idle daemon, resident: {idle / 1e6:.1f} MB")
    print(f"an open stream: {stream / 1e3:.0f} kB")
    gc.collect()
    tracemalloc.start()
    print(f"a client resource: {measure_clients():.0f} B")
    print(f"an event of the time line: {await measure_events():.0f} B")
    print(f"a histogram: {measure_histograms():.0f} B")


if __name__ == "__main__":
    docopt(__doc__)
    asyncio.run(_main())
