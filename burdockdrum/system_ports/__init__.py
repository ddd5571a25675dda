"""The ports over the machine's clock, sockets and files."""

from typing import Any

from burdockdrum.system_ports.clock import SystemClock
from burdockdrum.system_ports.disk import FolderDisk
from burdockdrum.system_ports.network import limit_threads
from burdockdrum.system_ports.network import PynngNetwork
from burdockdrum.system_ports.trust import make_trust

__all__ = [
    "FolderDisk",
    "limit_threads",
    "make_trust",
    "PooledHttpClient",
    "PynngNetwork",
    "SystemClock",
]


def __getattr__(name: str) -> Any:
    # A VM that only passes requests through needs none of blacksheep, whose
    # import with uvicorn takes 0.17 s of processor time and 14 MB (the
    # median of three runs of an idle machine).
    if name != "PooledHttpClient":
        raise AttributeError(name)
    from burdockdrum.system_ports.http import PooledHttpClient

    return PooledHttpClient
