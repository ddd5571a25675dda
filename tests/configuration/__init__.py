"""Tests of the configuration: agreed, passed on, cut off."""
