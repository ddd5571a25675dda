"""Hold new work back from endpoints that return again and again."""

import collections

# So many returns within the window are usual: a restart, and one more.
FREE_RETURNS = 2
WINDOW_SECONDS = 120.0
FIRST_HOLD_SECONDS = 4.0
MAX_HOLD_SECONDS = 60.0
MAX_URLS = 4096


class Damping:
    """The returns of endpoints by address, and the holds that follow.

    Without it an endpoint that crashes a second after each start takes
    requests each time and loses them. The hold doubles with each return.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._returns_by_url: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()
        self._held_until_by_url: dict[str, float] = {}

    def note_return(self, url: str, now: float) -> float:
        """Note that an endpoint is back; return the seconds of hold."""
        returns = self._returns_by_url.setdefault(
            url, collections.deque(maxlen=16)
        )
        self._returns_by_url.move_to_end(url)
        returns.append(now)
        recent = sum(1 for at in returns if now - at <= WINDOW_SECONDS)
        excess = recent - FREE_RETURNS
        if len(self._returns_by_url) > MAX_URLS:
            oldest, _ = self._returns_by_url.popitem(last=False)
            self._held_until_by_url.pop(oldest, None)
        if excess <= 0:
            return 0.0
        hold: float = min(
            MAX_HOLD_SECONDS, FIRST_HOLD_SECONDS * 2 ** (excess - 1)
        )
        self._held_until_by_url[url] = now + hold
        return hold

    def is_held(self, url: str, now: float) -> bool:
        """Say whether an endpoint gets no new work yet."""
        return self._held_until_by_url.get(url, float("-inf")) > now
