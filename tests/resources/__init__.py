"""Tests of the resources."""
