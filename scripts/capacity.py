"""Work out docs/CAPACITY.md from the slopes that were measured.

Usage: capacity [--check]

Options:
  --check  Say whether the page is what the slopes give; change nothing.

Reads docs/capacity-slopes.toml and rewrites the tables of the page between
its markers.
"""

from dataclasses import dataclass
import pathlib
import re
import sys
import tomllib
from typing import Any

from docopt import docopt

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity-slopes.toml"
PAGE = ROOT / "docs" / "CAPACITY.md"
_MARKED = r"(<!-- {0} -->\n).*?(<!-- end -->)"
_SECONDS_A_DAY = 86400
# The busiest data centre: capacity differs tenfold between regions, so one
# region may have three times the mean and another a third of it.
BUSY_FACTOR = 3


@dataclass(frozen=True, kw_only=True)
class Cost:
    """What control costs a node of one role."""

    role: str
    core_percent: float
    megabytes: float
    bytes_per_second: float


def compute_costs(slopes: dict[str, Any]) -> list[Cost]:
    """Return what each role costs at the size of two years."""
    size = slopes["size"]
    mean = size["endpoints"] / size["data_centres"]
    changes = size["changes_per_day"] / _SECONDS_A_DAY
    return [
        _serving(slopes, "serving VM", mean),
        _serving(
            slopes,
            f"serving VM, {BUSY_FACTOR} times the endpoints",
            BUSY_FACTOR * mean,
        ),
        _relay(slopes, mean, changes),
        _control(slopes, changes, leads=False),
        _control(slopes, changes, leads=True),
    ]


def _serving(slopes: dict[str, Any], role: str, endpoints: float) -> Cost:
    base, grown = slopes["data_centre"], slopes["membership"]
    size, memory = slopes["size"], slopes["memory"]
    more = endpoints - grown["endpoints_measured"]
    others = size["data_centres"] - 1
    caches = grown["cache_megabytes_160_endpoints"]
    caches *= endpoints / grown["endpoints_measured"]
    events = memory["events"] * memory["event_bytes"] / 1e6
    return Cost(
        role=role,
        core_percent=base["core_percent"]
        + more * grown["cpu_ms_per_endpoint"] / 10,
        megabytes=base["megabytes"]
        + more * grown["kilobytes_per_endpoint"] / 1000
        + caches
        + events
        + slopes["configuration"]["megabytes"],
        bytes_per_second=base["bytes_per_second"]
        + more * grown["bytes_per_endpoint"]
        + others * grown["bytes_per_data_centre"],
    )


def _relay(slopes: dict[str, Any], endpoints: float, changes: float) -> Cost:
    serving = _serving(slopes, "relay", endpoints)
    moved = slopes["configuration"]
    extra = moved["relay_idle_bytes"] - moved["member_idle_bytes"]
    extra += changes * moved["relay_change_bytes"]
    return Cost(
        role="relay of a data centre",
        core_percent=serving.core_percent,
        megabytes=serving.megabytes,
        bytes_per_second=serving.bytes_per_second + extra,
    )


def _control(slopes: dict[str, Any], changes: float, *, leads: bool) -> Cost:
    """Return the cost of a control VM that is set aside from serving."""
    base, moved = slopes["data_centre"], slopes["configuration"]
    name = "leader" if leads else "control"
    idle = moved[f"{name}_idle_bytes"]
    a_change = moved[f"{name}_change_bytes"]
    which = "core_percent_leader" if leads else "core_percent"
    return Cost(
        role=f"control VM set aside, {'leading' if leads else 'following'}",
        core_percent=base[which],
        megabytes=base["megabytes"] + moved["megabytes"],
        bytes_per_second=idle + changes * a_change,
    )


def show_costs(slopes: dict[str, Any]) -> str:
    """Return the table of roles, with what does not fit marked."""
    budget = slopes["budget"]
    rows = [
        "| role | core | memory | control traffic sent |",
        "| --- | --- | --- | --- |",
        f"| *budget* | {budget['core_percent']}% | {budget['megabytes']} MB "
        f"| {budget['bytes_per_second'] / 1000:.1f} KB/s |",
    ]
    for cost in compute_costs(slopes):
        core = _mark(cost.core_percent, budget["core_percent"], "{:.1f}%")
        memory = _mark(cost.megabytes, budget["megabytes"], "{:.0f} MB")
        traffic = _mark(
            cost.bytes_per_second / 1000,
            budget["bytes_per_second"] / 1000,
            "{:.1f} KB/s",
        )
        rows.append(f"| {cost.role} | {core} | {memory} | {traffic} |")
    return "\n".join(rows) + "\n"


def show_data_path(slopes: dict[str, Any]) -> str:
    """Return the table of the data path over the serving VMs."""
    size, requests = slopes["size"], slopes["requests"]
    vms = size["vms"] - slopes["budget"]["set_aside_vms"]
    arriving = size["requests_per_second"] / vms
    tokens = size["tokens_per_second"] / vms
    answer_tokens = size["tokens_per_second"] / size["requests_per_second"]
    seconds = answer_tokens * 0.047
    for_requests = arriving * requests["cpu_ms_per_request"] / 10
    for_tokens = tokens * requests["cpu_us_per_token"] / 10_000
    streams = arriving * seconds
    memory = streams * slopes["memory"]["stream_kilobytes"] / 1000
    return "\n".join(
        [
            "| the data path, a serving VM | figure |",
            "| --- | --- |",
            f"| requests a second | {arriving:.0f} |",
            f"| tokens a second | {tokens:.0f} |",
            f"| streams open at 47 ms a token | {streams:.0f} |",
            f"| core for requests | {for_requests:.1f}% |",
            f"| core for tokens | {for_tokens:.0f}% |",
            f"| memory of open streams | {memory:.0f} MB |",
            "",
        ]
    )


def _mark(value: float, limit: float, form: str) -> str:
    shown = form.format(value)
    return f"**{shown}**" if value > limit else shown


def render(page: str, slopes: dict[str, Any]) -> str:
    """Return the page with its tables worked out anew."""
    tables = {"roles": show_costs(slopes), "data": show_data_path(slopes)}
    for name, table in tables.items():
        pattern = re.compile(_MARKED.format(name), re.S)
        page = pattern.sub(rf"\g<1>{table}\g<2>", page)
    return page


def main() -> int:
    """Rewrite or check the page.

    :returns: 1 if the page was checked and is not what the slopes give
    """
    arguments = docopt(__doc__)
    slopes = tomllib.loads(SLOPES.read_text())
    page = PAGE.read_text()
    rendered = render(page, slopes)
    if arguments["--check"]:
        return 0 if rendered == page else 1
    PAGE.write_text(rendered)
    print(show_costs(slopes))
    print(show_data_path(slopes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
