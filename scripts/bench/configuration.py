"""Measure how configuration travels: time, bytes, processor time, memory.

Usage: configuration [--changes=COUNT] [--largest]

The configuration service, the log and the messages between VMs run as in
the product, over the in-memory network under virtual time with 55 ms one
way between regions and 1 ms within. Time and bytes are virtual and exact;
processor time is that of this process, shared out over its VMs.

Options:
  --changes=COUNT  Changes to make at each size [default: 20].
  --largest        Only the size that the letter names; takes two minutes.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import sys
import time
import tracemalloc

from docopt import docopt
from loguru import logger

from burdockdrum.configuration import propose_lease_command
from burdockdrum.leases import OpenEpoch
from burdockdrum.leases import RENEW_INTERVAL_SECONDS
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put
from burdockdrum.resources import Resource
from burdockdrum.testing import run_virtual
from scripts.bench.control_plane import Plane

# VMs, data centres; three of the VMs have disks.
SIZES = ((6, 3), (24, 6), (76, 19), (152, 38), (304, 76))
LARGEST = ((1292, 76),)
IDLE_SECONDS = 20.0
CHANGE_SECONDS = 1.7
# VMs and data centres of the measurement of leases; leases a relay holds.
LEASE_SIZE = (76, 76)
LEASES = 3
# Operators use so many of the VMs.
ENTRIES = 3


async def measure(vms: int, data_centres: int, changes: int) -> None:
    """Run one size and print its line."""
    plane = Plane(vms=vms, data_centres=data_centres)
    async with asyncio.TaskGroup() as group:
        for vm in plane.vms:
            await vm.start(group)
        while not all(vm.configuration.is_synced for vm in plane.vms):
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        before = dict(plane.network.bytes_by_host)
        started = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        idle_cpu = time.process_time() - started
        idle = plane.bytes_by_role(before)
        before = dict(plane.network.bytes_by_host)
        started = time.process_time()
        answers = [await change(plane, number) for number in range(changes)]
        cpu = time.process_time() - started
        busy = plane.bytes_by_role(before)
        print_line(plane, answers, idle, busy, idle_cpu, cpu)
        for task in list(group._tasks):
            task.cancel()


async def measure_leases() -> None:
    """Print what leases cost the leader, renewed as built and in the log."""
    plane = Plane(vms=LEASE_SIZE[0], data_centres=LEASE_SIZE[1])
    async with asyncio.TaskGroup() as group:
        for vm in plane.vms:
            await vm.start(group)
        while not all(vm.configuration.is_synced for vm in plane.vms):
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        await print_lease_cost(plane, "none held", asyncio.sleep(0))
        relays = [v for v in plane.vms if v.identity.vm_id in plane.relay_ids]
        for vm in relays:
            for number in range(LEASES):
                name = f"{vm.identity.data_centre}/{number}"
                await vm.leases.acquire(name)
        held = f"{len(relays)} holders of {LEASES}, renewed as built"
        await print_lease_cost(plane, held, asyncio.sleep(0))
        in_log = f"the same and {len(relays)} entries in the log a period"
        await print_lease_cost(plane, in_log, renew_in_log(plane))
        for task in list(group._tasks):
            task.cancel()


async def renew_in_log(plane: Plane) -> None:
    """Propose as many entries as renewals in the log would take."""
    count = int(IDLE_SECONDS / RENEW_INTERVAL_SECONDS * len(plane.relay_ids))
    log = plane.leader.log
    assert log is not None
    opener = plane.leader.state.leases.opener
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            # Opening the open epoch again changes nothing, as would a
            # renewal.
            command = OpenEpoch(opener=opener)
            group.create_task(propose_lease_command(log, command, 2.0))
            await asyncio.sleep(IDLE_SECONDS / count)


async def print_lease_cost(plane: Plane, what: str, work: Coroutine) -> None:
    """Print bytes, processor time and log entries of some seconds."""
    log = plane.leader.log
    assert log is not None
    index = log.applied_index
    before = dict(plane.network.bytes_by_host)
    started = time.process_time()
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.gather(asyncio.sleep(IDLE_SECONDS), work)
    seconds = loop.time() - began
    cpu = time.process_time() - started
    sent = plane.bytes_by_role(before)["leader"]
    print(
        f"leases, {what}: leader sends {sent / seconds:.0f} bytes/s, "
        f"{(log.applied_index - index) / seconds:.1f} log entries/s, "
        f"processor of all VMs {cpu / seconds * 1e3:.1f} ms/s"
    )


async def change(plane: Plane, number: int) -> float:
    """Make one change and return the seconds until its answer."""
    entry = plane.vms[-1 - number % ENTRIES]
    put = Put(
        change_id=f"change-{number}",
        kind="region",
        name=f"region-{number}",
        expected_version=0,
        spec=parse_spec("region", {"description": "x" * 200}),
    )
    loop = asyncio.get_running_loop()
    started = loop.time()
    await entry.configuration.change(put)
    seconds = loop.time() - started
    await asyncio.sleep(CHANGE_SECONDS)
    return seconds


def print_line(
    plane: Plane,
    answers: list[float],
    idle: dict[str, float],
    busy: dict[str, float],
    idle_cpu: float,
    cpu: float,
) -> None:
    """Print what one size gave."""
    delays = []
    lasts = []
    for revision, accepted_at in plane.leader.in_force_at.items():
        times = [vm.in_force_at[revision] for vm in plane.vms]
        delays += [moment - accepted_at for moment in times]
        lasts.append(max(times) - accepted_at)
    changes = len(lasts)
    seconds = sum(answers) + changes * CHANGE_SECONDS
    idle_rate = idle_cpu / IDLE_SECONDS
    extra = (cpu - idle_rate * seconds) / changes
    roles = sorted(idle)
    idle_text = " ".join(f"{r}={idle[r] / IDLE_SECONDS:.0f}" for r in roles)
    busy_text = " ".join(
        f"{r}={(busy[r] - idle[r] / IDLE_SECONDS * seconds) / changes:.0f}"
        for r in roles
    )
    print(
        f"{len(plane.vms):4} VMs, {len(plane.relay_ids):2} data centres: "
        f"a VM p50 {_at(delays, 50):.3f} p99 {_at(delays, 99):.3f} s; "
        f"everywhere p50 {_at(lasts, 50):.3f} p99 {_at(lasts, 99):.3f} s; "
        f"answered p50 {_at(answers, 50):.3f} p99 {_at(answers, 99):.3f} s"
    )
    print(f"     idle bytes/s sent, most of a role: {idle_text}")
    print(f"     bytes sent a change, most of a role: {busy_text}")
    print(
        f"     processor: idle {idle_rate / len(plane.vms) * 1e6:.0f} us "
        f"a VM and second; a change {extra / len(plane.vms) * 1e6:.0f} us "
        "a VM"
    )


def _at(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def measure_memory() -> None:
    """Print what the letter's configuration takes."""
    tracemalloc.start()
    resources = list(_letter_resources())
    before = tracemalloc.get_traced_memory()[0]
    configuration = Configuration.from_resources(len(resources), resources)
    started = time.process_time()
    entries = len(configuration.client_ids_by_token_hash)
    entries += len(configuration.services_by_name)
    lookups = time.process_time() - started
    index_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"{len(resources)} resources: {before / 1e6:.2f} MB, {entries} index "
        f"entries {index_bytes / 1e6:.2f} MB, rebuilt after a change in "
        f"{lookups * 1e3:.2f} ms"
    )


