"""Tests of the software versions that a quorum of control VMs knows."""
