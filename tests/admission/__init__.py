"""Tests of quotas, lines and early refusals."""
