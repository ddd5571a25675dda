"""Tests of the authentication of callers."""
