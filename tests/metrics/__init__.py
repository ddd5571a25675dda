"""Tests of burdockdrum.metrics."""
