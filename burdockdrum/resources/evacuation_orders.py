"""The number of the last order on the evacuation of each data centre."""

from collections.abc import Callable

import msgspec

# More data centres than operators have. Of those beyond, the number is not
# told from that of others.
MAX_DATA_CENTRES = 1000


class EvacuationOrdersSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The numbers; ``floor`` is that of data centres that aren't listed."""

    numbers_by_data_centre: dict[str, int] = {}
    floor: int = 0
    last: int = 0


class EvacuationOrders:
    """Numbers that grow with each order that is applied.

    Orders carry no identity. The number that was known before an order was
    sent tells whether another one has been applied since.
    """

    def __init__(self) -> None:
        """Create it without orders."""
        # Called with a data centre and the number before a change.
        self.listeners: list[Callable[[str, int], None]] = []
        self._numbers_by_data_centre: dict[str, int] = {}
        self._floor = 0
        self._last = 0

    def number_of(self, data_centre: str) -> int:
        """Return the number of the last order that was applied."""
        return self._numbers_by_data_centre.get(data_centre, self._floor)

    def advance(self, data_centre: str) -> None:
        """Give an order that was applied the next number."""
        before = self.number_of(data_centre)
        self._last += 1
        self._numbers_by_data_centre.pop(data_centre, None)
        self._numbers_by_data_centre[data_centre] = self._last
        if len(self._numbers_by_data_centre) > MAX_DATA_CENTRES:
            oldest = next(iter(self._numbers_by_data_centre))
            self._floor = self._numbers_by_data_centre.pop(oldest)
        self._notify(data_centre, before)

    def snapshot(self) -> EvacuationOrdersSnapshot:
        """Return the complete state."""
        return EvacuationOrdersSnapshot(
            numbers_by_data_centre=dict(self._numbers_by_data_centre),
            floor=self._floor,
            last=self._last,
        )

    def restore(self, snapshot: EvacuationOrdersSnapshot) -> None:
        """Replace the state."""
        names = {
            *self._numbers_by_data_centre,
            *snapshot.numbers_by_data_centre,
        }
        before = {name: self.number_of(name) for name in names}
        self._numbers_by_data_centre = dict(snapshot.numbers_by_data_centre)
        self._floor = snapshot.floor
        self._last = snapshot.last
        for name, number in before.items():
            if number != self.number_of(name):
                self._notify(name, number)

    def _notify(self, data_centre: str, before: int) -> None:
        for listener in self.listeners:
            listener(data_centre, before)
