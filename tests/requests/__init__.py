"""Tests of a request's life."""
