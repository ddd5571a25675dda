"""Tests of the platform's adapter."""
