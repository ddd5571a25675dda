"""Tests of the soak: its checks can fail, and a short run of it."""
