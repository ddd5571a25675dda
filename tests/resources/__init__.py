"""Tests of burdockdrum.resources."""
