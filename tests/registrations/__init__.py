"""Tests of the registry of endpoints and the sharing of their loads."""
