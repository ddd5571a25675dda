"""Measure what control costs the daemons of one whole data centre.

Usage: data_centre [options]

Options:
  --vms N        Entry VMs, each a daemon of its own [default: 17].
  --endpoints N  Endpoints that report [default: 160].
  --seconds S    How long to measure [default: 15].

Starts the daemons on loopback; the endpoints' announcements and reports come
from this process, and no requests are sent. Prints the processor time,
resident memory and control traffic of the daemons. Takes under a minute.
Linux only: it reads /proc.
"""

import asyncio
from dataclasses import dataclass
import random
import re
import statistics
import sys
import time

from docopt import docopt
from loguru import logger

from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.endpoints import Announcement
from burdockdrum.ports import read_whole
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from scripts.bench.memory import resident_bytes
from scripts.bench.requests import read_cpu
from scripts.cluster import Cluster
from scripts.cluster import VmPlan

REGION = "north"
CONTROL_VMS = 3
SERVICES = 14
SETTLE_SECONDS = 12.0
_TRAFFIC = re.compile(
    r'burdockdrum_peer_(bytes|frames)_total\{way="(in|out)"\} (\S+)'
)


@dataclass(frozen=True, kw_only=True)
class Sample:
    """What one daemon has used so far."""

    moment: float
    cpu_seconds: float
    traffic: dict[str, float]


@dataclass(frozen=True, kw_only=True)
class Usage:
    """What one daemon used a second, and its resident bytes."""

    vm_id: str
    core_share: float
    resident: int
    traffic: dict[str, float]


async def run(vms: int, endpoints: int, seconds: float) -> list[Usage]:
    """Run a data centre and return what each daemon used."""
    plans = [
        VmPlan(vm_id=f"vm-{i:02}", region=REGION, control=i < CONTROL_VMS)
        for i in range(vms)
    ]
    async with Cluster(vms=plans, endpoints=[]) as cluster:
        await _write_services(cluster)
        reporting = _start_reporting(cluster, endpoints)
        await asyncio.sleep(SETTLE_SECONDS)
        before = await _sample_all(cluster)
        await asyncio.sleep(seconds)
        after = await _sample_all(cluster)
        usages = [
            _compare(cluster, vm_id, before[vm_id], after[vm_id])
            for vm_id in before
        ]
        for task in reporting:
            task.cancel()
        await asyncio.gather(*reporting, return_exceptions=True)
        return usages


async def _write_services(cluster: Cluster) -> None:
    operator = _connect(cluster)
    bodies = [("region", REGION, b'{"spec": {}, "change_id": "r"}')]
    for number in range(SERVICES):
        body = b'{"spec": {"regions": ["north"]}, "change_id": "s%d"}'
        bodies.append(("service", f"service-{number}", body % number))
    for kind, name, body in bodies:
        path = f"/v1/resources/{kind}/{name}"
        while not (await operator.call("PUT", path, body=body)).ok:
            await asyncio.sleep(0.3)


def _start_reporting(cluster: Cluster, count: int) -> list[asyncio.Task]:
    http = PooledHttpClient()
    urls = cluster.entry_urls
    tasks = []
    for number in range(count):
        announcer = Announcer(
            http=http,
            clock=SystemClock(),
            entries=[urls[number % len(urls)]],
            token=cluster.endpoint_token,
            announcement=Announcement(
                endpoint_id=f"endpoint-{number}",
                incarnation=1,
                url=f"http://127.0.0.1:{10_000 + number}",
                service=f"service-{number % SERVICES}",
                slots=32,
            ),
            read_load=lambda: (int(time.monotonic() * 2) % 32, 0),
        )
        tasks.append(asyncio.create_task(announcer.run()))
    return tasks


def _connect(cluster: Cluster) -> GatewayClient:
    return GatewayClient(
        seeds=cluster.entry_urls,
        token=cluster.operator_token,
        clock=SystemClock(),
        rng=random.Random(1),
    )


async def _sample_all(cluster: Cluster) -> dict[str, Sample]:
    operator = _connect(cluster)
    samples = {}
    for vm_id, url in cluster.entry_urls_by_vm_id.items():
        answer = await operator.open(url, "GET", "/metrics")
        text = (await read_whole(answer)).decode()
        process = cluster.processes_by_name[vm_id]
        samples[vm_id] = Sample(
            moment=time.monotonic(),
            cpu_seconds=read_cpu(process.pid),
            traffic={
                f"{what} {way}": float(value)
                for what, way, value in _TRAFFIC.findall(text)
            },
        )
    return samples


def _compare(
    cluster: Cluster, vm_id: str, before: Sample, after: Sample
) -> Usage:
    seconds = after.moment - before.moment
    process = cluster.processes_by_name[vm_id]
    return Usage(
        vm_id=vm_id,
        core_share=(after.cpu_seconds - before.cpu_seconds) / seconds,
        resident=resident_bytes(process.pid),
        traffic={
            name: (value - before.traffic.get(name, 0.0)) / seconds
            for name, value in after.traffic.items()
        },
    )


def print_usages(usages: list[Usage]) -> None:
    """Print the median and the highest of each figure."""
    print(f"{'':22}{'MEDIAN':>10}{'HIGHEST':>10}")
    rows = {
        "% of a core": [100 * usage.core_share for usage in usages],
        "MB resident": [usage.resident / 1e6 for usage in usages],
    }
    for name in ("bytes out", "bytes in", "frames out", "frames in"):
        rows[f"{name} a second"] = [u.traffic[name] for u in usages]
    for name, values in rows.items():
        middle = statistics.median(values)
        print(f"{name:22}{middle:10.2f}{max(values):10.2f}")


def main() -> int:
    """Run the program.

    :returns: the exit code
    """
    arguments = docopt(__doc__)
    logger.remove()
    vms, endpoints = int(arguments["--vms"]), int(arguments["--endpoints"])
    seconds = float(arguments["--seconds"])
    usages = asyncio.run(run(vms, endpoints, seconds))
    print(f"{vms} VMs, {endpoints} endpoints, {seconds:g} s")
    print_usages(usages)
    return 0


if __name__ == "__main__":
    sys.exit(main())
