"""Configure loguru to write JSON lines to standard output."""

import asyncio
from collections.abc import Callable
import contextlib
import sys
from typing import Any

from loguru import logger
import msgspec

from burdockdrum.logs.writer import BoundedWriter
from burdockdrum.settings.model import LogSettings
from burdockdrum.timeline import Stamp

FLUSH_INTERVAL_SECONDS = 0.25


class StructuredLog:
    """The sink of all log records of a process.

    ``read_stamp`` returns each line's logical timestamp, which is larger
    than those of its causes in other processes even if clocks disagree.
    """

    def __init__(self, *, writer: BoundedWriter) -> None:
        """Create a sink that writes to a writer."""
        self.read_stamp: Callable[[], Stamp] | None = None
        self._writer = writer
        self._encoder = msgspec.json.Encoder()
        self._reported_dropped = 0

    def write(self, message: Any) -> None:
        """Write a loguru message as one JSON line."""
        record = message.record
        line: dict[str, object] = {
            "at": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["message"],
        }
        if self.read_stamp is not None:
            stamp = self.read_stamp()
            line["stamp"] = [stamp.wall_ms, stamp.counter]
        line.update(record["extra"])
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
            line["trace"] = str(message)
        self._writer.add(self._encoder.encode(line) + b"\n")

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._writer.dropped

    def flush(self) -> None:
        """Write the buffered lines.

        Once all of them are written, one line says how many were dropped.
        """
        if not self._writer.flush() or self.dropped == self._reported_dropped:
            return
        newly_dropped = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        logger.bind(count=newly_dropped).warning("log.lines_dropped")
        self._writer.flush()

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.flush()


def set_up_structured_log(settings: LogSettings, vm_id: str) -> StructuredLog:
    """Log to standard output; the caller has to run the returned sink."""
    with contextlib.suppress(OSError):
        sys.stdout.flush()
    structured_log = StructuredLog(
        writer=BoundedWriter(descriptor=sys.stdout.fileno())
    )
    logger.remove()
    logger.configure(extra={"vm": vm_id})
    logger.add(
        structured_log.write,
        level=settings.level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    return structured_log
