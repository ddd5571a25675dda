"""Load balancing with stale load information.

Choosing the least loaded endpoint makes all entry VMs send there until the
next load report (herd effect). Instead, the work expected until then is
spread so that the waits become level (Dahlin, "Interpreting stale load
information", 2000).
"""

from collections.abc import Sequence
import random


def find_level(waits: Sequence[float], expected_work: float) -> float:
    """Return the level to which the work raises the lowest waits.

    :param waits: seconds; at least one
    :param expected_work: seconds of work, above 0
    """
    ordered = sorted(waits)
    total = 0.0
    for count, wait in enumerate(ordered, start=1):
        total += wait
        level = (expected_work + total) / count
        if count == len(ordered) or level <= ordered[count]:
            return level
    raise AssertionError("no waits given")


def draw(
    waits: Sequence[float], expected_work: float, rng: random.Random
) -> int:
    """Return a random index, weighted by each wait's gap to the level."""
    level = find_level(waits, expected_work)
    gaps = [max(0.0, level - wait) for wait in waits]
    return rng.choices(range(len(waits)), weights=gaps)[0]
