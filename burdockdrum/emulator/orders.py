"""Orders that an emulated engine executes, and its weight store."""

import asyncio
from typing import Literal

import msgspec

from burdockdrum.ports import Clock

Role = Literal["both", "prefill", "decode"]


class StaleFencingNumber(Exception):
    """The fencing number of an order is below the highest one seen."""


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A command to an engine; ``value`` is the version, adapter or role."""

    order_id: str
    kind: Literal["load_version", "load_adapter", "unload_adapter", "set_role"]
    value: str
    fencing_number: int


class WeightStore:
    """A weight store with a limited total bandwidth."""

    def __init__(self, *, clock: Clock, bytes_per_second: float) -> None:
        """Create a store without downloads."""
        self._clock = clock
        self._rate = bytes_per_second
        self._download_lock = asyncio.Lock()
        self.loads = 0

    async def load(self, size: float) -> None:
        """Download ``size`` bytes; downloads run one at a time."""
        async with self._download_lock:
            await self._clock.sleep(size / self._rate)
            self.loads += 1


class OrderBook:
    """The versions, adapters and role of an engine, changed by orders.

    If ``checks_fencing`` is false, orders with a stale fencing number are
    executed too, as some deployed engines do.
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
        """Create the state with what is loaded initially."""
        self.versions = versions
        self.adapters = adapters
        self.role: Role = role
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._weight_bytes = weight_bytes
        self._highest_fencing_number = 0
        self._applied_order_ids: set[str] = set()
        self.orders: list[Order] = []

    async def carry_out(self, order: Order) -> None:
        """Execute an order; a repeated order id has no effect.

        :raises OldFencingNumber: if fencing is checked and the number is
            below the highest seen
        """
        if (
            order.fencing_number < self._highest_fencing_number
            and self._checks_fencing
        ):
            raise StaleFencingNumber(
                f"{order.fencing_number} is below "
                f"{self._highest_fencing_number}"
            )
        self._highest_fencing_number = max(
            self._highest_fencing_number, order.fencing_number
        )
        if order.order_id in self._applied_order_ids:
            return
        self._applied_order_ids.add(order.order_id)
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
