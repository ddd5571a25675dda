"""The limits of this process, from its settings or from the system."""

from dataclasses import dataclass
import os

from burdockdrum.metrics import Metrics
from burdockdrum.overload.memory import MemoryBudget

BYTES_PER_MEGABYTE = 1024 * 1024
# The rest is for the program, its state, the endpoints' responses and the
# fixed cost of connections.
MEMORY_FRACTION = 0.25


@dataclass(frozen=True, kw_only=True)
class ProcessLimits:
    """What all listeners of a process may use together."""

    memory: MemoryBudget

    def add_metrics(self, metrics: Metrics) -> None:
        """Show the use of the limits on the metrics address."""
        memory = self.memory
        for name, text, read in (
            (
                "request_memory_bytes",
                "Memory that requests and unread responses hold.",
                lambda: memory.used,
            ),
            (
                "shed_requests",
                "Incomplete requests that were given up for want of memory.",
                lambda: memory.shed_count,
            ),
            (
                "requests_without_memory",
                "Requests and responses for which there was no memory.",
                lambda: memory.refused_count,
            ),
        ):
            metrics.gauge(f"burdockdrum_{name}", text, read)


def make_limits(*, memory_mb: int = 0) -> ProcessLimits:
    """Return the limits of a process.

    :param memory_mb: the memory that it may use; 0 for that of the machine
    """
    memory_bytes = memory_mb * BYTES_PER_MEGABYTE or _machine_memory()
    return ProcessLimits(
        memory=MemoryBudget(limit=int(memory_bytes * MEMORY_FRACTION)),
    )


def _machine_memory() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
