"""Measure the replicated log, and check many of its histories.

Usage:
  consensus latency
  consensus failover
  consensus idle
  consensus throughput [--seconds=N] [--clients=N]
  consensus start
  consensus histories [--seeds=N] [--first=N] [--size=N]

latency     From propose to applied on all members, 55 ms one way between
            them, in virtual time.
failover    From the leader's crash, its being cut off or its handing over to
            the next change that is accepted, 55 ms one way, virtual time.
idle        Messages and bytes a member and second without changes, in
            virtual time, and the processor time over real sockets.
throughput  Changes a second and processor time a change: three members in
            one process, over pynng on loopback and files in a temporary
            folder.
start       Time to read back the log after 1,000 and 10,000 changes.
histories   Random histories with failures, each checked.

Options:
  --seconds=N  How long to propose [default: 10].
  --clients=N  How many proposals at once [default: 64].
  --seeds=N    How many histories [default: 300].
  --first=N    The first seed [default: 0].
  --size=N     How many members [default: 3].
"""

import asyncio
import pathlib
import sys
import tempfile
import time
from typing import Any

from docopt import docopt
from loguru import logger

from burdockdrum.consensus import LogError
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.metrics import Metrics
from burdockdrum.system_ports import limit_threads
from burdockdrum.testing import run_virtual
from scripts.bench.real_members import RealMember
from scripts.bench.real_members import start_members
from tests.consensus.cluster import Cluster
from tests.consensus.histories import Plan
from tests.consensus.histories import run_history

COMMAND_BYTES = 200
WAN_SECONDS = 0.055
IDLE_SECONDS = 60.0
REAL_IDLE_SECONDS = 10.0


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def measure_latency(interval: float) -> None:
    """Propose on the leader and a follower at an interval."""
    cluster = Cluster()
    cluster.network.set_default(delay=WAN_SECONDS, jitter=0.002)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await asyncio.sleep(2)
    follower = next(log for log in cluster.logs if log is not leader)
    loop = asyncio.get_running_loop()
    answered: list[float] = []
    everywhere: list[float] = []

    async def propose(log: ReplicatedLog) -> None:
        began = loop.time()
        applied = await log.propose(bytes(COMMAND_BYTES), timeout=10)
        answered.append(loop.time() - began)
        while any(log.applied_index < applied.index for log in cluster.logs):
            await asyncio.sleep(0.001)
        everywhere.append(loop.time() - began)

    for name, log in (("leader", leader), ("follower", follower)):
        answered.clear()
        everywhere.clear()
        async with asyncio.TaskGroup() as group:
            for _ in range(200):
                group.create_task(propose(log))
                await asyncio.sleep(cluster.rng.uniform(0, 2 * interval))
        print(
            f"{name:9} every {interval:5.3f} s: answered "
            f"p50 {percentile(answered, 50) * 1000:4.0f} ms "
            f"p99 {percentile(answered, 99) * 1000:4.0f} ms, on all "
            f"p50 {percentile(everywhere, 50) * 1000:4.0f} ms "
            f"p99 {percentile(everywhere, 99) * 1000:4.0f} ms"
        )
    await cluster.stop_all()


async def fail_over(seed: int, way: str) -> float:
    """Take the leader away and return the seconds until changes go on."""
    cluster = Cluster(seed=seed)
    cluster.network.set_default(delay=WAN_SECONDS, jitter=0.002)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await asyncio.sleep(2 + cluster.rng.random())
    vm_id = cluster.vm_of(leader).vm_id
    other = next(log for log in cluster.logs if log is not leader)
    loop = asyncio.get_running_loop()
    began = loop.time()
    match way:
        case "crash":
            await cluster.stop(vm_id)
        case "cut":
            cluster.cut_off(vm_id)
        case "hand over":
            await leader.transfer_leadership()
    accepted = False
    while not accepted:
        try:
            await other.propose(b"x", timeout=0.5)
            accepted = True
        except LogError:
            pass
    took = loop.time() - began
    await cluster.stop_all()
    return took


def measure_failover() -> None:
    """Print how long no change is accepted."""
    for way in ("crash", "cut", "hand over"):
        took = [run_virtual(fail_over(seed, way)) for seed in range(100)]
        print(
            f"{way:9}: p50 {percentile(took, 50):.2f} s, "
            f"p99 {percentile(took, 99):.2f} s, longest {max(took):.2f} s"
        )


async def measure_idle() -> None:
    """Count what goes over the network without changes."""
    cluster = Cluster()
    cluster.network.set_default(delay=WAN_SECONDS)
    await cluster.start_all()
    leader = await cluster.wait_for_leader()
    await asyncio.sleep(5)
    before = {vm_id: read_sent(vm.metrics) for vm_id, vm in members(cluster)}
    await asyncio.sleep(IDLE_SECONDS)
    for vm_id, vm in members(cluster):
        frames, sent = read_sent(vm.metrics)
        role = "leader" if vm.log is leader else "follower"
        print(
            f"{role:9} sends {(frames - before[vm_id][0]) / IDLE_SECONDS:5.1f}"
            f" frames/s {(sent - before[vm_id][1]) / IDLE_SECONDS:6.0f} B/s"
        )
    await cluster.stop_all()


