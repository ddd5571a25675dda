"""Checks a recorded history of a replicated log for linearizability.

The log gives each operation an index, so no search over orders (Wing and
Gong, 1993) is needed: an acknowledged command is at its index and at no
earlier one, indexes follow real time, a read includes all commands
acknowledged before it began, and all members apply the same commands.
"""

from dataclasses import dataclass
from dataclasses import field
import math


class Violation(AssertionError):
    """The history violates a guarantee of the log."""


@dataclass(kw_only=True)
class Operation:
    """A command or, without one, a read; times are the loop's seconds.

    ``index`` is the index that the log returned, None while it is unknown.
    ``refused`` says that the log rejected the command for good.
    """

    command: bytes | None
    began: float
    ended: float = math.inf
    index: int | None = None
    refused: bool = False


@dataclass(kw_only=True)
class History:
    """The clients' operations, the applied commands and the leaders."""

    operations: list[Operation] = field(default_factory=list)
    commands_by_index: dict[int, bytes] = field(default_factory=dict)
    leaders_by_term: dict[int, str] = field(default_factory=dict)

    def record_applied(self, vm_id: str, index: int, command: bytes) -> None:
        """Record an applied command and compare it among members."""
        known = self.commands_by_index.setdefault(index, command)
        if known != command:
            raise Violation(
                f"{vm_id} applied {command!r} at {index}, another {known!r}"
            )

    def record_leader(self, vm_id: str, term: int) -> None:
        """Record a leader and check that its term has no other."""
        known = self.leaders_by_term.setdefault(term, vm_id)
        if known != vm_id:
            raise Violation(f"{known} and {vm_id} lead in term {term}")

    def check_leases(self, holders: list[str]) -> None:
        """Check that at most one member holds a lease at a time."""
        if len(holders) > 1:
            raise Violation(f"leases held at once: {', '.join(holders)}")

    def check_final(self, commands: list[bytes]) -> None:
        """Compare a member's final commands with all applied commands.

        An applied command that is missing at the end was lost, even if no
        other command is at its index.
        """
        applied = [c for _, c in sorted(self.commands_by_index.items())]
        if commands != applied:
            missing = [c for c in applied if c not in commands]
            raise Violation(f"applied once and lost at the end: {missing}")

    def check(self) -> None:
        """Check the operations against the applied commands.

        :raises Violation: if one of them was lost, reordered or stale
        """
        index_by_command: dict[bytes, int] = {}
        for index, command in sorted(self.commands_by_index.items()):
            index_by_command.setdefault(command, index)
        for operation in self.operations:
            self._check_index(operation, index_by_command)
        self._check_real_time(index_by_command)

    def _check_index(
        self, operation: Operation, index_by_command: dict[bytes, int]
    ) -> None:
        command = operation.command
        if command is None:
            return
        if operation.refused and command in index_by_command:
            raise Violation(f"{command!r} was refused and yet applied")
        if operation.index is not None:
            found = self.commands_by_index.get(operation.index)
            if found != command:
                raise Violation(
                    f"{command!r} was acknowledged at {operation.index}, "
                    f"where {found!r} is"
                )

    def _check_real_time(self, index_by_command: dict[bytes, int]) -> None:
        ended = sorted(
            (op for op in self.operations if op.index is not None),
            key=lambda op: op.ended,
        )
        newest = 0
        position = 0
        for operation in sorted(self.operations, key=lambda op: op.began):
            while (
                position < len(ended)
                and ended[position].ended < operation.began
            ):
                newest = max(newest, ended[position].index or 0)
                position += 1
            index = self._index_of(operation, index_by_command)
            if index is None:
                continue
            is_read = operation.command is None
            if index < newest or (index == newest and not is_read):
                raise Violation(
                    f"{operation} follows one that ended at index {newest}"
                )

    def _index_of(
        self, operation: Operation, index_by_command: dict[bytes, int]
    ) -> int | None:
        if operation.index is not None or operation.command is None:
            return operation.index
        return index_by_command.get(operation.command)
