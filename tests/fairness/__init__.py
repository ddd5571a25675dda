"""Tests of fair shares among teams."""
