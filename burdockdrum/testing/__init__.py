"""Fakes for the ports: virtual time, a faulty network and a lossy disk.

They are part of the package so that applications that embed it can use them.
"""

from burdockdrum.testing.asgi import AsgiServer
from burdockdrum.testing.asgi import serve_asgi
from burdockdrum.testing.disk import FakeDisk
from burdockdrum.testing.http import FakeAnswer
from burdockdrum.testing.http import FakeHttpClient
from burdockdrum.testing.http import FakeWeb
from burdockdrum.testing.network import FakeNetwork
from burdockdrum.testing.network import HostNetwork
from burdockdrum.testing.network import LinkState
from burdockdrum.testing.peers import make_peers
from burdockdrum.testing.virtual_time import NothingScheduled
from burdockdrum.testing.virtual_time import run_virtual
from burdockdrum.testing.virtual_time import VirtualClock

__all__ = [
    "AsgiServer",
    "FakeAnswer",
    "FakeDisk",
    "FakeHttpClient",
    "FakeNetwork",
    "FakeWeb",
    "HostNetwork",
    "LinkState",
    "make_peers",
    "NothingScheduled",
    "run_virtual",
    "serve_asgi",
    "VirtualClock",
]
