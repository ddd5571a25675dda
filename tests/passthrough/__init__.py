"""Tests of requests that are passed through."""
