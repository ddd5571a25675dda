"""Tests of burdockdrum.ports."""
