"""Compare the policy of passed requests with baselines and with parts off.

Usage:
  experiment passed [--day NAME] [--mix NAME] [--shape NAME] [--only NAME]...
                    [--seeds N] [--jobs N] [--without]
  experiment passed -h | --help

The same seed gives the same figures. Columns: share of the worth earned, of
the two worst windows, of the worst kind and of the worst team, of requests
in time, late, refused, failed, refused a second time, run in another region,
of the tokens read that some engine held, and the error of the expected first
part in seconds.

Options:
  --day NAME    quiet, peaks, 'burst and lost engines', 'full stop',
                'steep peaks', 'burst of the least urgent' or 'flooding
                teams'; all.
  --mix NAME    'long prompts', 'short prompts', 'long outputs' or 'short and
                urgent'; all.
  --shape NAME  base, 'twice the speed', 'half the speed', 'little memory',
                'few slots', wide, uneven or fast; all.
  --only NAME   Just these policies, of those in the table.
  --without     The policy without each mechanism as well.
  --seeds N     Seeds 0 to N - 1, averaged [default: 1].
  --jobs N      Days side by side [default: 4].
  -h --help     Show this text.
"""

import dataclasses
import statistics
import sys
from typing import Any

from docopt import docopt

from scripts.experiment.passed.cases import Case
from scripts.experiment.passed.cases import list_policies
from scripts.experiment.passed.cases import run_cases
from scripts.experiment.passed.loads import DAYS
from scripts.experiment.passed.shapes import MIXES
from scripts.experiment.passed.shapes import SHAPES
from scripts.experiment.passed.simulation import Result


def average(results: list[Result]) -> Result:
    """Return the mean of each figure."""
    means: dict[str, Any] = {
        field.name: statistics.fmean(
            getattr(result, field.name) for result in results
        )
        for field in dataclasses.fields(Result)
    }
    means["requests"] = int(means["requests"])
    return Result(**means)


def format_table(results_by_policy: dict[str, list[Result]]) -> str:
    """Return a table with a row for each policy."""
    fields = dataclasses.fields(Result)
    names = [field.name.replace("_", " ") for field in fields]
    lines = [
        f"| policy | {' | '.join(names)} |",
        f"| --- |{' --- |' * len(names)}",
    ]
    for policy, results in results_by_policy.items():
        mean = average(results)
        values = [
            f"{value:.3f}" if isinstance(value, float) else str(value)
            for value in dataclasses.astuple(mean)
        ]
        lines.append(f"| {policy} | {' | '.join(values)} |")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run the experiment.

    :returns: the exit code
    """
    arguments = docopt(__doc__, argv)
    policies = list(list_policies(without=arguments["--without"]))
    policies = arguments["--only"] or policies
    days = _choose(arguments["--day"], DAYS)
    mixes = _choose(arguments["--mix"], MIXES)
    shapes = _choose(arguments["--shape"], SHAPES)
    cases = [
        Case(day=day, mix=mix, shape=shape, policy=policy, seed=seed)
        for day in days
        for mix in mixes
        for shape in shapes
        for policy in policies
        for seed in range(int(arguments["--seeds"]))
    ]
    result_by_case = run_cases(cases, int(arguments["--jobs"]))
    for day in days:
        for mix in mixes:
            for shape in shapes:
                place = (day, mix, shape)
                by_policy: dict[str, list[Result]] = {}
                for case, result in result_by_case.items():
                    if (case.day, case.mix, case.shape) == place:
                        by_policy.setdefault(case.policy, []).append(result)
                print(f"\n{day}, {mix}, {shape}\n")
                print(format_table(by_policy))
    return 0


def _choose(name: str | None, known: dict[str, Any]) -> list[str]:
    return [name] if name else list(known)


if __name__ == "__main__":
    sys.exit(main(["passed", *sys.argv[1:]]))
