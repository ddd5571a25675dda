"""Tests of claims on unrepeatable requests."""
