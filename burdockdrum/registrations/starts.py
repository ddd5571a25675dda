"""Distinguishes the incarnations of an endpoint.

An endpoint may restart under the same id with an empty cache and a new
sequence of check-ins. Its former load, cached prefixes and health no longer
apply, so everything is stored by an id of the incarnation. Incarnations are
ordered by their start times, which the endpoint reports by its own clock;
these are only compared with others of the same endpoint.
"""

from collections.abc import Container

# For endpoints that report no start time; these change their id on a restart.
UNKNOWN_START = 0


def name_start(name: str, born: int) -> str:
    """Return the id of one incarnation of an endpoint.

    :param name: the id that the endpoint reports
    :param born: its start time, in milliseconds of its own clock
    """
    return name if born == UNKNOWN_START else f"{name}@{born}"


class LatestIncarnations:
    """The latest known incarnation of each endpoint."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._born_by_name: dict[str, int] = {}

    def is_outdated(self, name: str, born: int) -> bool:
        """Return whether a newer incarnation of the endpoint is known.

        One without a start time counts as older than any with one.
        """
        return born < self._born_by_name.get(name, UNKNOWN_START)

    def observe(self, name: str, born: int) -> bool:
        """Record an incarnation if it is the latest.

        :returns: whether it replaces a known one
        """
        known = self._born_by_name.get(name)
        if known is not None and born <= known:
            return False
        self._born_by_name[name] = born
        return known is not None

    def retain(self, names: Container[str]) -> None:
        """Remove all endpoints but those named."""
        for name in list(self._born_by_name):
            if name not in names:
                del self._born_by_name[name]
