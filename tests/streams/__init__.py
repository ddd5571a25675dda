"""Tests of what entries know of the streams that others began."""
