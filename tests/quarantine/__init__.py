"""Tests of burdockdrum.quarantine."""
