"""Play a day with each disruption alone, and show what became of it.

Usage:
  disruptions PROGRAM SITE [--jobs N] [--only WORD] [--markdown FILE]

PROGRAM is the bench's program, SITE a site file of the users' kit; neither
is part of this repository.

Options:
  --jobs N         Days to play at a time [default: 4].
  --only WORD      Only the days whose name holds this word [default: ].
  --markdown FILE  Write the table there as well.
"""

import concurrent.futures
from dataclasses import dataclass
import pathlib
import re
import subprocess
import sys
import tempfile

from docopt import docopt

RUN_TIMEOUT_SECONDS = 500
START_SECONDS = 6.0


@dataclass(frozen=True, kw_only=True)
class Disruption:
    """One entry of a day: its kind and its other fields."""

    kind: str
    fields: str = ""
    planned: bool = False
    closing: bool = False

    @property
    def name(self) -> str:
        """Return a name for the day."""
        words = re.findall(r'"([^"]*)"|([\w.]+)', self.fields)
        values = [first or second for first, second in words]
        return " ".join([self.kind, *values])

    def day(self) -> str:
        """Return the day as TOML."""
        fields = f", {self.fields}" if self.fields else ""
        if self.closing:
            entry = f'closing = {{ kind = "{self.kind}", down_s = 1{fields} }}'
            return f"{entry}\nplan = []\nfaults = []\n"
        entry = f'{{ at = {START_SECONDS}, kind = "{self.kind}"{fields} }}'
        empty, filled = "[]", f"[{entry}]"
        plan, faults = (filled, empty) if self.planned else (empty, filled)
        return f"plan = {plan}\nfaults = {faults}\n"


def _faults(kind: str, *variants: str) -> list[Disruption]:
    return [Disruption(kind=kind, fields=fields) for fields in variants]


def _planned(kind: str, *variants: str) -> list[Disruption]:
    return [
        Disruption(kind=kind, fields=fields, planned=True)
        for fields in variants
    ]


DISRUPTIONS: list[Disruption] = [
    *_faults("burst", "x = 2.5, for_s = 8.0"),
    *_faults("shift", "share = 0.6, for_s = 8.0"),
    *_faults("retry_abuse", "share = 0.4, x = 3.0, for_s = 8.0"),
    *_faults("give_up", "share = 0.4, for_s = 8.0"),
    *_faults(
        "srv_crash",
        "share = 0.3",
        'share = 0.3, how = "dark"',
        'share = 0.3, how = "gone"',
    ),
    *_faults(
        "srv_grey",
        *(
            f'share = 0.3, for_s = 8.0, how = "{how}"'
            for how in (
                "errors",
                "shed",
                "busy",
                "hang",
                "reset",
                "mute",
                "slow",
            )
        ),
    ),
    *_faults("srv_slow", "share = 0.3, for_s = 8.0"),
    *_faults("srv_cut", "share = 0.3", 'share = 0.3, how = "fronts"'),
    *_faults("srv_cut", 'share = 0.3, how = "reborn"'),
    *_faults("answer_lost", "share = 0.6, x = 0.1", 'x = 0.1, how = "reset"'),
    *_faults(
        "garble",
        "x = 0.05, for_s = 8.0",
        'x = 0.05, for_s = 8.0, how = "extra"',
        'x = 0.05, for_s = 8.0, how = "unframed"',
        'x = 0.05, for_s = 8.0, how = "early"',
    ),
    *_faults("cold_return", "for_s = 3.0"),
    *_planned("release", "share = 0.5, gap_s = 0.8"),
    *_planned("scale_in", "share = 0.3"),
    *_faults("scale_in", 'share = 0.3, how = "spot", x = 2.0'),
    *_planned("scale_out", "share = 0.3"),
    *_faults("replace_with_reuse", "share = 0.3", 'how = "drain"'),
    *_faults(
        "node_kill",
        "share = 0.3",
        'share = 0.3, how = "power", for_s = 4.0',
        'on = "core", count = 1, how = "leader"',
    ),
    *_faults("node_freeze", "share = 0.3, for_s = 4.0"),
    *_faults("node_freeze", 'on = "core", count = 1, for_s = 4.0'),
    *_faults("node_slow", "share = 0.2, for_s = 6.0"),
    *_faults("node_cut", "share = 0.3", 'share = 0.3, how = "all"'),
    *_planned(
        "roll_term",
        "share = 1.0, gap_s = 1.0",
        'share = 1.0, gap_s = 1.0, how = "busy"',
        'on = "core", share = 1.0, gap_s = 4.0',
    ),
    *_faults("herd_kill", "share = 0.6", 'share = 0.6, how = "power"'),
    *_faults("herd_kill", 'on = "core", how = "off", for_s = 1.0'),
    *_faults("after_ack_wipe", "for_s = 3.0"),
    *_faults("after_ack_kill", "for_s = 3.0"),
    *_faults("disk_stall", "for_s = 4.0"),
    *_faults("disk_slow", "for_s = 6.0"),
    *_faults("disk_full", "for_s = 6.0"),
    *_faults("clock_step", "x = 4000", 'x = 4000, how = "back"'),
    *_faults("reset_conns", "share = 0.5, x = 0.8"),
    *_faults("bridge_cut", "for_s = 6.0"),
    *_faults(
        "core_cut",
        "count = 1, for_s = 6.0",
        'count = 1, for_s = 6.0, how = "leader race"',
        'for_s = 6.0, how = "split"',
        'for_s = 6.0, how = "all"',
        'for_s = 6.0, how = "one_way"',
        'for_s = 6.0, how = "behind"',
    ),
    *_faults("zone_loss", "for_s = 5.0"),
    *_faults("region_loss", "for_s = 5.0"),
    *_faults("zone_cut", "for_s = 6.0"),
    *_faults(
        "region_cut",
        "for_s = 6.0",
        'for_s = 6.0, how = "one_way"',
        'for_s = 6.0, how = "all"',
    ),
    *_faults("lossy", "x = 0.05, for_s = 8.0"),
    *_faults("ack_lost", "for_s = 10.0"),
    *_faults("replace_core", "x = 1.0"),
    *_planned("replace_core", 'how = "planned"'),
    *_planned("seed_turnover", ""),
    *_planned("hup", "share = 1.0"),
    *_planned(
        "config_change",
        *(f'how = "{how}"' for how in ("route", "weights", "timeout", "idle")),
    ),
    *_planned("config_race", "count = 3, gap_s = 0.5"),
    *_planned("bad_config", "count = 5, gap_s = 0.4"),
    *_planned("config_storm", ""),
    *_planned("big_config", ""),
    *_planned("evacuate", "for_s = 8.0", 'for_s = 8.0, how = "warm"'),
    *(
        Disruption(kind=kind, closing=True)
        for kind in ("kill_all", "power_off_all", "wipe_after_ack")
    ),
]


