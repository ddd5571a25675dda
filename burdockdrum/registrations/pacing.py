"""How often entries ask control VMs, by how many entries there are."""

MIN_WATCH_SECONDS = 0.5
# A control VM answers so many entries a second, however many there are:
# a fiftieth of a core. Changes are told at once, not with an answer.
WATCHES_A_SECOND = 45
# The part by which each pause is longer or shorter at random.
WATCH_SPREAD = 0.2
# An entry whose last questions were lost is still told of changes.
FRESH_WATCHES = 4


def watch_seconds(entries: int) -> float:
    """Return the time between two questions of an entry.

    :param entries: how many there are in all regions
    """
    return max(MIN_WATCH_SECONDS, entries / WATCHES_A_SECOND)


def fresh_seconds(entries: int) -> float:
    """Return how long an entry that was heard counts as alive."""
    return watch_seconds(entries) * FRESH_WATCHES
