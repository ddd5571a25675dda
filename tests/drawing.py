"""How hypothesis draws in this project's tests."""

from hypothesis import HealthCheck
from hypothesis import settings


def draw(examples: int) -> settings:
    """Return settings that give the same verdict on every run.

    The examples are the same each time, none is kept in a folder, and no
    limit on wall time fails a test on a busy machine.
    """
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        suppress_health_check=[HealthCheck.too_slow],
    )
