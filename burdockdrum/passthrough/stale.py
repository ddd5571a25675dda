"""Choose by loads that are a moment old.

Entries that see the same endpoint as the emptiest would all send there what
comes until they hear again. So what will come meanwhile is spread such that
the waits would be level at its end (Dahlin, "Interpreting stale load
information", 2000): an endpoint is drawn by how far its wait is below that
level.
"""

from collections.abc import Sequence
import random


def find_level(waits: Sequence[float], coming: float) -> float:
    """Return the level to which work fills up the lowest waits.

    :param waits: seconds; at least one
    :param coming: seconds of work, above 0
    """
    ordered = sorted(waits)
    total = 0.0
    for count, wait in enumerate(ordered, start=1):
        total += wait
        level = (coming + total) / count
        if count == len(ordered) or level <= ordered[count]:
            return level
    raise AssertionError("there is no wait")


def draw(waits: Sequence[float], coming: float, rng: random.Random) -> int:
    """Return the index of a wait, drawn by its distance from the level."""
    level = find_level(waits, coming)
    room = [max(0.0, level - wait) for wait in waits]
    return rng.choices(range(len(waits)), weights=room)[0]
