"""Run histories with faults under virtual time and check them.

Usage:
  histories [--from N] [--to N] [--seconds S]
  histories --seed N [--plan JSON]

Options:
  --from N     The first seed [default: 1].
  --to N       The last seed [default: 200].
  --seconds S  Stop after so many seconds [default: 600].
  --seed N     Run one seed and print what ended how.
  --plan JSON  The faults of that seed, as a failed test prints them.

A seed gives the faults as well as the callers. Each seed that violates one
of the nine conditions is printed with the command that replays it.
"""

import collections
import random
import sys
import time

from docopt import docopt
from loguru import logger

from burdockdrum.histories import check_all
from burdockdrum.histories import History
from burdockdrum.testing import run_virtual
from tests.histories.faults import decode_plan
from tests.histories.faults import draw_plan
from tests.histories.faults import Planned
from tests.histories.world import REGIONS
from tests.histories.world import World


def run_seed(seed: int, plan: list[Planned]) -> History:
    """Run one history."""
    return run_virtual(World(seed=seed, plan=plan).run())


def print_violations(history: History) -> bool:
    """Print the violated conditions; return whether there are any."""
    violations = check_all(history)
    for name, lines in violations.items():
        print(f"  VIOLATED {name}: {len(lines)}, such as {lines[0]}")
    return bool(violations)


def run_one(seed: int, plan_text: str | None) -> int:
    """Run one seed and print the results of its requests.

    :returns: 1 if a condition was violated
    """
    plan = (
        decode_plan(plan_text) if plan_text else draw_plan(_rng(seed), REGIONS)
    )
    for planned in plan:
        print(
            f"  {planned.start:5.1f} s for {planned.seconds} s: "
            f"{planned.fault}"
        )
    history = run_seed(seed, plan)
    counts = collections.Counter(
        (ended.ending.value, ended.code, ended.verdict)
        for ended in history.ended
    )
    for ending, count in counts.most_common():
        print(f"  {count:4} {ending}")
    return 1 if print_violations(history) else 0


def run_many(first: int, last: int, seconds: float) -> int:
    """Run a range of seeds within a time limit.

    :returns: 1 if a condition was violated
    """
    deadline = time.monotonic() + seconds
    bad = completed = 0
    for seed in range(first, last + 1):
        if time.monotonic() > deadline:
            break
        completed += 1
        if print_violations(run_seed(seed, draw_plan(_rng(seed), REGIONS))):
            bad += 1
            print(f"  replay: python -m scripts.histories --seed {seed}")
    print(f"{completed} histories from seed {first}, {bad} with a violation")
    return 1 if bad else 0


def _rng(seed: int) -> random.Random:
    return random.Random(f"plan {seed}")


def main() -> int:
    """Run the program.

    :returns: the exit code
    """
    arguments = docopt(__doc__)
    logger.remove()
    if arguments["--seed"]:
        return run_one(int(arguments["--seed"]), arguments["--plan"])
    return run_many(
        int(arguments["--from"]),
        int(arguments["--to"]),
        float(arguments["--seconds"]),
    )


if __name__ == "__main__":
    sys.exit(main())
