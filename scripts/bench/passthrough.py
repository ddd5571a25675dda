"""Measure what an entry adds to a call, and what idle VMs cost.

Usage:
  passthrough [--calls N] [--idle SECONDS]

Options:
  --calls N       Calls of each kind, one after the other [default: 2000].
  --idle SECONDS  How long the idle VMs are watched [default: 10].

Three control VMs and three entries run as processes on loopback addresses;
an endpoint in this process answers at once. Calls go to it directly, through
the entry of its region, and through the entry of another region, each on one
kept connection.
"""

import asyncio
import os
import pathlib
import sys
import time

from docopt import docopt

from scripts.failed_requests import Scenario
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import Machine

_TICKS = os.sysconf("SC_CLK_TCK")
_KIB_A_MIB = 1024


async def _time_calls(address: str, count: int) -> list[float]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    times = []
    for number in range(count):
        request = (
            "POST /fetch/now HTTP/1.1\r\nHost: h\r\n"
            f"X-Request-Id: m{number}\r\nContent-Length: 1\r\n\r\nq"
        )
        began = time.perf_counter()
        writer.write(request.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(3)
        times.append(time.perf_counter() - began)
        if not head.startswith(b"HTTP/1.1 200"):
            raise AssertionError(head.decode())
    writer.close()
    return sorted(times)


def _show(name: str, times: list[float]) -> None:
    p50 = times[len(times) // 2] * 1000
    p99 = times[len(times) * 99 // 100] * 1000
    print(f"{name:28} p50 {p50:7.3f} ms   p99 {p99:7.3f} ms", flush=True)


def _processor_seconds(machine: Machine) -> float:
    assert machine.process is not None
    path = pathlib.Path(f"/proc/{machine.process.pid}/stat")
    fields = path.read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _resident_mib(machine: Machine) -> float:
    assert machine.process is not None
    path = pathlib.Path(f"/proc/{machine.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_A_MIB
    return 0.0


async def _measure(calls: int, idle_seconds: float) -> None:
    scenario = Scenario()
    try:
        await scenario.open()
        before = {m.name: _processor_seconds(m) for m in scenario.machines}
        await asyncio.sleep(idle_seconds)
        for machine in scenario.machines:
            used = _processor_seconds(machine) - before[machine.name]
            share = used / idle_seconds * 100
            print(
                f"{machine.name:28} idle {share:5.2f}% of a core, "
                f"{_resident_mib(machine):5.1f} MiB",
                flush=True,
            )
        near, far = (
            scenario.deployment.entries[0],
            scenario.deployment.entries[1],
        )
        for name, address in (
            ("directly", scenario.endpoint.address),
            ("through its entry", f"{near.ip}:{CALLERS_PORT}"),
            ("through another region's", f"{far.ip}:{CALLERS_PORT}"),
        ):
            _show(name, await _time_calls(address, calls))
    finally:
        await scenario.close()


def main() -> int:
    """Measure and print.

    :returns: 0
    """
    arguments = docopt(__doc__)
    asyncio.run(
        _measure(int(arguments["--calls"]), float(arguments["--idle"]))
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
