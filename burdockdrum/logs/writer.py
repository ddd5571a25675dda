"""Write lines to a pipe or a file without blocking.

A plain write would block the process if a pipe is full because its reader is
slow, and fail if a file is on a full disk. Here lines are buffered up to a
limit; further lines are dropped and counted.
"""

import collections
import os

MAX_BUFFERED_BYTES = 256 * 1024
# Each batch is one system call.
TARGET_BATCH_BYTES = 64 * 1024


class BoundedWriter:
    """A bounded buffer of lines for a file descriptor."""

    def __init__(self, *, descriptor: int) -> None:
        """Create a writer and make its descriptor non-blocking."""
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        # Whether the last write did not find the reader of a pipe gone.
        self._has_reader = True
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> bool:
        """Write as much as is possible without blocking.

        What a full disk refuses stays in the buffer.

        :returns: whether all was written
        """
        while self._lines:
            batch = self._next_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BrokenPipeError:
                # The reader is gone, so there is nowhere to report it.
                self.dropped += batch.count(b"\n")
                self._has_reader = False
                continue
            except OSError:
                written = 0
            if written < len(batch):
                self._requeue(batch[written:])
                return False
            self._has_reader = True
        return self._has_reader

    def _next_batch(self) -> bytes:
        lines = []
        size = 0
        while self._lines and size < TARGET_BATCH_BYTES:
            line = self._lines.popleft()
            lines.append(line)
            size += len(line)
        self._buffered_bytes -= size
        return b"".join(lines)

    def _requeue(self, remainder: bytes) -> None:
        self._lines.appendleft(remainder)
        self._buffered_bytes += len(remainder)
