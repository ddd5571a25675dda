"""What the holders of leases and the control VMs tell each other.

They are arrays on the wire, to spend few bytes; fields are only ever added
at their ends.
"""

from burdockdrum.leases.table import Grant
from burdockdrum.peers import Message


class AcquireLease(Message, frozen=True, kw_only=True, array_like=True):
    """Ask for a lease; a resent request bears the same ``attempt_id``."""

    name: str
    attempt_id: str


class RenewLeases(Message, frozen=True, kw_only=True, array_like=True):
    """Renew all leases of a VM at once."""

    fencing_by_name: dict[str, int]


class GiveBackLease(Message, frozen=True, kw_only=True, array_like=True):
    """Give a lease back: no order under it is in flight any more."""

    name: str
    fencing: int


class LeaseAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """What the log's leader says to any of these.

    ``is_keeper`` is false where another VM leads: ``leader_id`` is a hint.
    ``lost`` are the names whose grants are the caller's no more; from the
    keeper, the others that it asked to renew are renewed. ``retry_after`` is
    in seconds.
    """

    is_keeper: bool
    leader_id: str | None = None
    grant: Grant | None = None
    first: bool = False
    lost: list[str] = []
    retry_after: float = 0.0
