"""Send the log library's records to standard output as short JSON lines."""

import asyncio
from collections.abc import Callable
import sys
from typing import Any

from loguru import logger
import msgspec

from burdockdrum.logs.writer import BoundedWriter
from burdockdrum.settings.model import LogSettings
from burdockdrum.timeline import Stamp

# How long a line may wait: an engineer who follows the log notices none.
FLUSH_SECONDS = 0.25


class StructuredLog:
    """The sink of all records of a process.

    ``read_stamp`` gives each line a stamp that is larger than those of its
    causes in other processes, whatever their clocks say.
    """

    def __init__(self, *, writer: BoundedWriter) -> None:
        """Write to a writer."""
        self.read_stamp: Callable[[], Stamp] | None = None
        self._writer = writer
        self._encoder = msgspec.json.Encoder()
        self._told_dropped = 0

    def take(self, message: Any) -> None:
        """Write a record of the log library as one line."""
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

    def flush(self) -> None:
        """Hand on what waits, and say what was dropped."""
        dropped = self._writer.dropped
        if dropped != self._told_dropped:
            count = dropped - self._told_dropped
            self._told_dropped = dropped
            logger.bind(count=count).warning("log.lines_dropped")
        self._writer.flush()

    async def run(self) -> None:
        """Hand lines on until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                self.flush()
        finally:
            self.flush()


def set_up_structured_log(settings: LogSettings, vm_id: str) -> StructuredLog:
    """Log to standard output; the caller runs what is returned."""
    sys.stdout.flush()
    structured = StructuredLog(
        writer=BoundedWriter(descriptor=sys.stdout.fileno())
    )
    logger.remove()
    logger.configure(extra={"vm": vm_id})
    logger.add(
        structured.take,
        level=settings.level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    return structured
