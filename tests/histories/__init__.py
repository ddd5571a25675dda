"""Simulated runs with faults, and tests of the invariant checkers."""
