"""A hybrid logical clock.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(2014): a stamp is close to wall time, and that of an effect is larger than
that of its cause, also where the wall clocks of two VMs disagree.
"""

import msgspec

from burdockdrum.ports import Clock

# A peer whose wall clock is far ahead must not drag all others along.
MAX_AHEAD_SECONDS = 60.0


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A point in time: milliseconds since the epoch, then a counter."""

    wall_ms: int
    counter: int


class HybridClock:
    """The stamps of one process."""

    def __init__(self, *, clock: Clock) -> None:
        """Create a clock that starts at the wall time."""
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp larger than every one seen so far."""
        now = int(self._clock.wall() * 1000)
        if now > self._last.wall_ms:
            self._last = Stamp(now, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Move past a stamp that arrived from another process."""
        limit = (self._clock.wall() + MAX_AHEAD_SECONDS) * 1000
        if stamp > self._last and stamp.wall_ms <= limit:
            self._last = stamp
