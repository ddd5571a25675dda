"""Bounds that endpoints announce, with the age of the announcement."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnouncedLimit:
    """What an endpoint last announced.

    ``requests_per_second`` applies to all entries together, None if the
    endpoint stopped announcing a limit. ``max_rejections`` is how many
    requests it tolerates to reject in a second for want of room, None if it
    is not brittle. ``observed_at`` is monotonic.
    """

    requests_per_second: float | None
    observed_at: float
    max_rejections: int | None = None


# The requests per second and the rejections that an endpoint tolerates.
Bounds = tuple[float | None, int | None]


def newest_limit(
    limits: Iterable[AnnouncedLimit | None],
) -> AnnouncedLimit | None:
    """Return the latest of several announcements, None if there is none."""
    known = [limit for limit in limits if limit is not None]
    return max(known, key=lambda limit: limit.observed_at, default=None)


def rate_of(limit: AnnouncedLimit | None) -> float | None:
    """Return the requests per second of a limit, None if unlimited."""
    return limit.requests_per_second if limit is not None else None


def bounds_of(limit: AnnouncedLimit | None) -> Bounds:
    """Return both bounds of an announcement, None each if there is none."""
    if limit is None:
        return None, None
    return limit.requests_per_second, limit.max_rejections
