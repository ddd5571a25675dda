"""The orders that an engine takes, and the weight store behind them."""

import asyncio
from typing import Literal

import msgspec

from burdockdrum.ports import Clock

Role = Literal["both", "prefill", "decode"]


class OldFencingNumber(Exception):
    """The order is from a holder that has been replaced."""


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One thing an engine is told to do; ``value`` is what is named."""

    order_id: str
    kind: Literal["load_version", "load_adapter", "unload_adapter", "set_role"]
    value: str
    fencing_number: int


class WeightStore:
    """A store of weights that hands out so many bytes a second in all."""

    def __init__(self, *, clock: Clock, bytes_per_second: float) -> None:
        """Create an idle store."""
        self._clock = clock
        self._rate = bytes_per_second
        self._line = asyncio.Lock()
        self.loads = 0

    async def load(self, size: float) -> None:
        """Wait for a download of so many bytes; one at a time."""
        async with self._line:
            await self._clock.sleep(size / self._rate)
            self.loads += 1


class OrderBook:
    """What an engine has loaded, changed by orders only.

    Where ``checks_fencing`` is false, an order with an old number is carried
    out like any other: some deployed engines do that.
    """

    def __init__(
        self,
        *,
        versions: set[str],
        adapters: set[str],
        role: Role = "both",
        checks_fencing: bool = True,
        weights: WeightStore | None = None,
        weight_bytes: float = 1e9,
    ) -> None:
        """Create an order book with what is loaded at the start."""
        self.versions = versions
        self.adapters = adapters
        self.role: Role = role
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._weight_bytes = weight_bytes
        self._highest = 0
        self._carried_out: set[str] = set()
        self.orders: list[Order] = []

    async def carry_out(self, order: Order) -> None:
        """Carry out an order once; a repeated order id changes nothing.

        :raises OldFencingNumber: if fencing is checked and the number is
            below the highest seen
        """
        if order.fencing_number < self._highest and self._checks_fencing:
            raise OldFencingNumber(
                f"{order.fencing_number} is below {self._highest}"
            )
        self._highest = max(self._highest, order.fencing_number)
        if order.order_id in self._carried_out:
            return
        self._carried_out.add(order.order_id)
        self.orders.append(order)
        match order.kind:
            case "load_version":
                await self._load()
                self.versions.add(order.value)
            case "load_adapter":
                await self._load()
                self.adapters.add(order.value)
            case "unload_adapter":
                self.adapters.discard(order.value)
            case "set_role":
                self.role = msgspec.convert(order.value, Role)

    async def _load(self) -> None:
        if self._weights is not None:
            await self._weights.load(self._weight_bytes)
