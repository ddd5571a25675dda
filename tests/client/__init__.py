"""Tests of burdockdrum.client."""
