"""Tests of the translation of the platform's messages."""
