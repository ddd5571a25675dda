"""Tests of the choice of endpoints and data centres."""
