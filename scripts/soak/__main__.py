"""Soak a deployment of real processes under random faults.

Usage:
  soak [--seed N] [--seeds N] [--seconds S] [--keep FOLDER]
       [--limits | --signals | --retries | --crashes | --cuts | --versions
       | --regions | --moves | --evacuations | --brittle | --parts | --silent
       | --disks | --cold | --crowds
       | --paused [--kept-ids]]
       [--entries N] [--rate R]

Options:
  --seed N       The first seed [default: 1].
  --seeds N      How many seeds to run [default: 1].
  --seconds S    How long faults come, for each seed [default: 20].
  --keep FOLDER  Keep the logs of seeds that failed there, and print the lines
                 of the requests that failed.
  --limits       Endpoints announce rate limits, to two entries in each region.
  --signals      Endpoints request backoffs, and announce drains and restart.
  --retries      Endpoints fail most requests; only retries are checked.
  --crashes      Some requests crash endpoints; only their runs are checked.
  --cuts         Entries lose their links; first tries there are checked.
  --brittle      Endpoints crash if they reject much; only that is checked.
  --parts        A prompt part crashes endpoints; only that is checked.
  --silent       Endpoints fall silent and go on; only answers are checked.
  --disks        Disks of control VMs refuse writes; the rest is sound.
  --cold         Endpoints begin slow starts; only their requests count.
  --crowds       Endpoints reject and spoil much; runs of what must run once.
  --paused       An entry pauses as a version joins; as --versions.
  --kept-ids     With --paused: endpoints also change under their ids.
  --versions     Endpoints have several versions; only streams are checked.
  --regions      Regions with versions of their own are lost; as --versions.
  --moves        Routes move while entries are killed; as --versions.
  --evacuations  Zones are evacuated and taken back; only that is checked.
  --entries N    With these fourteen: the entries of each region [default: 2].
  --rate R       With --retries: requests per second; at random by default.

Three control VMs and three entries run as processes on loopback addresses.
Signals, restarts, emptied disks, proxies before the endpoints and changes of
the configuration come at random and overlap. Checked all the while: nothing
that must run once runs twice, what was refused as not run has not run, every
answer belongs to its request, what was acknowledged is never read back
older, no endpoint gets more requests than it announced to accept, and none in
a backoff that it requested or after it announced to drain.
Afterwards everything must serve again. With --retries, the retries that
endpoints get are compared with the requests in sliding windows instead.
"""

import asyncio
from collections.abc import Coroutine
import pathlib
import shutil
import sys
from typing import Any

from docopt import docopt

from scripts.soak.brittle import BrittleSoak
from scripts.soak.crashes import CrashSoak
from scripts.soak.crowds import CrowdSoak
from scripts.soak.cuts import CutSoak
from scripts.soak.evacuations import EvacuationSoak
from scripts.soak.moved_routes import MovedRouteSoak
from scripts.soak.parts import PartSoak
from scripts.soak.paused_entries import PausedEntrySoak
from scripts.soak.refusing_disks import DiskSoak
from scripts.soak.regional_versions import RegionalVersionSoak
from scripts.soak.related_logs import list_related
from scripts.soak.retries import RetrySoak
from scripts.soak.retries import run_soak
from scripts.soak.run import Result
from scripts.soak.run import run_seed
from scripts.soak.silence import SilenceSoak
from scripts.soak.slow_starts import SlowStartSoak
from scripts.soak.versions import VersionSoak


def _run(
    seed: int, arguments: dict[str, Any], logs: pathlib.Path | None
) -> Coroutine[Any, Any, Result]:
    seconds = float(arguments["--seconds"])
    entries = int(arguments["--entries"])
    soak: RetrySoak | None = None
    if arguments["--crashes"]:
        soak = CrashSoak(seed, entries=entries)
    elif arguments["--brittle"]:
        soak = BrittleSoak(seed, entries=entries)
    elif arguments["--parts"]:
        soak = PartSoak(seed, entries=entries)
    elif arguments["--silent"]:
        soak = SilenceSoak(seed, entries=entries)
    elif arguments["--cuts"]:
        soak = CutSoak(seed, entries=entries)
    elif arguments["--cold"]:
        soak = SlowStartSoak(seed, entries=entries)
    elif arguments["--crowds"]:
        soak = CrowdSoak(seed, entries=entries)
    elif arguments["--disks"]:
        soak = DiskSoak(seed, entries=entries)
    elif arguments["--evacuations"]:
        soak = EvacuationSoak(seed, entries=entries)
    elif arguments["--moves"]:
        soak = MovedRouteSoak(seed, entries=entries)
    elif arguments["--regions"]:
        soak = RegionalVersionSoak(seed, entries=entries)
    elif arguments["--paused"]:
        soak = PausedEntrySoak(
            seed, entries=entries, keeps_ids=arguments["--kept-ids"]
        )
    elif arguments["--versions"]:
        soak = VersionSoak(seed, entries=entries)
    elif arguments["--retries"]:
        rate = arguments["--rate"]
        soak = RetrySoak(
            seed, entries=entries, rate=float(rate) if rate else None
        )
    if soak is not None:
        return run_soak(soak, seconds=seconds, logs=logs)
    return run_seed(
        seed,
        seconds=seconds,
        logs=logs,
        has_limits=arguments["--limits"],
        has_signals=arguments["--signals"],
    )


def main() -> int:
    """Run the seeds in sequence.

    :returns: 1 if an invariant was violated
    """
    arguments = docopt(__doc__)
    first = int(arguments["--seed"])
    failed = 0
    for seed in range(first, first + int(arguments["--seeds"])):
        logs = pathlib.Path(arguments["--keep"] or "") / f"seed-{seed}"
        result = asyncio.run(
            _run(seed, arguments, logs if arguments["--keep"] else None)
        )
        if not result.violations and arguments["--keep"]:
            shutil.rmtree(logs, ignore_errors=True)
        failed += bool(result.violations)
        print(result.format_result(), flush=True)
        if result.violations and arguments["--keep"]:
            print(*list_related(logs, result.violations), sep="\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
