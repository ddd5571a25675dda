"""What VMs tell each other about themselves."""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.peers import VmIdentity


class ServiceSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What a data centre can take of one service.

    ``room`` is the number of requests that could start at once,
    ``queue_seconds`` how long a new one would wait, ``slots`` the capacity
    of the endpoints that live and ``warmth`` the share of them that has
    served for a while, from 0 to 1.
    """

    service: str
    endpoints: int
    slots: int
    room: int
    queue_seconds: float
    warmth: float = 1.0


class Hello(Message, frozen=True, kw_only=True):
    """A VM's sign of life."""

    identity: VmIdentity
    draining: bool
    revision: int
    services: list[ServiceSummary]
    known: list[VmIdentity]
