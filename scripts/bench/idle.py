"""Measure the processor time of idle entries and control VMs.

Usage:
  idle [--entries N] [--endpoints N] [--seconds S]
  idle -h | --help

Options:
  --entries N    Entries of each of the three regions [default: 5].
  --endpoints N  Endpoints of each region, which report their prefix caches
                 [default: 10].
  --seconds S    How long to measure [default: 20].
  -h --help      Show this text.

Starts the processes of a deployment on loopback addresses, with a control VM
in each region, and sends no requests. Prints the processor time of a start,
up to the moment when all entries are ready and all endpoints known, and the
share of a core after it. Linux only: it reads /proc.
"""

import asyncio
import json
import os
import pathlib
import statistics
import sys

from docopt import docopt

from scripts.local_deployment import call
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import Machine
from scripts.local_deployment import until

SERVICE = "s"
CHECK_IN_SECONDS = 1.2
# After the start, until connections and reports have settled.
SETTLE_SECONDS = 5.0
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "stream",
            "timeout_ms": 8000,
            "service": SERVICE,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "engine": {
                "slots": 32,
                "kv_capacity": 400_000,
                "kv_token_bytes": 18_000,
                "link_mbps": 88_000.0,
                "stride": 1,
            },
        }
    ],
}
_TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(machine: Machine) -> float:
    """Return the processor time that a process has used."""
    assert machine.process is not None
    path = pathlib.Path(f"/proc/{machine.process.pid}/stat")
    fields = path.read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def put_configuration(deployment: Deployment) -> bool:
    """Return whether a control VM accepted the configuration."""
    status, _ = await call(
        deployment.control[0].ip,
        CONTROL_PORT,
        "PUT",
        "/v1/config",
        json.dumps(CONFIGURATION).encode(),
    )
    return status == 200


async def check_in(deployment: Deployment, zone: int, number: int) -> None:
    """Check in an endpoint at the control VM of its region, repeatedly."""
    machine = deployment.control[zone]
    body = {
        "service": SERVICE,
        # Nothing listens there: the entries' queries are refused at once.
        "addr": f"{machine.ip}:{20_000 + number}",
        "zone": machine.zone,
        "slots": 32,
        "state": "ready",
    }
    sequence = 0
    while True:
        sequence += 1
        await call(
            machine.ip,
            CONTROL_PORT,
            "PUT",
            f"/v1/instances/e-{machine.zone}-{number}",
            json.dumps({**body, "seq": sequence}).encode(),
        )
        await asyncio.sleep(CHECK_IN_SECONDS)


def print_share(name: str, used: list[float], seconds: float) -> None:
    """Print the median and the highest share of a core."""
    median = statistics.median(used) / seconds * 100
    highest = max(used) / seconds * 100
    print(f"{name:16} {median:6.2f}% of a core, highest {highest:6.2f}%")


async def measure(entries: int, endpoints: int, seconds: float) -> None:
    """Start a deployment, measure and print."""
    deployment = Deployment(entries=entries)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(check_in(deployment, zone, number))
            for zone in range(len(deployment.zones))
            for number in range(endpoints)
        ]
        await until(lambda: put_configuration(deployment), 30)
        await deployment.until_ready(seconds=30)
        started = [processor_seconds(m) for m in deployment.machines]
        print(f"start            {statistics.median(started):.2f} s, median")
        await asyncio.sleep(SETTLE_SECONDS)
        before = {m.name: processor_seconds(m) for m in deployment.machines}
        await asyncio.sleep(seconds)
        for name, machines in (
            ("control VMs", deployment.control),
            ("entries", deployment.entries),
        ):
            used = [processor_seconds(m) - before[m.name] for m in machines]
            print_share(name, used, seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()


def main(argv: list[str]) -> int:
    """Run the measurement.

    :returns: 0
    """
    arguments = docopt(__doc__, argv)
    asyncio.run(
        measure(
            int(arguments["--entries"]),
            int(arguments["--endpoints"]),
            float(arguments["--seconds"]),
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
