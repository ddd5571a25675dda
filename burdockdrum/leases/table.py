"""The part of the agreed state that says who holds which lease.

It knows no time: when a lease has run out is for the ``LeaseKeeper`` of the
log's leader to say. What must outlast every VM is here: which grant is the
newest of a name, and the last fencing number.
"""

from collections.abc import Callable

import msgspec


class OpenEpoch(msgspec.Struct, frozen=True, kw_only=True, tag="open_epoch"):
    """A new leader of the log takes over the keeping of leases.

    ``opener`` is unlike that of any other start of any leadership.
    """

    opener: str


class GrantLease(msgspec.Struct, frozen=True, kw_only=True, tag="grant_lease"):
    """Grant a lease whose grant before is ``superseded``.

    ``attempt_id`` names the request for it, so that a resent request gets
    the first's grant.
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
    """Give a lease back; it may be granted to another at once."""

    name: str
    fencing: int


LeaseCommand = OpenEpoch | GrantLease | ReleaseLease


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """The newest grant of a name.

    ``fencing`` is larger than that of every grant before it, of any name.
    """

    name: str
    holder_id: str
    holder_incarnation: int
    attempt_id: str
    fencing: int


class LeaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a command; ``grant`` is the newest of its name.

    ``first`` says that nobody can hold an earlier grant of the name still:
    there was none, or it was given back.
    """

    done: bool
    epoch: int
    grant: Grant | None = None
    first: bool = False


class LeaseTableSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All that the table holds."""

    epoch: int
    opener: str
    last_fencing: int
    grants: list[Grant]


class LeaseTable:
    """The grants by name, changed by one command at a time."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.epoch = 0
        self.opener = ""
        self.grants_by_name: dict[str, Grant] = {}
        self.listeners: list[Callable[[Grant], None]] = []
        self._last_fencing = 0

    def apply(self, command: LeaseCommand) -> LeaseResult:
        """Carry out a command."""
        match command:
            case OpenEpoch(opener=opener):
                return self._open(opener)
            case GrantLease():
                return self._grant(command)
            case ReleaseLease(name=name, fencing=fencing):
                return self._release(name, fencing)

    def snapshot(self) -> LeaseTableSnapshot:
        """Return all that the table holds."""
        return LeaseTableSnapshot(
            epoch=self.epoch,
            opener=self.opener,
            last_fencing=self._last_fencing,
            grants=list(self.grants_by_name.values()),
        )

    def restore(self, snapshot: LeaseTableSnapshot) -> None:
        """Replace all that the table holds."""
        self.epoch = snapshot.epoch
        self.opener = snapshot.opener
        self._last_fencing = snapshot.last_fencing
        self.grants_by_name = {g.name: g for g in snapshot.grants}

    def _open(self, opener: str) -> LeaseResult:
        # A command that arrives twice must not close the epoch it opened.
        if opener != self.opener:
            self.epoch += 1
            self.opener = opener
        return LeaseResult(done=True, epoch=self.epoch)

    def _grant(self, command: GrantLease) -> LeaseResult:
        current = self.grants_by_name.get(command.name)
        if current and current.attempt_id == command.attempt_id:
            return LeaseResult(done=True, epoch=self.epoch, grant=current)
        newest = current.fencing if current else 0
        # Whoever proposed this judged that the grant before had run out.
        # In a later epoch that judgement is void: another leader may have
        # renewed that grant since, and two would hold at once.
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
