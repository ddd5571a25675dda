"""Counters, gauges and histograms in the Prometheus text format."""

from burdockdrum.metrics.metrics import BoundCounter
from burdockdrum.metrics.metrics import Counter
from burdockdrum.metrics.metrics import Gauge
from burdockdrum.metrics.metrics import Histogram
from burdockdrum.metrics.metrics import Metrics

__all__ = ["BoundCounter", "Counter", "Gauge", "Histogram", "Metrics"]
