"""One seed of the soak of a prompt part that crashes endpoints.

Callers send requests of which no two are alike. Most share a first part and
another one with many others; a few also have a part that crashes each endpoint
that begins to run it.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
import time

from scripts.local_deployment import CALLERS_PORT
from scripts.soak.crashes import CRASHING_INTERVAL_SECONDS
from scripts.soak.crashes import CrashSoak
from scripts.soak.crashes import LEARNING_SECONDS
from scripts.soak.crashes import MAX_LATE_ARRIVALS
from scripts.soak.crashing_endpoint import CRASHING_PART
from scripts.soak.retries import DEADLINE_MS

# The platform's rule on prompt parts that crash endpoints.
MAX_PART_CRASHES = 5
SETTLE_SECONDS = 2 * LEARNING_SECONDS
MIN_BEGUN_RATIO = 0.5
MIN_JUDGED = 20
FIRST_PARTS = 3
SHARED_PARTS = 60
CRASHING_CALLERS = 3


@dataclass(frozen=True, kw_only=True)
class _Try:
    """The first try of a sound request, and whether it was served."""

    at: float
    first_part: str
    is_served: bool


class PartSoak(CrashSoak):
    """A deployment under requests with a part that crashes its endpoints."""

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries)
        self._tries: list[_Try] = []

    async def send_continuously(self) -> None:
        """Send sound requests, and some with the crashing part."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_sound_continuously())
            for _ in range(CRASHING_CALLERS):
                group.create_task(self._send_crashing_continuously())

    async def _send_sound_continuously(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_sound())
                await asyncio.sleep(self.rng.expovariate(self.rate))

    async def _send_sound(self) -> None:
        first = f"first-{self.rng.randrange(FIRST_PARTS)}"
        shared = f"shared-{self.rng.randrange(SHARED_PARTS)}"
        at = time.monotonic()
        status = await self._send_parts([first, shared])
        self.counts_by_status[status] += 1
        self._tries.append(
            _Try(at=at, first_part=first, is_served=status == 200)
        )

    async def _send_crashing_continuously(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*CRASHING_INTERVAL_SECONDS))
            await self._send_parts(["first-0", CRASHING_PART])

    async def _send_parts(self, parts: Iterable[str]) -> int:
        self._number += 1
        prompt = ",".join(
            f"{part}:100" for part in (*parts, f"own-{self._number}")
        )
        headers = {
            "Host": "h",
            "X-Request-Id": f"r{self._number}",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Model": "m",
            "X-Token-Count": "300,10",
            "X-Prompt-Prefix": prompt,
        }
        entry = self.rng.choice(self.deployment.entries)
        response = await self._connections.post(
            entry.ip, CALLERS_PORT, f"/again/{self._number}", headers
        )
        return response.status

    def check(self) -> list[str]:
        """Return what was violated."""
        counts = self.crashes.count_crashes()
        self.faults.append(f"endpoints ended: {dict(counts)}")
        return [
            *self.violations,
            *self.crashes.check(
                max_crashes=MAX_PART_CRASHES,
                learning_seconds=LEARNING_SECONDS,
                max_arrivals=MAX_LATE_ARRIVALS,
            ),
            *self._check_sound(),
        ]

    def _check_sound(self) -> list[str]:
        """Compare requests that share the first part with the others."""
        crashes = sorted(crash.time for crash in self.crashes.crashed)
        if not crashes:
            return []
        decisive = crashes[min(len(crashes), MAX_PART_CRASHES) - 1]
        late = [t for t in self._tries if t.at > decisive + SETTLE_SECONDS]
        same = [t.is_served for t in late if t.first_part == "first-0"]
        others = [t.is_served for t in late if t.first_part != "first-0"]
        if min(len(same), len(others)) < MIN_JUDGED:
            return []
        begun, usual = sum(same) / len(same), sum(others) / len(others)
        self.faults.append(
            f"served of the same first part {begun:.2f}, of others {usual:.2f}"
        )
        if begun >= usual * MIN_BEGUN_RATIO:
            return []
        return [
            f"{begun:.2f} of sound requests with the same first part as the "
            f"crashing one are served, {usual:.2f} of others"
        ]
