"""Detection that this VM was suspended.

The monotonic clock may stop while a VM is suspended, so that what expired
meanwhile still looks valid. The wall clock shows the gap.
"""

from burdockdrum.ports import Clock


class SuspensionDetector:
    """Detects jumps of the wall clock ahead of the monotonic clock.

    A wall clock that is set forward looks like a suspension as well.
    """

    def __init__(self, *, clock: Clock, max_jump_seconds: float) -> None:
        """Create a detector of later jumps.

        :param max_jump_seconds: smaller jumps are ignored
        """
        self._clock = clock
        self._max_jump_seconds = max_jump_seconds
        self._offset = self._read_offset()

    def reset(self) -> None:
        """Ignore the jumps until now."""
        self._offset = self._read_offset()

    def detect(self) -> bool:
        """Return whether the wall clock has jumped since the last call."""
        offset = self._read_offset()
        ahead = offset - self._offset
        has_jumped = ahead > self._max_jump_seconds
        if has_jumped or ahead < 0:
            self._offset = offset
        return has_jumped

    def _read_offset(self) -> float:
        return self._clock.wall() - self._clock.monotonic()
