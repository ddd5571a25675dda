"""Measurements, each with its own command."""
