"""Orders to evacuate data centres, in the order in which they were sent.

An order has no identity, and may wait in the socket of a process that doesn't
run, on a link or in a queue while its sender, which got no response, has moved
on. Applied then, it would undo a later one. So each order carries the number
of the data centre's last order that this VM knew before the order was sent;
where changes are put in order, it changes nothing if there has been another.
"""

import collections
from dataclasses import dataclass

from burdockdrum.pauses import MAX_TICK_SECONDS
from burdockdrum.pauses import PauseDetector
from burdockdrum.ports import Clock
from burdockdrum.resources import ResourceStore
from burdockdrum.resources import SetEvacuation

# An established connection is accepted while the event loop turns once, which
# a running process does between two ticks. Its sender sent nothing before.
ACCEPT_SECONDS = 2 * MAX_TICK_SECONDS
# An order that a link has held up is followed by the end of its connection,
# if its sender has left, within two round trips between regions.
PRESENCE_SECONDS = 0.25
# Links hold up no order for longer.
MAX_DELAY_SECONDS = 60.0
MAX_RECORDS = 1000
_UNKNOWN_NUMBER = -1


@dataclass(frozen=True, kw_only=True)
class EvacuationOrder:
    """An order that an operator sent.

    ``connected_at`` is when its connection was accepted, by the monotonic
    clock; it was sent later than ``ACCEPT_SECONDS`` before.
    """

    data_centre: str
    evacuated: bool
    connected_at: float


@dataclass(frozen=True, kw_only=True)
class _Record:
    """The number of a data centre's last order until ``until``."""

    data_centre: str
    number: int
    until: float


class EvacuationOrderer:
    """Turns orders into changes that apply only in their order."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: ResourceStore,
        pauses: PauseDetector | None = None,
    ) -> None:
        """Record the orders that are applied here.

        :param pauses: detects pauses of this process; none if None
        """
        self._clock = clock
        self._orders = store.evacuation_orders
        self._pauses = pauses
        self._records: collections.deque[_Record] = collections.deque(
            maxlen=MAX_RECORDS
        )
        self._orders.listeners.append(self._record)

    async def make_change(self, order: EvacuationOrder) -> SetEvacuation:
        """Return the change that an order asks for.

        Waits a moment if the sender may have left, so that the caller can
        cancel it.
        """
        number = self._number_at(
            order.data_centre, self._latest_before_sent(order)
        )
        since = self._clock.monotonic() - MAX_DELAY_SECONDS
        if self._number_at(order.data_centre, since) != number:
            await self._clock.sleep(PRESENCE_SECONDS)
        return SetEvacuation(
            data_centre=order.data_centre,
            evacuated=order.evacuated,
            expected_order=number,
        )

    def _latest_before_sent(self, order: EvacuationOrder) -> float:
        """Return a time before which an order can't have been sent."""
        if self._pauses is None:
            return order.connected_at - ACCEPT_SECONDS
        return self._pauses.before(order.connected_at, ACCEPT_SECONDS)

    def _record(self, data_centre: str, before: int) -> None:
        self._records.append(
            _Record(
                data_centre=data_centre,
                number=before,
                until=self._clock.monotonic(),
            )
        )

    def _number_at(self, data_centre: str, at: float) -> int:
        """Return the number of the last order that was known at a time."""
        number = self._orders.number_of(data_centre)
        for record in reversed(self._records):
            if record.until <= at:
                return number
            if record.data_centre == data_centre:
                number = record.number
        is_full = len(self._records) == MAX_RECORDS
        return _UNKNOWN_NUMBER if is_full else number
