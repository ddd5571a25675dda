"""The metrics of one process.

They are exposed in the Prometheus text format, version 0.0.4. Latencies are
recorded by ``hdrhistogram``, and each histogram is exposed as a summary.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

QUANTILES = (50.0, 95.0, 99.0)
_MICROSECONDS = 1_000_000
_MAX_RECORDED_SECONDS = 3600
_SIGNIFICANT_DIGITS = 2
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})

Labels = tuple[tuple[str, str], ...]


def _label_key(labels: dict[str, str]) -> Labels:
    if len(labels) < 2:
        return tuple(labels.items())
    return tuple(sorted(labels.items()))


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(
        f'{name}="{value.translate(_LABEL_ESCAPES)}"' for name, value in labels
    )
    return "{" + pairs + "}"


class BoundCounter:
    """A counter with one set of labels, for code that often runs."""

    def __init__(
        self, *, values_by_labels: dict[Labels, float], key: Labels
    ) -> None:
        self._values_by_labels = values_by_labels
        self._key = key

    def increment(self, amount: float = 1) -> None:
        """Increase the value by an amount."""
        values = self._values_by_labels
        values[self._key] = values.get(self._key, 0) + amount


class Counter:
    """A value that only increases, kept per set of labels."""

    kind = "counter"

    def __init__(self) -> None:
        self._values_by_labels: dict[Labels, float] = {}

    def increment(self, amount: float = 1, **labels: str) -> None:
        """Increase the value by an amount."""
        key = _label_key(labels)
        value = self._values_by_labels.get(key, 0)
        self._values_by_labels[key] = value + amount

    def bind(self, **labels: str) -> BoundCounter:
        """Return this counter with its labels looked up once."""
        return BoundCounter(
            values_by_labels=self._values_by_labels, key=_label_key(labels)
        )

    def value(self, **labels: str) -> float:
        """Return the current value."""
        return self._values_by_labels.get(_label_key(labels), 0)

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        return [
            f"{name}{_format_labels(labels)} {value:g}"
            for labels, value in self._values_by_labels.items()
        ]


class Gauge:
    """A value that is read whenever the metrics are exposed."""

    kind = "gauge"

    def __init__(self, read: Callable[[], float]) -> None:
        self._read = read

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        return [f"{name} {self._read():g}"]


class GaugesByLabel:
    """Values by one label, read whenever the metrics are exposed."""

    kind = "gauge"

    def __init__(
        self, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._label = label
        self._read = read

    def lines(self, name: str) -> list[str]:
        """Return the lines of the text format."""
        return [
            f"{name}{_format_labels(((self._label, text),))} {value:g}"
            for text, value in self._read().items()
        ]


class Histogram:
    """A distribution of durations in seconds, kept per set of labels."""

    kind = "summary"

    def __init__(self) -> None:
        self._histograms_by_labels: dict[Labels, HdrHistogram] = {}

    def record(self, seconds: float, **labels: str) -> None:
        """Record a duration; a negative one counts as zero."""
        key = _label_key(labels)
        histogram = self._histograms_by_labels.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                1, _MAX_RECORDED_SECONDS * _MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._histograms_by_labels[key] = histogram
        histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    def percentile(self, percent: float, **labels: str) -> float:
        """Return a percentile in seconds, 0 if nothing was recorded."""
        histogram = self._histograms_by_labels.get(_label_key(labels))
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
                labels_text = _format_labels((*labels, quantile))
                lines.append(f"{name}{labels_text} {value / _MICROSECONDS:g}")
            lines.append(
                f"{name}_count{_format_labels(labels)} {histogram.total_count}"
            )
        return lines


class Metrics:
    """The metrics of one process by name."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._helps_by_name: dict[str, str] = {}
        self._metrics_by_name: dict[
            str, Counter | Gauge | GaugesByLabel | Histogram
        ] = {}

    def counter(self, name: str, help_text: str) -> Counter:
        """Return the counter of that name, creating it if needed."""
        return self._get(name, help_text, Counter)

    def histogram(self, name: str, help_text: str) -> Histogram:
        """Return the histogram of that name, creating it if needed."""
        return self._get(name, help_text, Histogram)

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> Gauge:
        """Add a gauge whose value comes from a function."""
        return self._get(name, help_text, lambda: Gauge(read))

    def gauges(
        self,
        name: str,
        help_text: str,
        *,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> GaugesByLabel:
        """Add gauges whose values by a label come from a function."""
        return self._get(name, help_text, lambda: GaugesByLabel(label, read))

    def text(self) -> str:
        """Return all metrics in the text format."""
        lines = []
        for name, metric in sorted(self._metrics_by_name.items()):
            lines.append(f"# HELP {name} {self._helps_by_name[name]}")
            lines.append(f"# TYPE {name} {metric.kind}")
            lines.extend(metric.lines(name))
        return "\n".join(lines) + "\n"

    def _get(self, name: str, help_text: str, factory: Callable) -> Any:
        if name not in self._metrics_by_name:
            self._metrics_by_name[name] = factory()
            self._helps_by_name[name] = help_text
        return self._metrics_by_name[name]
