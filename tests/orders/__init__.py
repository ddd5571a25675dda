"""Tests of burdockdrum.orders."""
