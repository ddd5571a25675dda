"""Format results as a table and as a plot."""

import pathlib

from scripts.experiment.measure import Result
from scripts.experiment.scenarios import SCENARIOS

_COLUMNS = (
    ("policy", 16),
    ("sent", 6),
    ("whole", 7),
    ("cost", 6),
    ("ft p50", 8),
    ("ft p95", 8),
    ("ft p99", 8),
    ("end p50", 8),
    ("end p95", 8),
    ("end p99", 8),
    ("away", 7),
    ("out", 4),
    ("worth", 7),
    ("top", 7),
)


def format_table(results: list[Result]) -> str:
    """Return a table of the results for each user and scenario."""
    lines = []
    parts = {(r.user, r.scenario): None for r in results}
    for user, scenario in parts:
        title = SCENARIOS[scenario].title
        lines.append(f"\n{user}: {title}")
        headings = [f"{name:>{width}}" for name, width in _COLUMNS]
        lines.append("".join(headings) + "  refused")
        lines.extend(
            _format_row(r)
            for r in results
            if (r.user, r.scenario) == (user, scenario)
        )
    return "\n".join(lines)


def draw_plot(results: list[Result], path: pathlib.Path) -> None:
    """Draw the p99 of the times to the first token and to the end."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    users = list(dict.fromkeys(r.user for r in results))
    scenarios = list(dict.fromkeys(r.scenario for r in results))
    policies = list(dict.fromkeys(r.policy for r in results))
    figure, axes = plt.subplots(
        2, len(users), figsize=(6 * len(users), 6), squeeze=False
    )
    width = 0.8 / len(policies)
    for column, user in enumerate(users):
        for row, field in enumerate(("first_p99", "end_p99")):
            axis = axes[row][column]
            for index, policy in enumerate(policies):
                heights = [
                    getattr(r, field)
                    for s in scenarios
                    for r in results
                    if (r.user, r.scenario, r.policy) == (user, s, policy)
                ]
                places = [i + index * width for i in range(len(heights))]
                axis.bar(places, heights, width, label=policy)
            ticks = [i + 0.4 for i in range(len(scenarios))]
            axis.set_xticks(ticks, scenarios, fontsize=8)
            axis.set_yscale("log")
            axis.set_title(f"{user}: {field.replace('_', ' ')}, seconds")
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=70)


def _format_row(result: Result) -> str:
    cells = [
        f"{result.policy:>16}",
        f"{result.sent:6d}",
        f"{result.answered:7.1%}",
        f"{result.cost:6.3f}",
        f"{result.first_p50:8.2f}",
        f"{result.first_p95:8.2f}",
        f"{result.first_p99:8.2f}",
        f"{result.end_p50:8.2f}",
        f"{result.end_p95:8.2f}",
        f"{result.end_p99:8.2f}",
        f"{result.elsewhere:7.1%}",
        f"{result.out_of_bounds:4d}",
        f"{result.worth:7.1%}",
        f"{result.top_worth:7.1%}",
    ]
    refused = ", ".join(f"{k}: {v}" for k, v in result.refused.items())
    return "".join(cells) + "  " + refused
