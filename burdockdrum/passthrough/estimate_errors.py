"""How much later first parts come than is expected.

A wait is estimated from what is known to be before a request. An engine also
writes for those that run, lets urgent ones in between and is sent work by
entries that have not told yet. How late first parts come is observed, by how
much an engine reads: where it reads nothing they come as expected.
"""

# Shares of the time that an engine reads, told apart in fifths.
_PARTS = 5
# What each new error counts: an average follows the last twenty.
_GAIN = 0.05
# At first each counts more, beside so many without an error. One of dozens of
# entries sees a few long prompts in a peak's first seconds.
_EXPECTED_RIGHT = 2
# One that hangs or is lost tells nothing of the others.
_MAX_SECONDS = 2.0


class EstimateErrors:
    """The mean error of one service's estimates, by rank and share."""

    def __init__(self) -> None:
        """Expect no error."""
        self._seconds_by_key: dict[tuple[int, int], float] = {}
        self._notes_by_key: dict[tuple[int, int], int] = {}

    def note(self, rank: int, busy: float, seconds: float) -> None:
        """Take note of how much later a first part came than expected.

        :param busy: the share of its time in which the engine reads
        """
        key = (rank, _part(busy))
        error = max(-_MAX_SECONDS, min(_MAX_SECONDS, seconds))
        notes = self._notes_by_key.get(key, 0) + 1
        self._notes_by_key[key] = notes
        gain = max(_GAIN, 1 / (notes + _EXPECTED_RIGHT))
        known = self._seconds_by_key.get(key, 0.0)
        self._seconds_by_key[key] = known + (error - known) * gain

    def expect(self, rank: int, busy: float) -> float:
        """Return how much later a first part is to be expected.

        It is no less where an engine reads more: few requests are seen at
        each share, and a lucky one must not draw the others there.
        """
        top = _part(busy)
        known = [
            self._seconds_by_key.get((rank, part), 0.0)
            for part in range(top + 1)
        ]
        return max(0.0, *known)


def _part(busy: float) -> int:
    return min(_PARTS - 1, int(max(0.0, busy) * _PARTS))
