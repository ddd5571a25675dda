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
_TABLE_PATTERN = r"(<!-- {0} -->\n).*?(<!-- end -->)"
_SECONDS_PER_DAY = 86400
# The largest data centre relative to the mean: capacities of regions differ
# by a factor of ten, from a third of the mean to three times the mean.
BUSY_FACTOR = 3


@dataclass(frozen=True, kw_only=True)
class Cost:
    """The control plane overhead of a node in one role."""

    role: str
    core_percent: float
    megabytes: float
    bytes_per_second: float


def compute_costs(slopes: dict[str, Any]) -> list[Cost]:
    """Return the overhead of each role at the projected size."""
    size = slopes["size"]
    mean = size["endpoints"] / size["data_centres"]
    changes_per_second = size["changes_per_day"] / _SECONDS_PER_DAY
    return [
        _serving_cost(slopes, "serving VM", mean),
        _serving_cost(
            slopes,
            f"serving VM, {BUSY_FACTOR} times the endpoints",
            BUSY_FACTOR * mean,
        ),
        _relay_cost(slopes, mean, changes_per_second),
        _control_cost(slopes, changes_per_second, leads=False),
        _control_cost(slopes, changes_per_second, leads=True),
    ]


def _serving_cost(slopes: dict[str, Any], role: str, endpoints: float) -> Cost:
    base, membership = slopes["data_centre"], slopes["membership"]
    size, memory = slopes["size"], slopes["memory"]
    extra_endpoints = endpoints - membership["endpoints_measured"]
    other_data_centres = size["data_centres"] - 1
    cache_megabytes = membership["cache_megabytes_160_endpoints"]
    cache_megabytes *= endpoints / membership["endpoints_measured"]
    event_megabytes = memory["events"] * memory["event_bytes"] / 1e6
    return Cost(
        role=role,
        core_percent=base["core_percent"]
        + extra_endpoints * membership["cpu_ms_per_endpoint"] / 10,
        megabytes=base["megabytes"]
        + extra_endpoints * membership["kilobytes_per_endpoint"] / 1000
        + cache_megabytes
        + event_megabytes
        + slopes["configuration"]["megabytes"],
        bytes_per_second=base["bytes_per_second"]
        + extra_endpoints * membership["bytes_per_endpoint"]
        + other_data_centres * membership["bytes_per_data_centre"],
    )


def _relay_cost(
    slopes: dict[str, Any], endpoints: float, changes_per_second: float
) -> Cost:
    serving = _serving_cost(slopes, "relay", endpoints)
    configuration = slopes["configuration"]
    extra = (
        configuration["relay_idle_bytes"] - configuration["member_idle_bytes"]
    )
    extra += changes_per_second * configuration["relay_change_bytes"]
    return Cost(
        role="relay of a data centre",
        core_percent=serving.core_percent,
        megabytes=serving.megabytes,
        bytes_per_second=serving.bytes_per_second + extra,
    )


def _control_cost(
    slopes: dict[str, Any], changes_per_second: float, *, leads: bool
) -> Cost:
    """Return the cost of a control VM that serves no requests."""
    base, configuration = slopes["data_centre"], slopes["configuration"]
    name = "leader" if leads else "control"
    idle_bytes = configuration[f"{name}_idle_bytes"]
    bytes_per_change = configuration[f"{name}_change_bytes"]
    core_key = "core_percent_leader" if leads else "core_percent"
    return Cost(
        role=f"control VM set aside, {'leading' if leads else 'following'}",
        core_percent=base[core_key],
        megabytes=base["megabytes"] + configuration["megabytes"],
        bytes_per_second=idle_bytes + changes_per_second * bytes_per_change,
    )


def format_costs(slopes: dict[str, Any]) -> str:
    """Return the table of roles, with figures over budget in bold."""
    budget = slopes["budget"]
    rows = [
        "| role | core | memory | control traffic sent |",
        "| --- | --- | --- | --- |",
        f"| *budget* | {budget['core_percent']}% | {budget['megabytes']} MB "
        f"| {budget['bytes_per_second'] / 1000:.1f} KB/s |",
    ]
    for cost in compute_costs(slopes):
        core = _format_figure(
            cost.core_percent, budget["core_percent"], "{:.1f}%"
        )
        memory = _format_figure(
            cost.megabytes, budget["megabytes"], "{:.0f} MB"
        )
        traffic = _format_figure(
            cost.bytes_per_second / 1000,
            budget["bytes_per_second"] / 1000,
            "{:.1f} KB/s",
        )
        rows.append(f"| {cost.role} | {core} | {memory} | {traffic} |")
    return "\n".join(rows) + "\n"


def format_data_path(slopes: dict[str, Any]) -> str:
    """Return the table of the load on the data path of a serving VM."""
    size, requests = slopes["size"], slopes["requests"]
    vms = size["vms"] - slopes["budget"]["set_aside_vms"]
    arriving = size["requests_per_second"] / vms
    tokens = size["tokens_per_second"] / vms
    tokens_per_answer = size["tokens_per_second"] / size["requests_per_second"]
    answer_seconds = tokens_per_answer * 0.047
    for_requests = arriving * requests["cpu_ms_per_request"] / 10
    for_tokens = tokens * requests["cpu_us_per_token"] / 10_000
    open_streams = arriving * answer_seconds
    memory = open_streams * slopes["memory"]["stream_kilobytes"] / 1000
    return "\n".join(
        [
            "| the data path, a serving VM | figure |",
            "| --- | --- |",
            f"| requests a second | {arriving:.0f} |",
            f"| tokens a second | {tokens:.0f} |",
            f"| streams open at 47 ms a token | {open_streams:.0f} |",
            f"| core for requests | {for_requests:.1f}% |",
            f"| core for tokens | {for_tokens:.0f}% |",
            f"| memory of open streams | {memory:.0f} MB |",
            "",
        ]
    )


def _format_figure(value: float, limit: float, template: str) -> str:
    text = template.format(value)
    return f"**{text}**" if value > limit else text


def render(page: str, slopes: dict[str, Any]) -> str:
    """Return the page with its tables recalculated."""
    tables = {"roles": format_costs(slopes), "data": format_data_path(slopes)}
    for name, table in tables.items():
        pattern = re.compile(_TABLE_PATTERN.format(name), re.S)
        page = pattern.sub(rf"\g<1>{table}\g<2>", page)
    return page


def main() -> int:
    """Rewrite or check the page.

    :returns: 1 if the checked page is out of date
    """
    arguments = docopt(__doc__)
    slopes = tomllib.loads(SLOPES.read_text())
    page = PAGE.read_text()
    rendered = render(page, slopes)
    if arguments["--check"]:
        return 0 if rendered == page else 1
    PAGE.write_text(rendered)
    print(format_costs(slopes))
    print(format_data_path(slopes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
