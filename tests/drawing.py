"""Settings of Hypothesis for the tests."""

from hypothesis import HealthCheck
from hypothesis import settings


def draw(examples: int) -> settings:
    """Return settings for a reproducible number of examples.

    The examples are derandomized and not stored in a database. Without a
    deadline, a busy machine fails no test.
    """
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        suppress_health_check=[HealthCheck.too_slow],
    )
