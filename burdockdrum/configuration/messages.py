"""How revisions travel between VMs."""

from burdockdrum.peers import Message
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Resource


class Propose(Message, frozen=True, kw_only=True):
    """Ask a control VM to make a change."""

    change: Change


class Proposed(Message, frozen=True, kw_only=True):
    """What became of a proposed change."""

    result: ChangeResult


class Snapshot(Message, frozen=True, kw_only=True):
    """All resources at a revision."""

    revision: int
    resources: list[Resource]


class InForce(Message, frozen=True, kw_only=True):
    """The revision that a VM has in force."""

    revision: int
