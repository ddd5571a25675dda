"""Messages of the membership protocol and of data centre summaries."""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.peers import VmIdentity
from burdockdrum.timeline import Stamp


class ServiceSummary(msgspec.Struct, frozen=True, kw_only=True):
    """The capacity of a data centre for one service.

    ``slots`` is the capacity of the live endpoints, ``room`` the number of
    requests that could start at once, ``queue_seconds`` the wait of a new
    request and ``warmth`` the fraction of endpoints, from 0 to 1, that have
    served for a while.
    """

    service: str
    endpoints: int
    slots: int
    room: int
    queue_seconds: float
    warmth: float = 1.0


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One value of a publication; ``value`` is nil if it was dropped."""

    topic: int
    key: int
    value: msgspec.Raw


class Changes(Message, frozen=True, kw_only=True, array_like=True):
    """The changes of a VM's publication after sequence ``since``.

    If ``full`` is set, the records are the whole publication. A VM also
    forwards its copy of another VM's publication in this form.
    """

    vm_id: str
    incarnation: int
    since: int
    sequence: int
    full: bool
    records: list[Record]


class ChangesQuery(Message, frozen=True, kw_only=True, array_like=True):
    """A query for changes of a VM's publication after sequence ``have``.

    It is sent to that VM or to a third one, whose reply shows that the VM is
    alive although the direct link fails.
    """

    wire_kind = "vms.Ask"

    vm_id: str
    incarnation: int
    have: int


class Hello(Message, frozen=True, kw_only=True):
    """A VM's announcement to another, answered by ``Welcome``.

    ``digest`` is a checksum over the live VMs that it knows in its data
    centre, ``remote_digest`` one over the data centres.
    """

    identity: VmIdentity
    digest: int
    remote_digest: int


class Welcome(Message, frozen=True, kw_only=True):
    """The reply to a hello, with VMs that its sender may not know."""

    identity: VmIdentity
    vms: list[VmIdentity]


class ServiceFigures(msgspec.Struct, frozen=True, array_like=True):
    """The compact encoding of a ``ServiceSummary``, without the name.

    ``queue`` is in tenths of a second, ``warmth`` in hundredths.
    """

    endpoints: int
    slots: int
    room: int
    queue: int
    warmth: int


class EntryAddress(msgspec.Struct, frozen=True, array_like=True):
    """The address of an entry VM, whose data centre is sent beside it."""

    vm_id: str
    incarnation: int
    control_address: str
    http_address: str


class DataCentreSummary(Message, frozen=True, kw_only=True, array_like=True):
    """The summary of a data centre, sent to another one.

    ``made_at`` orders the summaries of a data centre across its VMs.
    ``entries`` are a few VMs to forward to; ``figures`` has an item for each
    item of ``services``.
    """

    data_centre: str
    region: str
    made_at: Stamp
    revision: int
    entries: list[EntryAddress]
    services: list[str]
    figures: list[ServiceFigures]
