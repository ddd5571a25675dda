"""Tests of the package ``passthrough.state``."""
