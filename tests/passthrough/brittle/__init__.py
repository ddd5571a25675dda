"""Tests of endpoints that crash if they must reject too many requests."""
