"""Tests of burdockdrum.requests."""
