"""Messages between lease holders and control VMs.

They are encoded as arrays to save bytes, so that new fields go at the end.
"""

from burdockdrum.leases.table import Grant
from burdockdrum.peers import Message


class AcquireLeaseRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Acquires a lease; retries have the same ``attempt_id``."""

    wire_kind = "leases.AcquireLease"

    name: str
    attempt_id: str


class RenewLeasesRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Renews all leases of a VM."""

    wire_kind = "leases.RenewLeases"

    fencing_by_name: dict[str, int]


class ReleaseLeaseRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Releases a lease under which no order is in flight any more."""

    wire_kind = "leases.GiveBackLease"

    name: str
    fencing: int


class LeaseResponse(Message, frozen=True, kw_only=True, array_like=True):
    """The response to each of these requests.

    ``from_leader`` is false if the sender doesn't lead; ``leader_id`` is then
    a hint. ``lost`` names the leases that the caller no longer holds; the
    others that it asked to renew are renewed. ``first`` says that no earlier
    grant can be in use. ``retry_after`` is in seconds.
    """

    wire_kind = "leases.LeaseAnswer"

    from_leader: bool
    leader_id: str | None = None
    grant: Grant | None = None
    first: bool = False
    lost: list[str] = []
    retry_after: float = 0.0
