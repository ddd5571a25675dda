"""Tests of the crashing request."""
