"""Tests of burdockdrum.system_ports."""
