"""Compare the policy with baselines on the two users' mixes.

``experiment passed`` plays the policy of requests that are passed through,
which has a table and options of its own; the rest is of the own interface.

Usage:
  experiment passed [...]
  experiment [--user NAME] [--scenario NAME] [--seeds N] [--only POLICY]
             [--set CHANGE]... [--plot FILE]
  experiment -h | --help

Everything runs under virtual time: the same seed gives the same figures.
Columns: requests sent, share answered whole, cost in engine seconds a
request, seconds to the first token (ft) and to the end of the answers of
the model service, share run in another region (away), requests run where
residency forbids (out), worth completed, worth of
the top class completed, refusals by verdict and code.

Options:
  --user NAME      zoldsav or coulee; else both.
  --scenario NAME  steady, peak, loss, fast_errors or overload; else all.
  --seeds N        Run with seeds 1 to N, summed up together [default: 1].
  --only POLICY    Run only the policy of that name.
  --set CHANGE     A policy setting as key=value; runs the product only.
  --plot FILE      Where the plot goes [default: out/experiment.png].
  -h --help        Show this text.

Examples:
  python3 run.py experiment
  python3 run.py experiment --scenario peak --set max_wait_seconds=2
"""

import concurrent.futures
import json
import pathlib
import sys
from typing import Any

from docopt import docopt

from scripts.experiment.measure import Result
from scripts.experiment.measure import run_policy
from scripts.experiment.passed import __main__ as passed
from scripts.experiment.policies import BASELINES
from scripts.experiment.policies import Policy
from scripts.experiment.policies import product
from scripts.experiment.report import draw_plot
from scripts.experiment.report import format_table
from scripts.experiment.scenarios import SCENARIOS
from scripts.experiment.workload import USERS

# Few, as the machine may be shared with other work.
PROCESSES = 2


def main() -> int:
    """Run the experiment.

    :returns: the exit code
    """
    if sys.argv[1:2] == ["passed"]:
        return passed.main(sys.argv[1:])
    arguments = docopt(__doc__)
    users = [arguments["--user"]] if arguments["--user"] else list(USERS)
    chosen = arguments["--scenario"]
    scenarios = [chosen] if chosen else list(SCENARIOS)
    policies = _choose_policies(arguments)
    seeds = range(1, int(arguments["--seeds"]) + 1)
    jobs = [
        (user, scenario, policy, seeds)
        for user in users
        for scenario in scenarios
        for policy in policies
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_run, jobs))
    print(format_table(results))
    draw_plot(results, pathlib.Path(arguments["--plot"]))
    wall = sum(result.wall_seconds for result in results)
    print(f"\n{len(results)} runs, {wall:.0f} s of processor time")
    return 0


def _choose_policies(arguments: dict[str, Any]) -> list[Policy]:
    if arguments["--set"]:
        changes = dict(c.split("=", 1) for c in arguments["--set"])
        return [
            product(
                ",".join(arguments["--set"])[-16:],
                **{key: _parse(value) for key, value in changes.items()},
            )
        ]
    policies = [*BASELINES, product()]
    if arguments["--only"]:
        policies = [p for p in policies if p.name == arguments["--only"]]
    return policies


def _parse(value: str) -> Any:
    try:
        return json.loads(value)
    except json.JSONDecodeError:
        return value


def _run(job: tuple[str, str, Policy, range]) -> Result:
    user, scenario, policy, seeds = job
    return run_policy(USERS[user], SCENARIOS[scenario], policy, seeds)


if __name__ == "__main__":
    sys.exit(main())
