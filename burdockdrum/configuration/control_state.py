"""The state machine of the replicated log: resources and leases."""

import msgspec

from burdockdrum.leases import GrantLease
from burdockdrum.leases import LeaseResult
from burdockdrum.leases import LeaseTable
from burdockdrum.leases import LeaseTableSnapshot
from burdockdrum.leases import OpenEpoch
from burdockdrum.leases import ReleaseLease
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Delete
from burdockdrum.resources import INVALID
from burdockdrum.resources import Put
from burdockdrum.resources import ReplaceRoutes
from burdockdrum.resources import ResourceStore
from burdockdrum.resources import SetEvacuation
from burdockdrum.resources import StoreSnapshot

Command = (
    Put
    | Delete
    | ReplaceRoutes
    | SetEvacuation
    | OpenEpoch
    | GrantLease
    | ReleaseLease
)

SNAPSHOT_FORMAT = 1


class UnknownSnapshot(Exception):
    """The format of a snapshot is unknown to this version."""


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    format: int
    store: StoreSnapshot
    leases: LeaseTableSnapshot


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_change_result(result: bytes) -> ChangeResult:
    """Decode the result of a change."""
    return msgspec.msgpack.decode(result, type=ChangeResult)


def decode_lease_result(result: bytes) -> LeaseResult:
    """Decode the result of a lease command."""
    return msgspec.msgpack.decode(result, type=LeaseResult)


class ControlState:
    """The replicated state of a cluster, changed by one command at a time.

    It is deterministic and uses neither clocks nor random numbers, so that
    all control VMs reach the same state.
    """

    def __init__(self) -> None:
        """Create an empty state."""
        self.store = ResourceStore()
        self.leases = LeaseTable()
        self._decoder = msgspec.msgpack.Decoder(Command)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its encoded result.

        A command that can't be decoded changes nothing; an exception would
        crash all control VMs at the same entry after every restart.
        """
        try:
            decoded = self._decoder.decode(command)
        except msgspec.MsgspecError as error:
            result = ChangeResult(
                code=INVALID,
                revision=self.store.configuration.revision,
                message=f"unknown or invalid command: {error}",
            )
            return msgspec.msgpack.encode(result)
        match decoded:
            case Put() | Delete() | ReplaceRoutes() | SetEvacuation():
                return msgspec.msgpack.encode(self.store.apply(decoded))
            case _:
                return msgspec.msgpack.encode(self.leases.apply(decoded))

    def snapshot(self) -> bytes:
        """Return the whole state, including the results by change id."""
        return msgspec.msgpack.encode(
            _Snapshot(
                format=SNAPSHOT_FORMAT,
                store=self.store.snapshot(),
                leases=self.leases.snapshot(),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state.

        :raises UnknownSnapshot: if it was written by a later version
        """
        decoded = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        if decoded.format != SNAPSHOT_FORMAT:
            raise UnknownSnapshot(f"unknown snapshot format {decoded.format}")
        self.store.restore(decoded.store)
        self.leases.restore(decoded.leases)
