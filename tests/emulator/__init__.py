"""Tests of the emulated endpoints."""
