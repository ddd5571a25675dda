"""Tests of endpoints that check in at control VMs."""
