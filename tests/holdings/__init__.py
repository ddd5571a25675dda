"""Tests of the tracking of endpoints' prefix caches."""
