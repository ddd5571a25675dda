"""Tests of the teams' rate limits over all entries."""
