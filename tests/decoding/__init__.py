"""Tests of burdockdrum.decoding."""
