"""Measure how long a lost control VM leaves the log with less redundancy.

Usage: replacement [--losses=COUNT] [--start=SECONDS]

Three control VMs in three regions, 55 ms one way between them, elections
after 0.6 s, under virtual time. The one whose disk has lasted longest is
gone for good, an empty one is started at another address, again and again.
The time until three voters run again is printed in its parts. Takes about
20 seconds.

Options:
  --losses=COUNT   Losses to bring about [default: 20].
  --start=SECONDS  From a loss to the start of the empty VM [default: 1].
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import sys

from docopt import docopt
from loguru import logger

from burdockdrum.consensus import ReplicatedLog
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster

VOTERS = 3
ELECTION_SECONDS = 0.6
REGION_DELAY = 0.055
# Between two losses; by then the one before must be made up for.
REST_SECONDS = 8.0
LOOK_SECONDS = 0.01
# The cluster's helper has a letter for each VM.
MAX_LOSSES_A_CLUSTER = 20


@dataclass(frozen=True, kw_only=True)
class Replacement:
    """Seconds from a loss until each step towards redundancy was done.

    ``led`` is when a leader with a lease is there, ``started`` when the
    empty VM runs, ``invited`` when it is a member, ``removed`` when the
    lost one is no voter any more, ``redundant`` when the new one is.
    """

    led: float
    started: float
    invited: float
    removed: float
    redundant: float


async def measure(losses: int, start_seconds: float) -> list[Replacement]:
    """Return what each loss took."""
    cluster: Cluster = Cluster(
        seed=losses,
        target_voter_count=VOTERS,
        read_control_addresses=lambda: [
            vm.address for vm in cluster.vms.values()
        ],
        election_timeout_seconds=ELECTION_SECONDS,
        heartbeat_seconds=ELECTION_SECONDS / 5,
        call_timeout_seconds=ELECTION_SECONDS / 2,
    )
    cluster.network.set_default(delay=REGION_DELAY)
    await cluster.start_all()
    await cluster.wait_for_leader()
    replacements = []
    for _ in range(losses):
        await asyncio.sleep(REST_SECONDS)
        replacements.append(await replace_oldest(cluster, start_seconds))
    await cluster.stop_all()
    return replacements


async def replace_oldest(
    cluster: Cluster, start_seconds: float
) -> Replacement:
    """Lose the longest-lived disk and wait until another one counts."""
    loop = asyncio.get_running_loop()
    lost = next(vm.vm_id for vm in cluster.vms.values() if vm.task)
    began = loop.time()
    await cluster.stop(lost)
    starting = asyncio.create_task(start_later(cluster, start_seconds))

    async def until(holds: Callable[[ReplicatedLog], bool]) -> float:
        while not any(holds(log) for log in leaders(cluster)):
            await asyncio.sleep(LOOK_SECONDS)
        return loop.time() - began

    led = await until(lambda log: True)
    new = await starting
    started = max(start_seconds, led)
    invited = await until(lambda log: new in members(log, voting=False))
    removed = await until(lambda log: lost not in members(log, voting=True))
    redundant = await until(lambda log: new in members(log, voting=True))
    return Replacement(
        led=led,
        started=started,
        invited=invited,
        removed=removed,
        redundant=redundant,
    )


async def start_later(cluster: Cluster, seconds: float) -> str:
    """Start an empty VM after a while and return its id."""
    await asyncio.sleep(seconds)
    new = cluster.add_vm().vm_id
    await cluster.start(new)
    return new


def leaders(cluster: Cluster) -> Iterable[ReplicatedLog]:
    """Return the logs that lead with a lease."""
    return (log for log in cluster.logs if log.is_leader)


def members(log: ReplicatedLog, *, voting: bool) -> set[str]:
    """Return the ids of all members, or of those that vote."""
    return {m.vm_id for m in log.members if m.voter or not voting}


def print_parts(replacements: list[Replacement]) -> None:
    """Print the median and the longest of each step."""
    print(f"{len(replacements)} losses; seconds from the loss, p50 and most")
    for name in ("led", "started", "invited", "removed", "redundant"):
        seconds = sorted(getattr(each, name) for each in replacements)
        middle = seconds[len(seconds) // 2]
        print(f"{name:10} {middle:6.2f} {seconds[-1]:6.2f}")


def main() -> int:
    """Print the parts."""
    arguments = docopt(__doc__)
    logger.remove()
    left = int(arguments["--losses"])
    start_seconds = float(arguments["--start"])
    replacements: list[Replacement] = []
    while left > 0:
        losses = min(left, MAX_LOSSES_A_CLUSTER)
        replacements += run_virtual(measure(losses, start_seconds))
        left -= losses
    print_parts(replacements)
    return 0


if __name__ == "__main__":
    sys.exit(main())
