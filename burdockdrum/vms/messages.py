"""What VMs tell each other about themselves."""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.peers import VmIdentity
from burdockdrum.timeline import Stamp


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


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One value of a publication; ``value`` is nil where it was dropped."""

    topic: int
    key: int
    value: msgspec.Raw


class Changes(Message, frozen=True, kw_only=True, array_like=True):
    """What changed in the publication of a VM after ``since``.

    ``full`` says that the records are all there are. A VM passes on what
    it holds of another's publication in the same form.
    """

    vm_id: str
    incarnation: int
    since: int
    sequence: int
    full: bool
    records: list[Record]


class Ask(Message, frozen=True, kw_only=True, array_like=True):
    """A wish for what changed in the publication of a VM after ``have``.

    It goes to that VM or to a third one: the answer of a third proves that
    the VM lives where the direct link fails.
    """

    vm_id: str
    incarnation: int
    have: int


class Hello(Message, frozen=True, kw_only=True):
    """A VM's introduction, answered by ``Welcome``.

    ``digest`` stands for the VMs of its data centre that it knows, and
    ``remote_digest`` for the other data centres.
    """

    identity: VmIdentity
    digest: int
    remote_digest: int


class Welcome(Message, frozen=True, kw_only=True):
    """Who answers a hello, and the VMs that the asker should know."""

    identity: VmIdentity
    vms: list[VmIdentity]


class ServiceFigures(msgspec.Struct, frozen=True, array_like=True):
    """A ``ServiceSummary`` without its name, in short form for the wire.

    Queue in tenths of a second, warmth in hundredths.
    """

    endpoints: int
    slots: int
    room: int
    queue: int
    warmth: int


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """An entry VM of a data centre that is named beside it."""

    vm_id: str
    incarnation: int
    control_address: str
    http_address: str


class DataCentreSummary(Message, frozen=True, kw_only=True, array_like=True):
    """What a data centre tells another one about itself.

    ``made_at`` orders the summaries of one data centre, whichever of its
    VMs sent them. ``entries`` are a few VMs to forward to; ``figures`` go
    with ``services``, in their order.
    """

    data_centre: str
    region: str
    made_at: Stamp
    revision: int
    entries: list[EntryAddress]
    services: list[str]
    figures: list[ServiceFigures]
