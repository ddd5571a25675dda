"""Tests of burdockdrum.testing."""