@dataclass(frozen=True, kw_only=True)
class DayResult:
    """The bench's result of a day."""

    disruption: Disruption
    worth: str = ""
    served: str = ""
    violations: str = ""
    problem: str = ""

    def row(self) -> str:
        """Return a row of the table."""
        rules = self.violations or self.problem or "kept"
        cells = [self.disruption.name, self.served, self.worth, rules]
        return "| " + " | ".join(cells) + " |"


def run_day(program: str, site: str, disruption: Disruption) -> DayResult:
    """Run the bench on the day of one disruption."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(f'name = "alone"\nseed = 7\n{disruption.day()}')
        file.flush()
        command = [program, "run", site, file.name]
        command += ["--why", f"alone: {disruption.name}"]
        try:
            completed = subprocess.run(
                command,
                capture_output=True,
                text=True,
                timeout=RUN_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return DayResult(disruption=disruption, problem="gave no result")
    return _parse_result(disruption, completed.stdout + completed.stderr)


def _parse_result(disruption: Disruption, text: str) -> DayResult:
    match = re.search(
        r"^alone\s+\S+\s+\S+\s+(\S+)\s+(\S+)\s+.*$", text, re.MULTILINE
    )
    if match is None:
        last = (text.strip().splitlines() or [""])[-1]
        return DayResult(disruption=disruption, problem=f"not played: {last}")
    violations = re.search(r"BROKEN: (.*?)(\(else|$)", match.group(0))
    return DayResult(
        disruption=disruption,
        worth=match.group(1),
        served=match.group(2),
        violations=f"broken: {violations.group(1).strip()}"
        if violations
        else "",
    )


def main() -> int:
    """Run all selected days and print the table.

    :returns: 1 if a rule was violated
    """
    arguments = docopt(__doc__)
    chosen = [d for d in DISRUPTIONS if arguments["--only"] in d.name]
    lines = ["| alone | served | worth | rules |", "| --- | --- | --- | --- |"]
    print("\n".join(lines))
    violations = 0
    jobs = int(arguments["--jobs"])
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = pool.map(
            lambda d: run_day(arguments["PROGRAM"], arguments["SITE"], d),
            chosen,
        )
        for result in results:
            violations += bool(result.violations)
            lines.append(result.row())
            print(lines[-1], flush=True)
    if arguments["--markdown"]:
        path = pathlib.Path(arguments["--markdown"])
        path.write_text("\n".join(lines) + "\n")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
