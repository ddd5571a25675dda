"""Tests of the package ``passthrough.selection``."""
