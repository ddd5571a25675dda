"""The daemon: the services of one VM put together."""

from burdockdrum.daemon.assembly import assemble
from burdockdrum.daemon.daemon import Daemon

__all__ = ["assemble", "Daemon"]
