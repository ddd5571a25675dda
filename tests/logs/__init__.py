"""Tests of burdockdrum.logs."""
