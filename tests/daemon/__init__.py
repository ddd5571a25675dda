"""Tests of burdockdrum.daemon."""
