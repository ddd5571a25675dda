"""Measure how long an operator waits for a change when the leader crashes.

Usage: failover [--crashes=COUNT]

Six whole VMs in three regions, 55 ms one way between them, under virtual
time. The leader crashes, and at once a change is sent to a VM that holds no
state, again until it is answered. Takes about 10 seconds.

Options:
  --crashes=COUNT  Crashes to bring about [default: 30].
"""

import asyncio
import sys

from docopt import docopt
from loguru import logger

from burdockdrum.configuration import ChangeNotAccepted
from burdockdrum.configuration import ChangeOutcomeUnknown
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "n1.2", "s1.1", "s1.2", "e1.1", "e1.2"]
CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
REGION_DELAY = 0.055
REST_SECONDS = 15.3


async def measure(crashes: int) -> list[float]:
    """Return the seconds of each change, sorted."""
    deployment = Deployment(seed=9, vm_ids=VM_IDS, control_ids=CONTROL_IDS)
    for vm_id in VM_IDS:
        for other in VM_IDS:
            if vm_id[0] != other[0]:
                deployment.cluster.network.set_link(
                    vm_id, other, delay=REGION_DELAY
                )
    await deployment.start()
    loop = asyncio.get_running_loop()
    seconds = []
    for number in range(crashes):
        await asyncio.sleep(REST_SECONDS + number * 0.07)
        leader = deployment.leader_id()
        assert leader is not None
        await deployment.crash(leader, power=True)
        entry = next(v for v in VM_IDS if v[0] != leader[0] and v[-1] == "2")
        started = loop.time()
        await put_until_answered(deployment, entry, number)
        seconds.append(loop.time() - started)
        await deployment.start_vm(leader)
    await deployment.stop()
    return sorted(seconds)


async def put_until_answered(
    deployment: Deployment, vm_id: str, number: int
) -> None:
    """Send a change again under its id until it is answered."""
    while True:
        try:
            await deployment.put(
                vm_id, "region", f"r{number}", {}, change_id=f"c{number}"
            )
        except (ChangeOutcomeUnknown, ChangeNotAccepted):
            continue
        return


def main() -> int:
    """Print the spread."""
    logger.remove()
    crashes = int(docopt(__doc__)["--crashes"])
    seconds = run_virtual(measure(crashes))
    print(
        f"{crashes} crashes of the leader: a change sent at once is answered "
        f"after p50 {seconds[len(seconds) // 2]:.2f} s, "
        f"p90 {seconds[len(seconds) * 9 // 10]:.2f} s, "
        f"at most {seconds[-1]:.2f} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
