"""A table of variants with the means and errors of their losses."""

from collections.abc import Mapping
import statistics

from scripts.ablation.variants import FULL_POLICY

# Significance threshold of a mean, in standard errors.
_SIGNIFICANCE_FACTOR = 2


def mean_and_error(values: list[float]) -> tuple[float, float]:
    """Return the mean and its standard error."""
    if len(values) < 2:
        return statistics.fmean(values), float("nan")
    error = statistics.stdev(values) / len(values) ** 0.5
    return statistics.fmean(values), error


def format_rows(
    worth_by_case_by_name: Mapping[str, Mapping[object, float | None]],
) -> str:
    """Return the table of worth and of paired losses against the full policy.

    :param worth_by_case_by_name: by variant, then by case; all variants have
        the same cases, None marks a failed run
    """
    full = worth_by_case_by_name[FULL_POLICY]
    lines = [
        "| variant | cases | worth | error | loses | error | |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, by_case in worth_by_case_by_name.items():
        known = [worth for worth in by_case.values() if worth is not None]
        if not known:
            lines.append(f"| {name} | 0 | | | | | |")
            continue
        mean, error = mean_and_error(known)
        row = f"| {name} | {len(known)} | {mean:.4f} | {error:.4f} |"
        losses = [
            before - after
            for case, after in by_case.items()
            if after is not None and (before := full.get(case)) is not None
        ]
        if name == FULL_POLICY or not losses:
            lines.append(f"{row} | | |")
            continue
        mean_loss, loss_error = mean_and_error(losses)
        mark = (
            ""
            if abs(mean_loss) > _SIGNIFICANCE_FACTOR * loss_error
            else "within the spread"
        )
        lines.append(f"{row} {mean_loss:+.4f} | {loss_error:.4f} | {mark} |")
    return "\n".join(lines)
