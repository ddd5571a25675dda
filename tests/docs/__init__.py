"""Tests that the documentation matches the code."""
