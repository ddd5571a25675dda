"""The daemon that runs all services of one VM."""

from burdockdrum.daemon.assembly import assemble
from burdockdrum.daemon.daemon import Daemon

__all__ = ["assemble", "Daemon"]
