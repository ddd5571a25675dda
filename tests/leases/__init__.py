"""Tests of burdockdrum.leases."""
