"""Tests of structured logs."""
