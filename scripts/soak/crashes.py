"""One seed of the soak of requests that crash endpoints.

Callers send a few requests again and again that crash each endpoint that runs
them, beside many others that are sound and of which some are equal.
"""

import asyncio
import contextlib
import signal
import time

from burdockdrum.histories import CrashHistory
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import Machine
from scripts.soak.crashing_endpoint import CRASHING_PREFIX
from scripts.soak.crashing_endpoint import CrashingEndpoint
from scripts.soak.retries import DEADLINE_MS
from scripts.soak.retries import RetrySoak

# The platform's rule on requests that crash endpoints.
MAX_CRASHES = 3
LEARNING_SECONDS = 5.0
MAX_LATE_ARRIVALS = 3
# Endpoints of each service in each zone.
ENDPOINTS = {"s": 3, "t": 1}
CRASHING_REQUESTS = 3
CRASHING_INTERVAL_SECONDS = (0.3, 2.0)
# Sound requests are equal to each other as often as callers poll.
POLLED_TARGETS = 40
SOUND_RATE = 40.0
UNTIL_REPEATED_SECONDS = 0.2
FAULT_SECONDS = (3.0, 10.0)
# Longer than learning after the last fault.
CALM_SECONDS = 10.0


class CrashSoak(RetrySoak):
    """A deployment under requests that crash its endpoints."""

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=SOUND_RATE)
        self.crashes = CrashHistory()
        self._crashing_endpoints = [
            CrashingEndpoint(
                rng=self.rng, service=service, zone=zone, history=self.crashes
            )
            for zone in self.deployment.zones
            for service, count in ENDPOINTS.items()
            for _ in range(count)
        ]
        self.endpoints = self._crashing_endpoints

    async def send_continuously(self) -> None:
        """Send sound requests, and each crashing one again and again."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().send_continuously())
            for number in range(CRASHING_REQUESTS):
                group.create_task(
                    self._send_crashing(f"{CRASHING_PREFIX}{number}")
                )

    async def send_request(self) -> int:
        """Send a sound request; return the status."""
        number = self.rng.randrange(POLLED_TARGETS)
        return await self.send_to(f"/again/poll-{number}")

    async def _send_crashing(self, target: str) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*CRASHING_INTERVAL_SECONDS))
            if await self._send_one(target) != 200:
                await asyncio.sleep(UNTIL_REPEATED_SECONDS)
                await self._send_one(target)

    async def _send_one(self, target: str) -> int:
        self._number += 1
        entry = self.rng.choice(self.deployment.entries)
        headers = {
            "Host": "h",
            "X-Request-Id": f"r{self._number}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        response = await self._connections.post(
            entry.ip, CALLERS_PORT, target, headers
        )
        return response.status

    async def inject_faults(self) -> None:
        """Inject random faults with calm times in between."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(*FAULT_SECONDS)):
                    await super().inject_faults()
            await asyncio.sleep(CALM_SECONDS)

    async def change_failures(self) -> None:
        """Let endpoints crash for other reasons at times."""
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 6.0))
            endpoint = self.rng.choice(self._crashing_endpoints)
            if endpoint.is_registered:
                self._record("an endpoint crashes by itself")
                await endpoint.crash()

    async def lose_endpoints(self) -> None:
        """Crash all endpoints of a data centre."""
        zone = self.rng.choice(self.deployment.zones)
        for endpoint in self._crashing_endpoints:
            if endpoint.zone == zone and endpoint.is_registered:
                await endpoint.crash()

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        began = time.monotonic()
        await super()._restart(machines, number)
        self._excuse_since(began)

    async def _pause(self, machine: Machine) -> None:
        began = time.monotonic()
        await super()._pause(machine)
        self._excuse_since(began)

    def _excuse_since(self, began: float) -> None:
        ended = time.monotonic() + LEARNING_SECONDS
        self.crashes.excused.append((began, ended))

    def check(self) -> list[str]:
        """Return what was violated."""
        self.faults.append(f"endpoints ended: {self.crashes.count_crashes()}")
        return self.violations + self.crashes.check(
            max_crashes=MAX_CRASHES,
            learning_seconds=LEARNING_SECONDS,
            max_arrivals=MAX_LATE_ARRIVALS,
        )
