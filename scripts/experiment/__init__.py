"""Experiments that compare policies on the users' workloads."""
