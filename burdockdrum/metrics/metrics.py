"""The metrics of one process.

``hdrhistogram`` keeps the latencies; the page that monitors read follows
the Prometheus text exposition format, version 0.0.4, with each histogram
shown as a summary.
"""

from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

QUANTILES = (50.0, 95.0, 99.0)
_MICROSECONDS = 1_000_000
_HIGHEST_SECONDS = 3600
_SIGNIFICANT_DIGITS = 2
_QUOTED = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})

Labels = tuple[tuple[str, str], ...]


def _key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _show(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(
        f'{name}="{value.translate(_QUOTED)}"' for name, value in labels
    )
    return "{" + pairs + "}"


class Counter:
    """A number that only grows, one a set of labels."""

    kind = "counter"

    def __init__(self) -> None:
        self._values_by_labels: dict[Labels, float] = {}

    def increment(self, amount: float = 1, **labels: str) -> None:
        """Add an amount."""
        key = _key(labels)
        value = self._values_by_labels.get(key, 0)
        self._values_by_labels[key] = value + amount

    def value(self, **labels: str) -> float:
        """Return the number so far."""
        return self._values_by_labels.get(_key(labels), 0)

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        return [
            f"{name}{_show(labels)} {value:g}"
            for labels, value in self._values_by_labels.items()
        ]


class Gauge:
    """A number that is asked for when the page is read."""

    kind = "gauge"

    def __init__(self, read: Callable[[], float]) -> None:
        self._read = read

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        return [f"{name} {self._read():g}"]


class Histogram:
    """Durations in seconds, one histogram a set of labels."""

    kind = "summary"

    def __init__(self) -> None:
        self._histograms_by_labels: dict[Labels, HdrHistogram] = {}

    def record(self, seconds: float, **labels: str) -> None:
        """Add a duration; negative ones count as zero."""
        key = _key(labels)
        histogram = self._histograms_by_labels.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                1, _HIGHEST_SECONDS * _MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._histograms_by_labels[key] = histogram
        histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    def percentile(self, percent: float, **labels: str) -> float:
        """Return a percentile in seconds; 0 where nothing was recorded."""
        histogram = self._histograms_by_labels.get(_key(labels))
        if histogram is None:
            return 0.0
        value: int = histogram.get_value_at_percentile(percent)
        return value / _MICROSECONDS

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        lines = []
        for labels, histogram in self._histograms_by_labels.items():
            for percent in QUANTILES:
                value = histogram.get_value_at_percentile(percent)
                quantile = ("quantile", f"{percent / 100:g}")
                shown = _show((*labels, quantile))
                lines.append(f"{name}{shown} {value / _MICROSECONDS:g}")
            lines.append(
                f"{name}_count{_show(labels)} {histogram.total_count}"
            )
        return lines


class Metrics:
    """The metrics of one process by name."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._helps_by_name: dict[str, str] = {}
        self._metrics_by_name: dict[str, Counter | Gauge | Histogram] = {}

    def counter(self, name: str, help_text: str) -> Counter:
        """Return the counter of that name, creating it if needed."""
        return self._get(name, help_text, Counter)

    def histogram(self, name: str, help_text: str) -> Histogram:
        """Return the histogram of that name, creating it if needed."""
        return self._get(name, help_text, Histogram)

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> Gauge:
        """Add a gauge that is read with the page."""
        return self._get(name, help_text, lambda: Gauge(read))

    def text(self) -> str:
        """Return the page for monitors."""
        lines = []
        for name, metric in sorted(self._metrics_by_name.items()):
            lines.append(f"# HELP {name} {self._helps_by_name[name]}")
            lines.append(f"# TYPE {name} {metric.kind}")
            lines.extend(metric.lines(name))
        return "\n".join(lines) + "\n"

    def _get(self, name: str, help_text: str, make: Callable) -> Any:
        if name not in self._metrics_by_name:
            self._metrics_by_name[name] = make()
            self._helps_by_name[name] = help_text
        return self._metrics_by_name[name]
