"""A hybrid logical clock.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(2014): timestamps are close to wall time, and that of an effect is larger
than that of its cause even if the wall clocks of the VMs disagree.
"""

import msgspec

from burdockdrum.ports import Clock

# A peer whose wall clock is far ahead must not advance all other clocks.
MAX_CLOCK_SKEW_SECONDS = 60.0


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A timestamp: milliseconds since the epoch, then a counter."""

    wall_ms: int
    counter: int


class HybridClock:
    """The source of one process's timestamps."""

    def __init__(self, *, clock: Clock) -> None:
        """Create a clock that follows the wall time."""
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a timestamp larger than all seen so far."""
        now = int(self._clock.wall() * 1000)
        if now > self._last.wall_ms:
            self._last = Stamp(now, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Advance past a timestamp received from another process."""
        limit = (self._clock.wall() + MAX_CLOCK_SKEW_SECONDS) * 1000
        if stamp > self._last and stamp.wall_ms <= limit:
            self._last = stamp
