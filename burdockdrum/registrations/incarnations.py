"""Distinguishes the incarnations of an endpoint.

An endpoint may restart under the same id with an empty cache and a new
sequence of check-ins. Its former load, cached prefixes and health no longer
apply, so everything is stored by an id of the incarnation. Incarnations are
ordered by their start times, which the endpoint reports by its own clock;
these are only compared with others of the same endpoint.
"""

from collections.abc import Container

# For endpoints that report no start time; these change their id on a restart.
UNKNOWN_INCARNATION = 0


def make_incarnation_id(name: str, incarnation: int) -> str:
    """Return the id of one incarnation of an endpoint.

    :param name: the id that the endpoint reports
    :param incarnation: its start time, in milliseconds of its own clock
    """
    return (
        name if incarnation == UNKNOWN_INCARNATION else f"{name}@{incarnation}"
    )


class LatestIncarnations:
    """The latest known incarnation of each endpoint."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._incarnation_by_name: dict[str, int] = {}

    def is_outdated(self, name: str, incarnation: int) -> bool:
        """Return whether a newer incarnation of the endpoint is known.

        One without a start time counts as older than any with one.
        """
        return incarnation < self._incarnation_by_name.get(
            name, UNKNOWN_INCARNATION
        )

    def observe(self, name: str, incarnation: int) -> bool:
        """Record an incarnation if it is the latest.

        :returns: whether it replaces a known one
        """
        known = self._incarnation_by_name.get(name)
        if known is not None and incarnation <= known:
            return False
        self._incarnation_by_name[name] = incarnation
        return known is not None

    def retain(self, names: Container[str]) -> None:
        """Remove all endpoints but those named."""
        for name in list(self._incarnation_by_name):
            if name not in names:
                del self._incarnation_by_name[name]
