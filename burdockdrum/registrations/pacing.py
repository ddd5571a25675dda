"""The interval at which entries poll control VMs.

It grows with the number of entries, which bounds the load of control VMs.
"""

MIN_WATCH_INTERVAL_SECONDS = 0.5
# Polls that a control VM answers per second, however many entries there are.
# Changes don't wait for a poll: they are published at once.
MAX_WATCHES_PER_SECOND = 45
# The interval varies at random by up to this fraction.
WATCH_JITTER_FRACTION = 0.2
# An entry counts as alive for so many intervals, as polls may get lost.
LIVENESS_INTERVALS = 4


def watch_interval(entries: int) -> float:
    """Return the seconds between two polls of an entry.

    :param entries: the number of entries in all regions
    """
    return max(MIN_WATCH_INTERVAL_SECONDS, entries / MAX_WATCHES_PER_SECOND)


def liveness_timeout(entries: int) -> float:
    """Return the seconds for which an entry is alive after a poll."""
    return watch_interval(entries) * LIVENESS_INTERVALS
