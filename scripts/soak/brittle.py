"""One seed of the soak of endpoints that must not reject many requests.

Endpoints run few requests at once. While they are brittle, none may wait, and
one that rejects more than it announced in a second crashes. Callers repeat
refused requests at once.
"""

import asyncio
import signal
import time

from burdockdrum.histories import RejectionHistory
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import Machine
from scripts.soak.brittle_endpoint import BRITTLE_SLOTS
from scripts.soak.brittle_endpoint import BrittleEndpoint
from scripts.soak.retries import DEADLINE_MS
from scripts.soak.retries import RetrySoak

# From the first announcement on, until all entries must keep to it.
LEARNING_SECONDS = 5.0
# Endpoints of the only service in each zone.
ENDPOINTS = 2
USUAL_SECONDS = 3.0
MAX_REJECTIONS = (0, 1, 3, 8)
# Requests, as parts of what the endpoints can run.
LOADS = (0.4, 1.1, 2.0)
MEAN_RUN_SECONDS = 0.3


class BrittleSoak(RetrySoak):
    """A deployment whose endpoints crash if they must reject requests."""

    slots = BRITTLE_SLOTS

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 2,
        load: float | None = None,
        max_rejections: int | None = None,
    ) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        :param load: requests, as a part of what endpoints can run; at random
            by default
        :param max_rejections: what endpoints announce; at random by default
        """
        super().__init__(seed, entries=entries, rate=1.0)
        self.rejections = RejectionHistory()
        self._brittle = [
            BrittleEndpoint(
                rng=self.rng,
                service="s",
                zone=zone,
                history=self.rejections,
            )
            for zone in self.deployment.zones
            for _ in range(ENDPOINTS)
        ]
        self.endpoints = self._brittle
        self._weights = {"s": 1}
        load = load or self.rng.choice(LOADS)
        room = len(self._brittle) * BRITTLE_SLOTS / MEAN_RUN_SECONDS
        self.rate = load * room
        self._announced = (
            self.rng.choice(MAX_REJECTIONS)
            if max_rejections is None
            else max_rejections
        )
        self._record(f"load {load:g}, at most {self._announced} rejections")
        self._brittle_since = float("inf")
        self._busy_before = 0.0
        # The part of the slots that was used while no request could wait.
        self.used_fraction = 0.0

    async def send_request(self) -> int:
        """Send a request, and repeat it at once if it is refused."""
        status = await self._send_once()
        return status if status == 200 else await self._send_once()

    async def _send_once(self) -> int:
        self._number += 1
        request_id = f"r{self._number}"
        entry = self.rng.choice(self.deployment.entries)
        self.rejections.entry_by_request[request_id] = entry.name
        headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        response = await self._connections.post(
            entry.ip, CALLERS_PORT, "/again/x", headers
        )
        self.counts_by_status[response.status] += 1
        return response.status

    async def change_failures(self) -> None:
        """Let all endpoints become brittle, and stay so."""
        await asyncio.sleep(USUAL_SECONDS)
        for endpoint in self._brittle:
            endpoint.max_rejections = self._announced
        await asyncio.sleep(LEARNING_SECONDS)
        for endpoint in self._brittle:
            endpoint.queue = 0
        self._brittle_since = time.monotonic()
        self._busy_before = self._sum_busy()
        await asyncio.Future()

    async def close(self) -> None:
        """Stop all processes and endpoints."""
        seconds = time.monotonic() - self._brittle_since
        if seconds > 0:
            room = seconds * len(self._brittle) * self.slots
            self.used_fraction = (self._sum_busy() - self._busy_before) / room
        await super().close()

    def _sum_busy(self) -> float:
        return sum(endpoint.busy_seconds for endpoint in self._brittle)

    async def lose_endpoints(self) -> None:
        """Crash all endpoints of a data centre."""
        zone = self.rng.choice(self.deployment.zones)
        for endpoint in self._brittle:
            if endpoint.zone == zone and endpoint.is_registered:
                await endpoint.crash()

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        began = time.monotonic()
        await super()._restart(machines, number)
        self._excuse(machines, began)

    async def _pause(self, machine: Machine) -> None:
        began = time.monotonic()
        await super()._pause(machine)
        self._excuse([machine], began)

    def _excuse(self, machines: list[Machine], began: float) -> None:
        """Excuse machines, or all of them if control VMs are among them."""
        ended = time.monotonic() + LEARNING_SECONDS
        if any(machine.is_control for machine in machines):
            machines = self.deployment.entries
        self.rejections.excused += [
            (machine.name, began, ended) for machine in machines
        ]

    def check(self) -> list[str]:
        """Return what was violated."""
        crashed = len(self.rejections.crashes)
        self.faults.append(f"endpoints crashed by rejections: {crashed}")
        self.faults.append(f"used of the slots: {self.used_fraction:.2f}")
        return self.violations + self.rejections.check(
            endpoints_by_service={"s": len(self._brittle)},
            since=self._brittle_since,
        )
