"""The ports over the machine's clock, sockets and files."""

from burdockdrum.system_ports.clock import SystemClock
from burdockdrum.system_ports.disk import FolderDisk
from burdockdrum.system_ports.http import PooledHttpClient
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
