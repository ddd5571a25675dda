"""Tests of the leases."""
