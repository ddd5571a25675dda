"""Tests of the soak test's invariants and a short run of it."""
