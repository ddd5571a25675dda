"""Switch the mechanisms of the policy off, one at a time, and compare.

Usage:
  ablation --list
  ablation [--only NAME]... [--seeds N] [--jobs N]
  ablation --bench PROGRAM --site FILE --days NAMES [--only NAME]...
           [--seeds N] [--jobs N] [--folder DIR]
  ablation -h | --help

Without a bench the loads of the experiment are played in virtual time. With
one, days are played on copies of the tree as it is committed, and the entries
of its journal are taken into this one. The table goes to standard output.

Options:
  --list           Name the mechanisms, one a line.
  --only NAME      Switch off just these.
  --seeds N        Play seeds 0 to N - 1 [default: 2].
  --bench PROGRAM  The bench's program.
  --site FILE      The deployment that it plays.
  --days NAMES     Its days, with commas between.
  --jobs N         Days side by side [default: 4].
  --folder DIR     Where the copies go [default: out/ablation].
  -h --help        Show this text.
"""

import pathlib
import sys
from typing import Any

from docopt import docopt

from scripts.ablation.bench_runs import Bench
from scripts.ablation.bench_runs import BenchRun
from scripts.ablation.bench_runs import run_all
from scripts.ablation.report import format_rows
from scripts.ablation.variants import list_mechanisms
from scripts.ablation.variants import list_variants
from scripts.ablation.variants import Variant
from scripts.experiment.passed.cases import BASE_SHAPE
from scripts.experiment.passed.cases import Case
from scripts.experiment.passed.cases import run_cases
from scripts.experiment.passed.loads import DAYS
from scripts.experiment.passed.shapes import MIXES


def main() -> int:
    """Run the ablation.

    :returns: the exit code
    """
    arguments = docopt(__doc__)
    if arguments["--list"]:
        print("\n".join(list_mechanisms()))
        return 0
    try:
        variants = list_variants(arguments["--only"])
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    seeds = range(int(arguments["--seeds"]))
    if arguments["--bench"]:
        print(_run_bench(arguments, variants, seeds))
    else:
        print(_run_experiment(variants, seeds, int(arguments["--jobs"])))
    return 0


def _run_experiment(variants: list[Variant], seeds: range, jobs: int) -> str:
    cases = [
        Case(
            day=day, mix=mix, shape=BASE_SHAPE, policy=variant.name, seed=seed
        )
        for variant in variants
        for day in DAYS
        for mix in MIXES
        for seed in seeds
    ]
    worth_by_case_by_name: dict[str, dict[object, float | None]] = {}
    for case, result in run_cases(cases, jobs).items():
        by_case = worth_by_case_by_name.setdefault(case.policy, {})
        by_case[case.day, case.mix, case.seed] = result.worth
    return format_rows(worth_by_case_by_name)


def _run_bench(
    arguments: dict[str, Any], variants: list[Variant], seeds: range
) -> str:
    bench = Bench(
        program=pathlib.Path(arguments["--bench"]).resolve(),
        site=pathlib.Path(arguments["--site"]).resolve(),
        folder=pathlib.Path(arguments["--folder"]).resolve(),
    )
    for variant in variants:
        bench.prepare(variant)
    runs = [
        BenchRun(variant=variant, day=day, seed=seed)
        for seed in seeds
        for day in arguments["--days"].split(",")
        for variant in variants
    ]
    worth_by_run = run_all(bench, runs, int(arguments["--jobs"]))
    for variant in variants:
        bench.collect_journal(variant)
    worth_by_case_by_name: dict[str, dict[object, float | None]] = {}
    for bench_run, worth in worth_by_run.items():
        by_case = worth_by_case_by_name.setdefault(bench_run.variant.name, {})
        by_case[bench_run.day, bench_run.seed] = worth
    return format_rows(worth_by_case_by_name)


if __name__ == "__main__":
    sys.exit(main())
