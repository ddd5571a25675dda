"""Tests that hold the pages to the code."""
