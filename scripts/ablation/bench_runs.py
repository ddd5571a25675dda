"""Runs of an external bench on copies of the repository, one per variant.

The bench is a program outside the repository. It is started in the copy with
``run SITE DAY --seed N``; the ``worth`` line of its output is parsed.
"""

import concurrent.futures
from dataclasses import dataclass
import pathlib
import re
import shutil
import subprocess

from scripts.ablation.variants import Variant

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
POLICY_FILE = "deploy/policy.toml"
_WORTH = re.compile(r"^worth (\d\.\d+) = ", re.MULTILINE)


class BenchRunError(Exception):
    """A run of the bench printed no worth."""


@dataclass(frozen=True, kw_only=True)
class BenchRun:
    """One day to run under a variant with a seed."""

    variant: Variant
    day: str
    seed: int


@dataclass(frozen=True, kw_only=True)
class Bench:
    """A bench program, its site file and the folder of the copies."""

    program: pathlib.Path
    site: pathlib.Path
    folder: pathlib.Path

    def prepare(self, variant: Variant) -> None:
        """Clone the repository with the variant's policy."""
        copy = self._copy_path(variant)
        if copy.exists():
            shutil.rmtree(copy)
        copy.parent.mkdir(parents=True, exist_ok=True)
        subprocess.run(
            ["git", "clone", "-q", str(ROOT), str(copy)], check=True
        )
        build_folder = ROOT / "target"
        if build_folder.exists():
            # Avoids fetching the same locked dependencies for each copy.
            shutil.copytree(build_folder, copy / "target")
        (copy / POLICY_FILE).write_text(variant.format_policy())
        subprocess.run(
            [str(self.program), "build"],
            cwd=copy,
            check=True,
            capture_output=True,
        )

    def run(self, bench_run: BenchRun) -> float:
        """Run the bench on one day; return the worth that it printed.

        :raises BenchRunError: if it printed none
        """
        command = [str(self.program), "run", str(self.site), bench_run.day]
        command += ["--seed", str(bench_run.seed)]
        command += ["--why", f"ablation: {bench_run.variant.name}"]
        completed = subprocess.run(
            command,
            cwd=self._copy_path(bench_run.variant),
            capture_output=True,
            text=True,
        )
        match = _WORTH.search(completed.stdout)
        if match is None:
            raise BenchRunError(f"{bench_run}: {completed.stdout[-300:]}")
        return float(match.group(1))

    def collect_journal(self, variant: Variant) -> None:
        """Copy new journal entries of the clone to this repository."""
        copy = self._copy_path(variant) / "journal"
        for path in copy.rglob("*"):
            target = ROOT / "journal" / path.relative_to(copy)
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, target)

    def _copy_path(self, variant: Variant) -> pathlib.Path:
        return self.folder / (variant.disabled or "whole")


def run_all(
    bench: Bench, runs: list[BenchRun], jobs: int
) -> dict[BenchRun, float | None]:
    """Run days in parallel; the worth of a failed run is None."""
    worth_by_run: dict[BenchRun, float | None] = {}

    def run_one(bench_run: BenchRun) -> float | None:
        try:
            return bench.run(bench_run)
        except BenchRunError as error:
            print(f"no worth printed: {error}", flush=True)
            return None

    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for bench_run, worth in zip(
            runs, pool.map(run_one, runs), strict=True
        ):
            worth_by_run[bench_run] = worth
    return worth_by_run
