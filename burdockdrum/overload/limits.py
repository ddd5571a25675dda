"""The limits of this process, from its settings or from the system."""

from dataclasses import dataclass
import os
import resource

from burdockdrum.metrics import Metrics
from burdockdrum.overload.connections import ConnectionLimit
from burdockdrum.overload.memory import MemoryBudget

BYTES_PER_MEGABYTE = 1024 * 1024
# The rest is for the program, its state, the endpoints' responses and the
# fixed cost of connections.
MEMORY_FRACTION = 0.25
# The rest is for connections to endpoints and VMs, files and status checks.
CONNECTION_FRACTION = 0.625
# Connections that are accepted in one iteration of the event loop, for each
# listener, as a fraction of the descriptors and at most.
BACKLOG_FRACTION = 0.125
MAX_BACKLOG = 1024
# Used where the system has no limit.
MAX_DESCRIPTORS = 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class ProcessLimits:
    """What all listeners of a process may use together.

    ``backlog`` is the length of each listener's accept queue.
    """

    memory: MemoryBudget
    connections: ConnectionLimit
    backlog: int

    def add_metrics(self, metrics: Metrics) -> None:
        """Show the use of the limits on the metrics address."""
        memory, connections = self.memory, self.connections
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
            (
                "open_connections",
                "Connections that this process has accepted.",
                lambda: connections.count,
            ),
            (
                "evicted_connections",
                "Connections that were closed to accept others.",
                lambda: connections.evicted_count,
            ),
            (
                "refused_connections",
                "Connections that were refused for want of descriptors.",
                lambda: connections.refused_count,
            ),
        ):
            metrics.gauge(f"burdockdrum_{name}", text, read)


def make_limits(*, memory_mb: int = 0, descriptors: int = 0) -> ProcessLimits:
    """Return the limits of a process.

    :param memory_mb: the memory that it may use; 0 for that of the machine
    :param descriptors: how many it may open; 0 for its limit in the system
    """
    memory_bytes = memory_mb * BYTES_PER_MEGABYTE or _machine_memory()
    descriptors = descriptors or _descriptor_limit()
    return ProcessLimits(
        memory=MemoryBudget(limit=int(memory_bytes * MEMORY_FRACTION)),
        connections=ConnectionLimit(
            limit=max(1, int(descriptors * CONNECTION_FRACTION))
        ),
        backlog=max(1, min(MAX_BACKLOG, int(descriptors * BACKLOG_FRACTION))),
    )


def _machine_memory() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def _descriptor_limit() -> int:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit
