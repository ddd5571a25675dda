"""Measure how soon membership is known, and what it costs.

Usage:
  membership times [--seeds N]
  membership loss [--seconds S]
  membership costs [--seconds S]
  membership data_centres [--seconds S]

VMs reduced to membership run in one process under virtual time, over links
of 1 ms. Times are virtual seconds. CPU is process time for each virtual
second and VM, without pynng, which adds about 165 us to each frame sent and
each one received. Each command takes under a minute.

Options:
  --seeds N    How many runs, one a seed [default: 10].
  --seconds S  Virtual seconds to measure [default: 30].
"""

import asyncio
from collections.abc import Callable
import random
import sys
import time
import tracemalloc

from docopt import docopt
from loguru import logger

from burdockdrum.endpoints import MAX_PREFIXES_PER_ENDPOINT
from burdockdrum.endpoints import PrefixCache
from burdockdrum.testing import run_virtual
from tests.vms.harness import MembershipHarness

VMS = 17
ENDPOINTS = 160
SETTLE_SECONDS = 10.0
LIMIT_SECONDS = 60.0
SERVICES = 14
PYNNG_SECONDS_A_FRAME = 165e-6


def start_harness(seed: int, vms: int, endpoints: int) -> MembershipHarness:
    """Start a data centre whose endpoints are spread over its VMs."""
    harness = MembershipHarness(seed=seed)
    harness.start_vms(vms)
    for number in range(endpoints):
        harness.start_endpoint(f"endpoint-{number}", f"vm{number % vms}")
    return harness


async def measure_times(seed: int, loss: float) -> dict[str, float]:
    """Return the seconds until every VM knows, by what happened."""
    harness = start_harness(seed, VMS, 0)
    rng = random.Random(seed)
    await asyncio.sleep(SETTLE_SECONDS)
    harness.network.set_default(loss=loss)
    times = {}

    async def wait(name: str, condition: Callable[[], bool]) -> None:
        times[name] = await harness.wait_until(condition, limit=LIMIT_SECONDS)
        # The next event must not come in step with the ticks.
        await asyncio.sleep(3.0 + rng.random())

    first = harness.start_endpoint("first", "vm3")
    second = harness.start_endpoint("second", "vm4")
    await wait(
        "new endpoint",
        lambda: harness.everywhere(lambda vm: vm.offers("first")),
    )
    first.leave("vm7")
    await wait("leaving endpoint", lambda: harness.nobody_offers("first"))
    second.die()
    await wait("dead endpoint", lambda: harness.nobody_offers("second"))
    third = harness.start_endpoint("third", "vm5")
    await asyncio.sleep(5.0 + rng.random())
    third.die()
    await harness.crash_vm("vm5")
    await wait(
        "dead VM suspected",
        lambda: harness.everywhere(lambda vm: not vm.knows("vm5")),
    )
    harness.start_vm("vm5")
    await wait(
        "VM joined again",
        lambda: harness.everywhere(lambda vm: vm.knows("vm5")),
    )
    fourth = harness.start_endpoint("fourth", "vm5")
    await asyncio.sleep(5.0 + rng.random())
    fourth.die()
    await harness.crash_vm("vm5")
    await wait(
        "endpoint dead with its entry", lambda: harness.nobody_offers("fourth")
    )
    await harness.stop()
    return times


