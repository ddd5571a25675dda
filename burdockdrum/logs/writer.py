"""Write lines to a pipe that may not be read.

A plain write would block the process once the pipe is full. Lines wait here
instead, up to a bound; from then on the newest are dropped and counted.
"""

import collections
import os

MAX_WAITING_BYTES = 256 * 1024
# One system call a batch: at 20 lines in 100 ms it costs a twentieth.
BATCH_BYTES = 64 * 1024


class BoundedWriter:
    """Lines on their way to a file descriptor."""

    def __init__(self, *, descriptor: int) -> None:
        """Write to a descriptor, which is made non-blocking."""
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> None:
        """Take a line; it is dropped if too much waits."""
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes without waiting for it."""
        while self._lines:
            batch = self._take_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody can be told that nobody reads the log.
                self.dropped += 1
                continue
            if written < len(batch):
                self._put_back(batch[written:])
                return

    def _take_batch(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < BATCH_BYTES:
            line = self._lines.popleft()
            lines.append(line)
            size += len(line)
        self._waiting_bytes -= size
        return b"".join(lines)

    def _put_back(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._waiting_bytes += len(rest)
