"""Tests of the package ``passthrough.relaying``."""
