"""Tests of burdockdrum.cli."""
