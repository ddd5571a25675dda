"""Tests of the crashes of endpoints as VMs know them."""
