"""Tests of burdockdrum.endpoints."""
