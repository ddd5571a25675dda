"""Tests of the process of a pass-through VM."""
