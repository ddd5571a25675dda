"""Tests of burdockdrum.peers."""
