"""Tests of burdockdrum.verdicts."""
