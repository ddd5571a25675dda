"""Tests of HTTP/1.1 without a framework."""
