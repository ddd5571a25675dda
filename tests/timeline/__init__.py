"""Tests of burdockdrum.timeline."""
