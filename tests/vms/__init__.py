"""Tests of burdockdrum.vms."""
