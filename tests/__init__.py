"""Tests that mirror the package."""
