"""Tests of the package ``passthrough.protocol``."""
