"""Messages that propose changes, distribute revisions and report them.

Frequent messages are encoded as arrays to save bytes, so that new fields go
at the end.
"""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Resource
from burdockdrum.resources import Revised


class Propose(Message, frozen=True, kw_only=True):
    """Asks a control VM to commit a change; ``timeout`` is in seconds."""

    change: Change
    timeout: float


class ProposeReply(Message, frozen=True, kw_only=True):
    """The outcome of a proposed change.

    ``leader_id`` is a hint for the next request. Without a result,
    ``may_apply`` says whether the change may still be accepted, or may have
    been.
    """

    wire_kind = "configuration.Proposed"

    result: ChangeResult | None = None
    may_apply: bool = False
    reason: str = ""
    leader_id: str | None = None


class Report(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The revisions in force on the VMs of a data centre.

    VMs that are not in ``behind`` have ``revision`` or a later one.
    ``vm_ids`` is None if the receiver is known, by ``vm_ids_digest``, to have
    them already.
    """

    data_centre: str
    revision: int
    behind: dict[str, int]
    vm_ids_digest: int
    vm_ids: list[str] | None = None


class Follow(Message, frozen=True, kw_only=True, array_like=True):
    """Heartbeat and acknowledgement of a follower to its source.

    ``sent_at`` is of the follower's clock and is echoed in the updates.
    ``wants_changes`` requests the changes after ``revision``,
    ``wants_snapshot`` the whole configuration. ``control_digest`` is that of
    the control VMs that the follower knows. ``awaiting_sync`` says that it is
    not synchronized yet since its start.
    """

    revision: int
    digest: int
    sent_at: float
    wants_changes: bool = True
    wants_snapshot: bool = False
    report: Report | None = None
    control_digest: int = 0
    awaiting_sync: bool = False


class Update(Message, frozen=True, kw_only=True, array_like=True):
    """The revision of a source, with what the follower lacks.

    ``age`` is the time in seconds from the last confirmation by a control VM
    that this revision was the newest, to the arrival of the follower's last
    message; 0 if it was confirmed later, None if never. ``synced`` says that
    the source is synchronized. ``echo`` is the ``sent_at`` of the follower's
    last message. ``control_addresses`` are the addresses of the control VMs
    by id, if the follower has others. Followers leave a source that is
    ``draining``.
    """

    revision: int
    digest: int
    echo: float
    age: float | None
    synced: bool
    changes: list[Revised] = []
    resources: list[Resource] | None = None
    vm_ids_digest: int = 0
    control_addresses: dict[str, str] | None = None
    draining: bool = False


class InForceQuery(Message, frozen=True, kw_only=True):
    """Requests the reports that a control VM has."""


class AgedReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report and its age in seconds."""

    report: Report
    age: float


class InForceReply(Message, frozen=True, kw_only=True):
    """The reports that a control VM has."""

    reports: list[AgedReport]
