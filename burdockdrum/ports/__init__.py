"""Ports to the outside: clock, network, disk, HTTP client.

Every task takes its ports from its constructor, so that the same code runs
over real sockets and files and, under virtual time, over the fakes of
``burdockdrum.testing`` or those of an embedder. The port for random numbers
is the standard library's ``random.Random``.
"""

from burdockdrum.ports.clock import Clock
from burdockdrum.ports.disk import Disk
from burdockdrum.ports.disk import DiskError
from burdockdrum.ports.http import AnswerLost
from burdockdrum.ports.http import ConnectFailed
from burdockdrum.ports.http import HttpClient
from burdockdrum.ports.http import read_whole
from burdockdrum.ports.http import UpstreamAnswer
from burdockdrum.ports.http import UpstreamCall
from burdockdrum.ports.network import Mailbox
from burdockdrum.ports.network import Network
from burdockdrum.ports.network import SendFailed

__all__ = [
    "AnswerLost",
    "Clock",
    "ConnectFailed",
    "Disk",
    "DiskError",
    "HttpClient",
    "Mailbox",
    "Network",
    "read_whole",
    "SendFailed",
    "UpstreamAnswer",
    "UpstreamCall",
]
