"""Which callers have asked before, as far as their own words show.

A caller says how much longer it will wait. Where most callers of a route
begin with the same time, one that has less left has asked before and was
refused, or could not connect.
"""

from dataclasses import dataclass

# Times that differ by less are the same.
SAME_PART = 0.02
# What a request counts at least in the part of those with the usual time.
MIN_GAIN = 0.02
# So many must have been seen, and such a part of them with the usual time.
MIN_SEEN = 10
MIN_USUAL_PART = 0.3
# Below this part the usual time is another one.
FORGET_PART = 0.1


@dataclass(kw_only=True)
class _Usual:
    """The time that callers of a route begin with, and how many do."""

    seconds: float
    part: float = 1.0
    seen: int = 1

    def count(self, *, is_usual: bool) -> None:
        self.seen += 1
        gain = max(MIN_GAIN, 1 / self.seen)
        self.part += gain * (is_usual - self.part)


class WaitedTimes:
    """How long callers have waited before they came here."""

    def __init__(self) -> None:
        """Know of no route."""
        self._usual_by_route: dict[str, _Usual] = {}

    def note(self, route: str, seconds: float) -> float:
        """Take note of a request; return how long ago it was first made.

        :param route: the name of its route
        :param seconds: how much longer its caller will wait
        :returns: 0 where nothing shows that the caller has asked before
        """
        usual = self._usual_by_route.get(route)
        if usual is None or usual.part < FORGET_PART:
            usual = self._usual_by_route[route] = _Usual(seconds=seconds)
            return 0.0
        if seconds > usual.seconds * (1 + SAME_PART):
            self._usual_by_route[route] = _Usual(seconds=seconds)
            return 0.0
        is_usual = seconds >= usual.seconds * (1 - SAME_PART)
        usual.count(is_usual=is_usual)
        is_known = usual.seen >= MIN_SEEN and usual.part >= MIN_USUAL_PART
        return usual.seconds - seconds if is_known and not is_usual else 0.0
