"""Tests of burdockdrum.configuration."""
