"""The ports implemented over the system's clock, sockets and files."""

from typing import Any

from burdockdrum.system_ports.clock import SystemClock
from burdockdrum.system_ports.disk import FolderDisk
from burdockdrum.system_ports.memory import return_large_buffers
from burdockdrum.system_ports.network import limit_threads
from burdockdrum.system_ports.network import PynngNetwork
from burdockdrum.system_ports.tls import make_ssl_context

__all__ = [
    "FolderDisk",
    "limit_threads",
    "make_ssl_context",
    "PooledHttpClient",
    "PynngNetwork",
    "return_large_buffers",
    "SystemClock",
]


def __getattr__(name: str) -> Any:
    # Imported lazily: pass-through VMs don't need blacksheep, whose import
    # costs noticeable start-up time and memory.
    if name != "PooledHttpClient":
        raise AttributeError(name)
    from burdockdrum.system_ports.http import PooledHttpClient

    return PooledHttpClient
