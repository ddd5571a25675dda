"""One seed of the soak of evacuations that are ordered and taken back.

An operator moves on to another control VM after a second without a response,
while control VMs are paused, killed and started again. What was acknowledged
last must hold, whichever copies of earlier orders arrive late.
"""

import asyncio
from dataclasses import dataclass
import signal
import time

from burdockdrum.histories import RetryHistory
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Machine
from scripts.soak.failing_endpoint import FailingEndpoint
from scripts.soak.retries import ENDPOINTS
from scripts.soak.retries import RetrySoak

REQUEST_RATE = 30.0
# Operators try another control VM after so long without a response, and give
# an order up after the second time.
RESPONSE_SECONDS = 1.0
ORDER_SECONDS = 6.0
ORDER_INTERVAL_SECONDS = (0.1, 1.5)
FAULT_INTERVAL_SECONDS = (0.3, 2.0)
# Until control VMs have recovered and entries know the last order.
SETTLED_SECONDS = 8.0
JUDGED_SECONDS = 3.0


@dataclass(kw_only=True)
class LastOrder:
    """The last order on a zone; in doubt unless it was acknowledged."""

    evacuated: bool = False
    is_acknowledged: bool = True


class EvacuationSoak(RetrySoak):
    """A deployment whose zones are evacuated again and again."""

    def __init__(self, seed: int, *, entries: int = 1) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=REQUEST_RATE)
        self._weights = {"s": 1, "t": 0}
        zones = self.deployment.zones
        self._history_by_zone = {zone: RetryHistory() for zone in zones}
        self._order_by_zone = {zone: LastOrder() for zone in zones}
        self.orders = self.resent = 0
        self.endpoints = [
            FailingEndpoint(
                rng=self.rng,
                service=next(iter(ENDPOINTS)),
                zone=zone,
                history=self._history_by_zone[zone],
            )
            for zone in zones
            for _ in range(2)
        ]

    async def inject_faults(self) -> None:
        """Order evacuations beside faults of control VMs."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb_control())
            for zone in self.deployment.zones:
                group.create_task(self._operate(zone))

    async def settle(self) -> None:
        """Compare what is in force with the last orders."""
        for machine in self.deployment.control:
            if machine.is_stopping:
                # The end of the faults cancelled its restart.
                await machine.wait_until_exited()
            if machine.process is None:
                await machine.start()
            else:
                machine.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLED_SECONDS)
        await self._order_beside_pause()
        await asyncio.sleep(SETTLED_SECONDS)
        await self._judge()

    async def _order_beside_pause(self) -> None:
        """Let a paused control VM read orders that others were given."""
        paused = self.rng.choice(self.deployment.control)
        paused.send_signal(signal.SIGSTOP)
        async with asyncio.TaskGroup() as group:
            for zone in self.deployment.zones:
                group.create_task(self._order_in_series(zone, paused))
        paused.send_signal(signal.SIGCONT)

    async def _order_in_series(self, zone: str, paused: Machine) -> None:
        """Order several times, at first at a control VM that is paused."""
        await _send(paused, *self._begin_order(zone))
        await self._end_order(zone)
        for _ in range(self.rng.randint(1, 2)):
            self._begin_order(zone)
            await self._end_order(zone)

    async def _disturb_control(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))
                fault = self.rng.choice(
                    [self.pause_control, self.pause_control, self._kill_one]
                )
                group.create_task(self._inject(fault))

    async def _kill_one(self) -> None:
        await self._restart([self.rng.choice(self.deployment.control)])

    async def _operate(self, zone: str) -> None:
        """Evacuate a zone and take it back, each until acknowledged."""
        while True:
            self._begin_order(zone)
            await self._end_order(zone)
            await asyncio.sleep(self.rng.uniform(*ORDER_INTERVAL_SECONDS))

    def _begin_order(self, zone: str) -> tuple[str, str]:
        """Begin the opposite of the last order; return method and path."""
        evacuated = not self._order_by_zone[zone].evacuated
        self._order_by_zone[zone] = LastOrder(
            evacuated=evacuated, is_acknowledged=False
        )
        self.orders += 1
        return self._request_of(zone)

    def _request_of(self, zone: str) -> tuple[str, str]:
        evacuated = self._order_by_zone[zone].evacuated
        return "POST" if evacuated else "DELETE", f"/v1/evac/{zone}"

    async def _end_order(self, zone: str) -> None:
        """Send an order until it is acknowledged or given up."""
        ends_at = time.monotonic() + ORDER_SECONDS
        backoff = 0.0
        while time.monotonic() < ends_at:
            machine = self.rng.choice(self.deployment.control)
            if await _send(machine, *self._request_of(zone)) == 200:
                self._order_by_zone[zone].is_acknowledged = True
                return
            self.resent += 1
            backoff += 0.1
            await asyncio.sleep(backoff)

    async def _judge(self) -> None:
        """Compare where requests arrive with the last orders."""
        before = self._count_arrivals()
        await asyncio.sleep(JUDGED_SECONDS)
        after = self._count_arrivals()
        for zone, order in self._order_by_zone.items():
            arrived = after[zone] - before[zone]
            if order.is_acknowledged and order.evacuated == bool(arrived):
                self.violations.append(
                    f"zone {zone}: {arrived} requests arrived, the last order "
                    f"was acknowledged: {order}"
                )

    def _count_arrivals(self) -> dict[str, int]:
        return {
            zone: len(history.arrived)
            for zone, history in self._history_by_zone.items()
        }

    def check(self) -> list[str]:
        """Return what was violated."""
        return self.violations

    def summarize(self) -> str:
        """Return how many orders there were."""
        return f"{self.orders} orders, sent again {self.resent} times"


async def _send(machine: Machine, method: str, path: str) -> int:
    """Send an order; return the status, 0 without one in time."""
    writer = None
    try:
        async with asyncio.timeout(RESPONSE_SECONDS):
            reader, writer = await asyncio.open_connection(
                machine.ip, CONTROL_PORT
            )
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
            )
            head = (await reader.read()).split(b" ")
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
    return int(head[1]) if len(head) > 1 else 0
