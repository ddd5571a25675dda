"""Check a recorded history of a replicated log.

The log gives a total order, so linearizability comes down to this: an
acknowledged command stands at its index and nowhere else before, what
returned before another operation began has the smaller index, a read
includes all that was acknowledged before it began, and all members apply
the same at each index. No search over orders (Wing and Gong, 1993) is
needed, since each operation names its place.
"""

from dataclasses import dataclass
from dataclasses import field
import math


class Violation(AssertionError):
    """The history shows that the log broke a promise."""


@dataclass(kw_only=True)
class Operation:
    """A command or, without one, a read; times are the loop's seconds.

    ``index`` is the place that the log answered, None while it is unknown.
    ``refused`` says that the log promised never to apply the command.
    """

    command: bytes | None
    began: float
    ended: float = math.inf
    index: int | None = None
    refused: bool = False


@dataclass(kw_only=True)
class History:
    """What clients saw, what members applied and who led."""

    operations: list[Operation] = field(default_factory=list)
    commands_by_index: dict[int, bytes] = field(default_factory=dict)
    leaders_by_term: dict[int, str] = field(default_factory=dict)

    def note_applied(self, vm_id: str, index: int, command: bytes) -> None:
        """Compare what a member applies with what another did."""
        known = self.commands_by_index.setdefault(index, command)
        if known != command:
            raise Violation(
                f"{vm_id} applied {command!r} at {index}, another {known!r}"
            )

    def note_leader(self, vm_id: str, term: int) -> None:
        """Compare the leader of a term with an earlier one of it."""
        known = self.leaders_by_term.setdefault(term, vm_id)
        if known != vm_id:
            raise Violation(f"{known} and {vm_id} lead in term {term}")

    def note_leases(self, holders: list[str]) -> None:
        """Check who holds a lease at one moment of true time."""
        if len(holders) > 1:
            raise Violation(f"leases held at once: {', '.join(holders)}")

    def check_final(self, commands: list[bytes]) -> None:
        """Compare a member's commands at the end with all that was applied.

        A command that was applied once and is not there at the end was lost,
        also where nothing but a leader's first entry took its place.
        """
        applied = [c for _, c in sorted(self.commands_by_index.items())]
        if commands != applied:
            missing = [c for c in applied if c not in commands]
            raise Violation(f"applied once and lost at the end: {missing}")

    def check(self) -> None:
        """Check the operations against what was applied.

        :raises Violation: if one of them was lost, misplaced or stale
        """
        index_by_command: dict[bytes, int] = {}
        for index, command in sorted(self.commands_by_index.items()):
            index_by_command.setdefault(command, index)
        for operation in self.operations:
            self._check_place(operation, index_by_command)
        self._check_real_time(index_by_command)

    def _check_place(
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
        place = 0
        for operation in sorted(self.operations, key=lambda op: op.began):
            while place < len(ended) and ended[place].ended < operation.began:
                newest = max(newest, ended[place].index or 0)
                place += 1
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
