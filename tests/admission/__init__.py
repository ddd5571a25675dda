"""Tests of quotas, queues and early refusals."""