def show_times(seeds: int) -> None:
    """Print the median, the 99th percentile and the largest time."""
    print(f"{VMS} VMs, {seeds} seeds")
    print("LOSS  EVENT                              P50     P99     MAX (s)")
    for loss in (0.0, 0.05):
        runs = [run_virtual(measure_times(s, loss)) for s in range(seeds)]
        for name in runs[0]:
            values = sorted(run[name] for run in runs)
            p50 = values[len(values) // 2]
            p99 = values[min(len(values) - 1, int(len(values) * 0.99))]
            print(
                f"{loss:4.0%}  {name:30} {p50:7.2f} {p99:7.2f}"
                f" {values[-1]:7.2f}"
            )


async def count_suspicions(seconds: float, loss: float) -> tuple[int, int]:
    """Count suspicions and deaths while every VM lives."""
    harness = start_harness(1, VMS, 0)
    await asyncio.sleep(SETTLE_SECONDS)
    harness.network.set_default(loss=loss)
    await asyncio.sleep(seconds)
    counts = [
        sum(
            len(vm.timeline.events(prefix=f"vm.{name}"))
            for vm in harness.vms_by_id.values()
        )
        for name in ("suspected", "dead")
    ]
    await harness.stop()
    return counts[0], counts[1]


def show_loss(seconds: float) -> None:
    """Print false suspicions over the whole data centre."""
    for loss in (0.05, 0.1, 0.2):
        suspected, dead = run_virtual(count_suspicions(seconds, loss))
        print(
            f"{VMS} VMs, {loss:.0%} loss, {seconds:g} s: "
            f"{suspected} suspicions, {dead} deaths "
            f"({suspected * 3600 / seconds:.0f} and "
            f"{dead * 3600 / seconds:.0f} an hour)"
        )


class Costs:
    """The traffic and process time of some VMs between two moments."""

    def __init__(self, harness: MembershipHarness, vm_ids: list[str]) -> None:
        """Begin to measure."""
        self._vms = [harness.vms_by_id[vm_id] for vm_id in vm_ids]
        self._count = len(harness.vms_by_id)
        self._before = self._read()
        self._cpu = time.process_time()

    def _read(self) -> dict[str, float]:
        found = {}
        for way in ("out", "in"):
            for what in ("bytes", "frames"):
                name = f"burdockdrum_peer_{what}_total"
                found[f"{what} {way}"] = sum(
                    vm.metrics.counter(name, "").value(way=way)
                    for vm in self._vms
                )
        return found

    def show(self, label: str, seconds: float) -> None:
        """Print the costs of one VM and second."""
        after = self._read()
        each = {
            name: (after[name] - self._before[name]) / len(self._vms) / seconds
            for name in after
        }
        cpu = (time.process_time() - self._cpu) / self._count / seconds
        frames = each["frames out"] + each["frames in"]
        total = cpu + frames * PYNNG_SECONDS_A_FRAME
        print(
            f"{label} {each['bytes out']:8.0f} {each['bytes in']:8.0f}"
            f" {each['frames out']:8.1f} {each['frames in']:8.1f}"
            f" {cpu * 1000:7.2f} {total * 100:7.2f}"
        )


HEADER = "   B OUT     B IN   MSG OUT   MSG IN  CPU ms  CORE % (with pynng)"


async def measure_costs(vms: int, endpoints: int, seconds: float) -> None:
    """Print what one data centre costs each of its VMs."""
    harness = start_harness(1, vms, endpoints)
    await asyncio.sleep(SETTLE_SECONDS)
    costs = Costs(harness, list(harness.vms_by_id))
    await asyncio.sleep(seconds)
    costs.show(f"{vms:3} {endpoints:9}", seconds)
    await harness.stop()


async def measure_memory(vms: int, endpoints: int) -> None:
    """Print the memory that Python holds for each VM."""
    tracemalloc.start()
    harness = start_harness(1, vms, endpoints)
    await asyncio.sleep(SETTLE_SECONDS)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{vms:3} {endpoints:9} {held / vms / 1024:8.0f} KB")
    await harness.stop()


def show_cache_memory() -> None:
    """Print the memory of the prefixes of all endpoints, when full."""
    rng = random.Random(1)
    tracemalloc.start()
    caches = [PrefixCache() for _ in range(ENDPOINTS)]
    for cache in caches:
        cache.add(
            rng.getrandbits(32) for _ in range(MAX_PREFIXES_PER_ENDPOINT)
        )
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{ENDPOINTS} full prefix caches: {held / 1024:.0f} KB")


def show_costs(seconds: float) -> None:
    """Print the costs as VMs and endpoints grow."""
    print("VMS ENDPOINTS" + HEADER)
    for vms in (4, 8, 17):
        for endpoints in (0, 40, 80, 160):
            run_virtual(measure_costs(vms, endpoints, seconds))
    print("VMS ENDPOINTS  MEMORY a VM")
    for vms, endpoints in ((4, 40), (8, 80), (17, 40), (17, 160)):
        run_virtual(measure_memory(vms, endpoints))
    show_cache_memory()


async def measure_data_centres(count: int, seconds: float) -> None:
    """Print what a VM of the largest data centre spends."""
    harness = MembershipHarness(seed=1)
    vm_ids = [f"vm{number}" for number in range(VMS)]
    for vm_id in vm_ids:
        harness.start_vm(vm_id, services=SERVICES)
    for number in range(1, count):
        harness.start_vm(
            f"far{number}", data_centre=f"dc{number}", services=SERVICES
        )
    for number in range(ENDPOINTS):
        harness.start_endpoint(f"endpoint-{number}", f"vm{number % VMS}")
    await asyncio.sleep(2 * SETTLE_SECONDS)
    costs = Costs(harness, vm_ids)
    await asyncio.sleep(seconds)
    costs.show(f"{count:12}", seconds)
    known = [
        len(harness.vms_by_id[vm_id].vms.summaries_by_data_centre)
        for vm_id in vm_ids
    ]
    ages = [
        view.age_seconds
        for vm_id in vm_ids
        for view in harness.vms_by_id[
            vm_id
        ].vms.summaries_by_data_centre.values()
    ]
    print(f"    known at each VM: {min(known)}, oldest {max(ages):.1f} s")
    await harness.stop()


def show_data_centres(seconds: float) -> None:
    """Print the costs as data centres grow."""
    print(f"{VMS} VMs, {ENDPOINTS} endpoints, {SERVICES} services")
    print("DATA CENTRES" + HEADER)
    for count in (3, 10, 33, 76):
        run_virtual(measure_data_centres(count, seconds))


def main() -> int:
    """Run the measurement named on the command line."""
    arguments = docopt(__doc__ or "")
    logger.disable("burdockdrum")
    seconds = float(arguments["--seconds"])
    if arguments["times"]:
        show_times(int(arguments["--seeds"]))
    elif arguments["loss"]:
        show_loss(seconds)
    elif arguments["costs"]:
        show_costs(seconds)
    else:
        show_data_centres(seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
