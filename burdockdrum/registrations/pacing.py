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
# A roster outlasts this many poll intervals, as polls may get lost.
ROSTER_LEASE_INTERVALS = 2.5
MIN_ROSTER_LEASE_SECONDS = 2.5
# Covers VMs whose clocks drift and whose counts of entries differ.
ROSTER_MARGIN = 1.2


def watch_interval(entries: int) -> float:
    """Return the seconds between two polls of an entry.

    :param entries: the number of entries in all regions
    """
    return max(MIN_WATCH_INTERVAL_SECONDS, entries / MAX_WATCHES_PER_SECOND)


def liveness_timeout(entries: int) -> float:
    """Return the seconds for which an entry is alive after a poll."""
    return watch_interval(entries) * LIVENESS_INTERVALS


def roster_lease_seconds(entries: int) -> float:
    """Return how long a roster is valid after the poll that it answers.

    :param entries: the number of entries in all regions
    """
    slowest = watch_interval(entries) * (1 + WATCH_JITTER_FRACTION)
    return max(MIN_ROSTER_LEASE_SECONDS, slowest * ROSTER_LEASE_INTERVALS)


def hold_off_seconds(entries: int) -> float:
    """Return how long an entry waits before it uses a new share.

    By then every other entry has renewed its rosters, or lost them.
    """
    return roster_lease_seconds(entries) * ROSTER_MARGIN


def roster_memory_seconds(entries: int) -> float:
    """Return for how long a control VM lists an entry after its last poll.

    An entry with valid rosters must be in those of all other entries from
    its hold-off on: a lease before the poll, and one after it.
    """
    return 2 * roster_lease_seconds(entries) * ROSTER_MARGIN
