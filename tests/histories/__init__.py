"""Histories of concurrent runs, and checkers of what must always hold."""
