"""Flap damping: suppression of endpoints that restart repeatedly."""

import collections

# Returns within the window that cause no suppression, such as a restart.
MAX_UNDAMPED_RETURNS = 2
WINDOW_SECONDS = 120.0
MIN_SUPPRESSION_SECONDS = 4.0
MAX_SUPPRESSION_SECONDS = 60.0
MAX_URLS = 4096


class FlapDamping:
    """Suppresses endpoints by address if they return too often.

    An endpoint that crashes shortly after each start would lose its requests
    each time. The duration of the suppression doubles with each return.
    """

    def __init__(self) -> None:
        """Create damping without recorded returns."""
        self._returns_by_url: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()
        self._suppressed_until_by_url: dict[str, float] = {}

    def record_return(self, url: str, now: float) -> float:
        """Record the return of an endpoint.

        :returns: the duration of its suppression in seconds, or 0
        """
        returns = self._returns_by_url.setdefault(
            url, collections.deque(maxlen=16)
        )
        self._returns_by_url.move_to_end(url)
        returns.append(now)
        recent = sum(1 for at in returns if now - at <= WINDOW_SECONDS)
        excess = recent - MAX_UNDAMPED_RETURNS
        if len(self._returns_by_url) > MAX_URLS:
            oldest, _ = self._returns_by_url.popitem(last=False)
            self._suppressed_until_by_url.pop(oldest, None)
        if excess <= 0:
            return 0.0
        seconds: float = min(
            MAX_SUPPRESSION_SECONDS,
            MIN_SUPPRESSION_SECONDS * 2 ** (excess - 1),
        )
        self._suppressed_until_by_url[url] = now + seconds
        return seconds

    def is_suppressed(self, url: str, now: float) -> bool:
        """Return whether an endpoint is suppressed."""
        return self._suppressed_until_by_url.get(url, float("-inf")) > now
