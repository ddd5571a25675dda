"""How revisions travel between VMs, and where they are in force.

The structs that travel often are arrays on the wire, to spend few bytes;
fields are only ever added at their ends.
"""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Resource
from burdockdrum.resources import Revised


class Propose(Message, frozen=True, kw_only=True):
    """Ask a control VM to make a change; ``timeout`` is in seconds."""

    change: Change
    timeout: float


class Proposed(Message, frozen=True, kw_only=True):
    """What became of a proposed change.

    ``leader_id`` is a hint whom to ask the next time. Without a result,
    ``may_apply`` says whether the change may have been accepted or may be
    yet.
    """

    result: ChangeResult | None = None
    may_apply: bool = False
    reason: str = ""
    leader_id: str | None = None


class Report(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Which revision the VMs of a data centre have in force.

    Those that ``behind`` does not name have ``revision`` or a later one.
    ``vm_ids`` is None while the receiver has shown, by ``vm_ids_digest``,
    that it knows them.
    """

    data_centre: str
    revision: int
    behind: dict[str, int]
    vm_ids_digest: int
    vm_ids: list[str] | None = None


class Follow(Message, frozen=True, kw_only=True, array_like=True):
    """A follower's sign of life to its source, and acknowledgement.

    ``sent_at`` is of the follower's clock and comes back in the updates.
    ``content`` asks for the changes after ``revision``, ``snapshot`` for
    everything. ``control_digest`` tells which control VMs it knows. One that
    ``waits`` does not know yet what to serve by.
    """

    revision: int
    digest: int
    sent_at: float
    content: bool = True
    snapshot: bool = False
    report: Report | None = None
    control_digest: int = 0
    waits: bool = False


class Update(Message, frozen=True, kw_only=True, array_like=True):
    """What a source has in force, and what the follower lacks of it.

    ``age`` is how many seconds before the follower's last message arrived a
    control VM knew that nothing newer had been accepted, as far as the source
    knows; 0 if it has made sure since, None if it never heard.
    ``known`` says that the source itself serves by this revision. ``echo``
    is the ``sent_at`` of the follower's last message. ``control_addresses``
    are those of the control VMs by id, if the follower knows others. From
    a source that is ``leaving`` the follower turns to another one.
    """

    revision: int
    digest: int
    echo: float
    age: float | None
    known: bool
    changes: list[Revised] = []
    resources: list[Resource] | None = None
    vm_ids_digest: int = 0
    control_addresses: dict[str, str] | None = None
    leaving: bool = False


class InForceQuery(Message, frozen=True, kw_only=True):
    """Ask a control VM for the reports that it holds."""


class AgedReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report and how many seconds ago it came."""

    report: Report
    age: float


class InForceReply(Message, frozen=True, kw_only=True):
    """The reports that a control VM holds."""

    reports: list[AgedReport]
