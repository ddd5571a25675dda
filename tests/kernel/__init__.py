"""Tests of burdockdrum.kernel."""
