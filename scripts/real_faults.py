"""Kill and drain real processes under load, and check what must hold.

Usage: real_faults [options]

Options:
  --seconds S  How long load runs [default: 30].
  --seed N     The seed of the callers' choices [default: 1].

Six daemons in three regions and six engines run as separate processes on
loopback; this program plays the callers and the plain service that books.
While load runs it kills an entry VM, drains another, and kills a control
VM; each is started again. Then the nine conditions are checked from what
the callers and the plain service saw and from the VMs' time lines. Bounded
in time; every process started is ended.
"""

import asyncio
import collections
import random
import sys
import time

from docopt import docopt
from loguru import logger

from burdockdrum.histories import check_all
from burdockdrum.histories import Drained
from burdockdrum.histories import Ending
from burdockdrum.histories import FaultSpan
from scripts.cluster import Cluster
from scripts.cluster import EndpointPlan
from scripts.cluster import VmPlan
from scripts.real_load import BookingService
from scripts.real_load import RealLoad

REGIONS = ("dunantul", "alfold", "eszak")
VMS = [
    VmPlan(vm_id=f"{region}-{i}", region=region, control=i == 1)
    for region in REGIONS
    for i in (1, 2)
]
ENDPOINTS = [
    EndpointPlan(
        endpoint_id=f"{region}-engine{i}",
        region=region,
        service="planner",
        token_seconds=0.02,
    )
    for region in REGIONS
    for i in (1, 2)
]
DOWNTIME_SECONDS = 2.0


async def kill(cluster: Cluster, load: RealLoad, vm_id: str) -> None:
    """Kill a VM and restart it."""
    start = load.now()
    print(f"{start:6.1f} s kill -9 {vm_id}")
    await cluster.stop(vm_id, kill=True)
    await asyncio.sleep(DOWNTIME_SECONDS)
    await cluster.start_vm(_find_plan(vm_id))
    load.history.faults.append(
        FaultSpan(
            start=start,
            end=load.now(),
            name="crash",
            hosts=frozenset([vm_id]),
        )
    )


async def drain(cluster: Cluster, load: RealLoad, vm_id: str) -> None:
    """Stop a VM with SIGTERM and restart it."""
    start = load.now()
    print(f"{start:6.1f} s SIGTERM {vm_id}")
    code = await cluster.stop(vm_id)
    end = load.now()
    print(f"{end:6.1f} s {vm_id} exited with {code}")
    load.history.drained.append(Drained(time=start, until=end, vm_id=vm_id))
    if code != 0:
        load.problems.append(f"{vm_id} exited with {code} after its drain")
    await cluster.start_vm(_find_plan(vm_id))


def _find_plan(vm_id: str) -> VmPlan:
    return next(plan for plan in VMS if plan.vm_id == vm_id)


async def run(seconds: float, seed: int) -> int:
    """Run the load with faults and print the results.

    :returns: 0 if no condition was violated
    """
    booking = BookingService()
    async with Cluster(vms=VMS, endpoints=ENDPOINTS) as cluster, booking:
        load = RealLoad(
            cluster=cluster, booking=booking, rng=random.Random(seed)
        )
        await load.set_up(REGIONS)
        sending = asyncio.create_task(load.send_for(seconds))
        await asyncio.sleep(seconds * 0.1)
        await kill(cluster, load, "dunantul-2")
        await asyncio.sleep(seconds * 0.1)
        await drain(cluster, load, "alfold-2")
        await asyncio.sleep(seconds * 0.1)
        await kill(cluster, load, "eszak-1")
        await sending
        await load.finish()
    print_results(load)
    violations = check_all(load.history)
    for name, lines in violations.items():
        print(f"VIOLATED {name}: {len(lines)}, such as {lines[0]}")
    for problem in load.problems:
        print(f"TROUBLE {problem}")
    if not violations and not load.problems:
        print("every condition held")
    return 1 if violations or load.problems else 0


def print_results(load: RealLoad) -> None:
    """Print the number of requests by kind and result."""
    counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
    sort_by_number = {sent.number: sent.sort for sent in load.history.sent}
    for ended in load.history.ended:
        sort = sort_by_number[ended.number].value
        result = ended.ending.value
        if ended.ending is Ending.REFUSED:
            result += f" {ended.code}"
        counts[(sort, result, ended.verdict or "")] += 1
    print(f"{'REQUEST':12}{'RESULT':34}{'VERDICT':14}{'COUNT':>6}")
    for (sort, result, verdict), count in sorted(counts.items()):
        print(f"{sort:12}{result:34}{verdict:14}{count:6}")


def main() -> int:
    """Run the program.

    :returns: the exit code
    """
    arguments = docopt(__doc__)
    logger.remove()
    seconds = float(arguments["--seconds"])
    seed = int(arguments["--seed"])
    started = time.monotonic()
    code = asyncio.run(run(seconds, seed))
    print(f"took {time.monotonic() - started:.0f} s")
    return code


if __name__ == "__main__":
    sys.exit(main())
