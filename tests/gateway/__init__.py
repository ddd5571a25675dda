"""Tests of burdockdrum.gateway."""
