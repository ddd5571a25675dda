"""Exponentially decaying sums, which measure rates.

With a time constant T, the sum of a steady rate r converges to r * T. Sums
of several VMs can be added without aligned windows or clocks, and tolerate
late, repeated and missing reports.
"""

import math


class DecayingSum:
    """A sum that decays with the time constant ``seconds``."""

    __slots__ = ("seconds", "_value", "_at")

    def __init__(self, *, seconds: float, now: float) -> None:
        """Create an empty sum."""
        self.seconds = seconds
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Add an amount; a negative one undoes an earlier one."""
        self._value = max(0.0, self.read(now) + amount)
        self._at = now

    def read(self, now: float) -> float:
        """Return the sum at a time not before the last update."""
        return decay(self._value, now - self._at, self.seconds)


def decay(value: float, age: float, seconds: float) -> float:
    """Return a sum's value after it has decayed for ``age`` seconds."""
    if age <= 0 or not value:
        return value
    return value * math.exp(-age / seconds)
