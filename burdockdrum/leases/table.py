"""The leases in the replicated state.

The table has the newest grant of each lease and the last fencing number. It
has no notion of time: the lease manager of the leader decides when a lease
has expired.
"""

from collections.abc import Callable

import msgspec


class OpenEpoch(msgspec.Struct, frozen=True, kw_only=True, tag="open_epoch"):
    """Starts a new epoch, in which a new leader manages the leases.

    ``opener`` is unique to each period of leadership.
    """

    opener: str


class GrantLease(msgspec.Struct, frozen=True, kw_only=True, tag="grant_lease"):
    """Grants a lease in place of the grant numbered ``superseded``.

    ``attempt_id`` identifies the request, so that a retry gets the same
    grant.
    """

    epoch: int
    name: str
    holder_id: str
    holder_incarnation: int
    attempt_id: str
    superseded: int


class ReleaseLease(
    msgspec.Struct, frozen=True, kw_only=True, tag="release_lease"
):
    """Releases a lease, which may then be granted at once."""

    name: str
    fencing: int


LeaseCommand = OpenEpoch | GrantLease | ReleaseLease


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """The newest grant of a lease.

    ``fencing`` is larger than in all earlier grants of any lease.
    """

    name: str
    holder_id: str
    holder_incarnation: int
    attempt_id: str
    fencing: int


class LeaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a command; ``grant`` is the newest grant of the lease.

    ``first`` says that no earlier grant can be in use: there was none, or it
    was released.
    """

    done: bool
    epoch: int
    grant: Grant | None = None
    first: bool = False


class LeaseTableSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the table."""

    epoch: int
    opener: str
    last_fencing: int
    grants: list[Grant]


class LeaseTable:
    """The grants by lease name, changed by one command at a time."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.epoch = 0
        self.opener = ""
        self.grants_by_name: dict[str, Grant] = {}
        self.listeners: list[Callable[[Grant], None]] = []
        self._last_fencing = 0

    def apply(self, command: LeaseCommand) -> LeaseResult:
        """Apply a command."""
        match command:
            case OpenEpoch(opener=opener):
                return self._open(opener)
            case GrantLease():
                return self._grant(command)
            case ReleaseLease(name=name, fencing=fencing):
                return self._release(name, fencing)

    def snapshot(self) -> LeaseTableSnapshot:
        """Return the content of the table."""
        return LeaseTableSnapshot(
            epoch=self.epoch,
            opener=self.opener,
            last_fencing=self._last_fencing,
            grants=list(self.grants_by_name.values()),
        )

    def restore(self, snapshot: LeaseTableSnapshot) -> None:
        """Replace the content of the table."""
        self.epoch = snapshot.epoch
        self.opener = snapshot.opener
        self._last_fencing = snapshot.last_fencing
        self.grants_by_name = {g.name: g for g in snapshot.grants}

    def _open(self, opener: str) -> LeaseResult:
        # A duplicate of the command must not start another epoch.
        if opener != self.opener:
            self.epoch += 1
            self.opener = opener
        return LeaseResult(done=True, epoch=self.epoch)

    def _grant(self, command: GrantLease) -> LeaseResult:
        current = self.grants_by_name.get(command.name)
        if current and current.attempt_id == command.attempt_id:
            return LeaseResult(done=True, epoch=self.epoch, grant=current)
        newest = current.fencing if current else 0
        # The proposer has checked that the previous grant had expired. In a
        # later epoch another leader may have renewed it, and the lease would
        # have two holders.
        if command.epoch != self.epoch or command.superseded != newest:
            return LeaseResult(done=False, epoch=self.epoch, grant=current)
        self._last_fencing += 1
        grant = Grant(
            name=command.name,
            holder_id=command.holder_id,
            holder_incarnation=command.holder_incarnation,
            attempt_id=command.attempt_id,
            fencing=self._last_fencing,
        )
        self.grants_by_name[command.name] = grant
        for listener in self.listeners:
            listener(grant)
        return LeaseResult(
            done=True, epoch=self.epoch, grant=grant, first=current is None
        )

    def _release(self, name: str, fencing: int) -> LeaseResult:
        current = self.grants_by_name.get(name)
        if current is None or current.fencing != fencing:
            return LeaseResult(done=False, epoch=self.epoch, grant=current)
        del self.grants_by_name[name]
        return LeaseResult(done=True, epoch=self.epoch)
