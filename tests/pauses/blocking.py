"""Pauses of a test's own process."""

import time


def block_event_loop(seconds):
    """Run nothing else for a time, as if this process was stopped."""
    time.sleep(seconds)
