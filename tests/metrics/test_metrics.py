"""Tests of the exposed metrics."""

import unittest

from burdockdrum.metrics import Metrics


class MetricsTest(unittest.TestCase):
    """The metrics in the text format."""

    def test_counter_keeps_labels_apart(self):
        metrics = Metrics()
        counter = metrics.counter("requests_total", "Requests.")
        counter.increment(code="200")
        counter.increment(2, code="503")
        text = metrics.text()
        self.assertIn("# TYPE requests_total counter\n", text)
        self.assertIn('requests_total{code="200"} 1\n', text)
        self.assertIn('requests_total{code="503"} 2\n', text)

    def test_label_values_are_escaped(self):
        metrics = Metrics()
        metrics.counter("a_total", "A.").increment(name='x"y\\z\n')
        self.assertIn('a_total{name="x\\"y\\\\z\\n"} 1\n', metrics.text())

    def test_histogram_shows_quantiles_in_seconds(self):
        metrics = Metrics()
        histogram = metrics.histogram("latency_seconds", "Latency.")
        for milliseconds in range(1, 101):
            histogram.record(milliseconds / 1000)
        self.assertAlmostEqual(0.05, histogram.percentile(50), places=2)
        self.assertIn("latency_seconds_count 100\n", metrics.text())

    def test_gauge_is_read_on_exposition(self):
        metrics = Metrics()
        values = [1.0]
        metrics.gauge("depth", "Depth.", lambda: values[0])
        values[0] = 7.0
        self.assertIn("depth 7\n", metrics.text())