def _letter_resources() -> Iterator[Resource]:
    specs: list[tuple[str, str, dict]] = []
    regions = [f"region-{i}" for i in range(33)]
    specs += [("region", name, {}) for name in regions]
    specs += [
        ("data_centre", f"dc-{i}", {"region": regions[i % 33]})
        for i in range(76)
    ]
    specs += [
        ("service", f"model-{i}", {"regions": regions}) for i in range(14)
    ]
    for team in range(260):
        specs.append(("team", f"team-{team}", {}))
        for client in range(4):
            fields = {
                "home_region": regions[team % 33],
                "residency": [regions[(team + i) % 33] for i in range(3)],
                "token_hashes": [hash_token(f"{team}-{client}")],
                "team": f"team-{team}",
            }
            specs.append(("client", f"client-{team}-{client}", fields))
    for number, (kind, name, fields) in enumerate(specs, 1):
        yield Resource(
            kind=kind, name=name, version=number, spec=parse_spec(kind, fields)
        )


def main() -> int:
    """Measure every size."""
    arguments = docopt(__doc__)
    changes = int(arguments["--changes"])
    logger.remove()
    measure_memory()
    for vms, data_centres in LARGEST if arguments["--largest"] else SIZES:
        with contextlib.suppress(asyncio.CancelledError):
            run_virtual(measure(vms, data_centres, changes))
    with contextlib.suppress(asyncio.CancelledError):
        run_virtual(measure_leases())
    return 0


if __name__ == "__main__":
    sys.exit(main())
