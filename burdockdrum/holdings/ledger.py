"""What endpoints have said that they hold, as this entry knows."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.holdings.messages import HeldChange


@dataclass(kw_only=True)
class Memory:
    """The memory of one endpoint, as it said itself.

    ``heard_at`` is when it was last heard of, on the monotonic clock. One
    that ``is_silent`` does not answer who asks it what it holds.
    """

    endpoint_id: str
    address: str
    data_centre: str
    epoch: int
    number: int
    heard_at: float
    is_silent: bool = False
    tokens_by_part: dict[str, int] = field(default_factory=dict)


class HoldingsLedger:
    """The memories of endpoints by id, and who holds each part."""

    def __init__(self) -> None:
        """Know of no endpoint."""
        self.listeners: list[Callable[[HeldChange], None]] = []
        self._memories_by_id: dict[str, Memory] = {}
        self._ids_by_part: dict[str, set[str]] = {}

    @property
    def memories_by_id(self) -> Mapping[str, Memory]:
        """Return what is known of each endpoint."""
        return self._memories_by_id

    def find(self, endpoint_id: str) -> Memory | None:
        """Return what is known of an endpoint, None if nothing is."""
        return self._memories_by_id.get(endpoint_id)

    def holders(self, part_id: str) -> Iterable[Memory]:
        """Return the memories that hold something of a part."""
        for endpoint_id in self._ids_by_part.get(part_id, ()):
            yield self._memories_by_id[endpoint_id]

    def take(self, change: HeldChange, now: float) -> bool:
        """Take in what an endpoint has said.

        :returns: whether it was news
        """
        memory = self._memories_by_id.get(change.endpoint_id)
        if memory is None or memory.epoch != change.epoch:
            self.forget(change.endpoint_id)
            memory = self._add(change, now)
        elif not _is_newer(change, memory):
            return False
        memory.heard_at = now
        memory.number = change.number
        memory.is_silent = change.is_silent
        if change.whole:
            gone = memory.tokens_by_part.keys() - change.tokens_by_part.keys()
            for part_id in gone:
                self._put(memory, part_id, 0)
        for part_id, tokens in change.tokens_by_part.items():
            self._put(memory, part_id, tokens)
        for listener in self.listeners:
            listener(change)
        return True

    def read_whole(self, endpoint_id: str) -> HeldChange | None:
        """Return all that is known of an endpoint, as one change."""
        memory = self._memories_by_id.get(endpoint_id)
        if memory is None:
            return None
        return HeldChange(
            endpoint_id=endpoint_id,
            address=memory.address,
            data_centre=memory.data_centre,
            epoch=memory.epoch,
            number=memory.number,
            tokens_by_part=dict(memory.tokens_by_part),
            whole=True,
            is_silent=memory.is_silent,
        )

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        memory = self._memories_by_id.get(endpoint_id)
        if memory is None:
            return
        for part_id in list(memory.tokens_by_part):
            self._put(memory, part_id, 0)
        del self._memories_by_id[endpoint_id]

    def forget_unheard(self, since: float, kept: Container[str]) -> None:
        """Forget the endpoints that were not heard of, but for some."""
        for endpoint_id, memory in list(self._memories_by_id.items()):
            if endpoint_id not in kept and memory.heard_at < since:
                self.forget(endpoint_id)

    def _add(self, change: HeldChange, now: float) -> Memory:
        memory = Memory(
            endpoint_id=change.endpoint_id,
            address=change.address,
            data_centre=change.data_centre,
            epoch=change.epoch,
            number=change.number,
            heard_at=now,
        )
        self._memories_by_id[change.endpoint_id] = memory
        return memory

    def _put(self, memory: Memory, part_id: str, tokens: int) -> None:
        if tokens > 0:
            memory.tokens_by_part[part_id] = tokens
            ids = self._ids_by_part.setdefault(part_id, set())
            ids.add(memory.endpoint_id)
            return
        memory.tokens_by_part.pop(part_id, None)
        holding = self._ids_by_part.get(part_id)
        if holding is not None:
            holding.discard(memory.endpoint_id)
            if not holding:
                del self._ids_by_part[part_id]


def _is_newer(change: HeldChange, memory: Memory) -> bool:
    if change.number == memory.number:
        return change.whole or change.is_silent != memory.is_silent
    return change.number > memory.number
