"""Tests of the detection of pauses of this process."""
