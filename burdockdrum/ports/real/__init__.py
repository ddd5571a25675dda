"""The ports over real sockets, files and HTTP connections."""

from burdockdrum.ports.real.disk import FolderDisk
from burdockdrum.ports.real.http import PooledHttpClient
from burdockdrum.ports.real.network import limit_threads
from burdockdrum.ports.real.network import PynngNetwork

__all__ = ["FolderDisk", "limit_threads", "PooledHttpClient", "PynngNetwork"]
