"""Interfaces to the outside: clock, network, disk and HTTP client.

Components receive their ports through the constructor, so that the same code
runs over real sockets and files or, under virtual time, over the fakes of
``burdockdrum.testing``. The port for random numbers is the standard library's
``random.Random``.
"""

from burdockdrum.ports.clock import Clock
from burdockdrum.ports.disk import Disk
from burdockdrum.ports.disk import DiskError
from burdockdrum.ports.http import AnswerLost
from burdockdrum.ports.http import AnswerTooLarge
from burdockdrum.ports.http import ConnectFailed
from burdockdrum.ports.http import HttpClient
from burdockdrum.ports.http import read_whole
from burdockdrum.ports.http import UpstreamAnswer
from burdockdrum.ports.http import UpstreamCall
from burdockdrum.ports.network import Mailbox
from burdockdrum.ports.network import Network
from burdockdrum.ports.network import SendFailed
from burdockdrum.ports.replacement import replace_file

__all__ = [
    "AnswerLost",
    "AnswerTooLarge",
    "Clock",
    "ConnectFailed",
    "Disk",
    "DiskError",
    "HttpClient",
    "Mailbox",
    "Network",
    "read_whole",
    "replace_file",
    "SendFailed",
    "UpstreamAnswer",
    "UpstreamCall",
]
