"""Tests of burdockdrum.settings."""
