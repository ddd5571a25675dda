"""Load balancing with stale load information.

Choosing the least loaded endpoint makes all entry VMs send there until the
next load report (herd effect). Instead, the work expected until then is
spread so that the waits become level (Dahlin, "Interpreting stale load
information", 2000).
"""

from collections.abc import Sequence
import random


def find_level(
    waits: Sequence[float],
    expected_work: float,
    speeds: Sequence[float] | None = None,
) -> float:
    """Return the level to which the work raises the lowest waits.

    :param waits: seconds; at least one
    :param expected_work: seconds of work at a speed of 1, above 0
    :param speeds: how much work each does in a second; default 1
    """
    if speeds is None:
        speeds = [1.0] * len(waits)
    ordered = sorted(zip(waits, speeds, strict=True))
    total = 0.0
    total_speed = 0.0
    for count, (wait, speed) in enumerate(ordered, start=1):
        total += wait * speed
        total_speed += speed
        level = (expected_work + total) / total_speed
        if count == len(ordered) or level <= ordered[count][0]:
            return level
    raise AssertionError("no waits given")


def draw(
    waits: Sequence[float],
    expected_work: float,
    rng: random.Random,
    speeds: Sequence[float] | None = None,
) -> int:
    """Return a random index, weighted by the work up to the level.

    :param speeds: how much work each does in a second; default 1
    """
    level = find_level(waits, expected_work, speeds)
    gaps = [max(0.0, level - wait) for wait in waits]
    if speeds is not None:
        gaps = [g * speed for g, speed in zip(gaps, speeds, strict=True)]
    return rng.choices(range(len(waits)), weights=gaps)[0]