def members(cluster: Cluster) -> list[tuple[str, Any]]:
    """Return the VMs of a cluster by id."""
    return list(cluster.vms.items())


def read_sent(metrics: Metrics) -> tuple[float, float]:
    """Return the frames and bytes sent so far."""
    frames = metrics.counter("burdockdrum_peer_frames_total", "")
    sent = metrics.counter("burdockdrum_peer_bytes_total", "")
    return frames.value(way="out"), sent.value(way="out")


async def measure_real_idle(folder: pathlib.Path) -> None:
    """Print the processor time of three idle members."""
    running = await start_members(folder)
    await asyncio.sleep(1)
    before = time.process_time()
    await asyncio.sleep(REAL_IDLE_SECONDS)
    used = time.process_time() - before
    share = 100 * used / REAL_IDLE_SECONDS
    print(f"three idle members use {share:.2f}% of a core together")
    for member in running:
        await member.stop()


async def measure_throughput(
    folder: pathlib.Path, seconds: float, clients: int
) -> None:
    """Propose as fast as some clients can."""
    running = await start_members(folder)
    leader = next(member for member in running if member.log.is_leader)
    end = time.monotonic() + seconds
    took: list[float] = []

    async def be_client() -> None:
        while time.monotonic() < end:
            began = time.monotonic()
            await leader.log.propose(bytes(COMMAND_BYTES), timeout=10)
            took.append(time.monotonic() - began)

    before = time.process_time()
    async with asyncio.TaskGroup() as group:
        for _ in range(clients):
            group.create_task(be_client())
    used = time.process_time() - before
    print(
        f"{clients} clients: {len(took) / seconds:.0f} changes/s, "
        f"p50 {percentile(took, 50) * 1000:.1f} ms, "
        f"p99 {percentile(took, 99) * 1000:.1f} ms, "
        f"{used / len(took) * 1e6:.0f} us of CPU a change (three members)"
    )
    for member in running:
        await member.stop()


def measure_size(folder: pathlib.Path) -> int:
    """Return the bytes in a folder's files."""
    return sum(path.stat().st_size for path in folder.iterdir())


async def measure_start(folder: pathlib.Path, changes: int) -> None:
    """Make changes on one member, and time its next start."""
    member = RealMember(vm_id="a", folder=folder)
    member.start({"a": await member.open()})
    while not member.log.is_leader:
        await asyncio.sleep(0.05)
    for start in range(0, changes, 100):
        async with asyncio.TaskGroup() as group:
            for _ in range(min(100, changes - start)):
                group.create_task(
                    member.log.propose(bytes(COMMAND_BYTES), timeout=10)
                )
    await asyncio.sleep(0.5)
    await member.stop()
    size = measure_size(folder)
    again = RealMember(vm_id="a", folder=folder)
    addresses = {"a": await again.open()}
    began = time.monotonic()
    again.start(addresses)
    while again.machine.applied < changes:
        await asyncio.sleep(0.001)
    took = time.monotonic() - began
    print(
        f"after {changes:6} changes: {took * 1000:5.0f} ms until all is "
        f"applied, {size / 1000:6.0f} kB on disk"
    )
    await again.stop()


def check_histories(first: int, seeds: int, size: int) -> int:
    """Run histories and print the seeds that show a fault.

    :returns: how many did
    """
    failed = 0
    applied = 0
    began = time.monotonic()
    for seed in range(first, first + seeds):
        try:
            run = run_history(Plan(seed=seed, size=size))
            applied += len(run.history.commands_by_index)
        except Exception as error:
            failed += 1
            print(f"seed {seed}, {size} members: {error!r}")
    took = time.monotonic() - began
    print(
        f"{seeds} histories of {size} members, {applied} commands applied, "
        f"{failed} failed, {took:.0f} s"
    )
    return failed


def main() -> int:
    """Run the measurement that is named.

    :returns: 1 if a history failed, else 0
    """
    arguments = docopt(__doc__)
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    if arguments["histories"]:
        logger.remove()
        failed = check_histories(
            int(arguments["--first"]),
            int(arguments["--seeds"]),
            int(arguments["--size"]),
        )
        return 1 if failed else 0
    if arguments["latency"]:
        for interval in (1.0, 0.1, 0.02):
            run_virtual(measure_latency(interval))
        return 0
    if arguments["failover"]:
        measure_failover()
        return 0
    limit_threads()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        if arguments["idle"]:
            run_virtual(measure_idle())
            asyncio.run(measure_real_idle(folder))
        elif arguments["throughput"]:
            asyncio.run(
                measure_throughput(
                    folder,
                    float(arguments["--seconds"]),
                    int(arguments["--clients"]),
                )
            )
        else:
            for changes in (1_000, 10_000):
                asyncio.run(measure_start(folder / f"{changes}", changes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
