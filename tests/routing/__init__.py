"""Tests of burdockdrum.routing."""
