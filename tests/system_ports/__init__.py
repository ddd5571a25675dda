"""Tests of the ports over real sockets and files."""
