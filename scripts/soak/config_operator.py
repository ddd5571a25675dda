"""An operator who changes the configuration and reads it back."""

import asyncio
from collections.abc import Callable
import itertools
import json
import random
import time
from typing import Any

from scripts.local_deployment import call
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Machine
from scripts.soak.control_disks import ControlDisks

# The platform's operators try another control VM after so long.
RESPONSE_SECONDS = 1.0
# Control VMs give a read up after 0.9 s; the rest is for a busy machine.
READ_SECONDS = 2.0
BACKOFF_SECONDS = 0.1
CHANGE_INTERVAL_SECONDS = (0.05, 0.4)
READ_INTERVAL_SECONDS = 0.1
MAX_ROUTES = 12
TIMEOUTS_MS = (2000, 2500, 3000, 3500)
INVALID_FRACTION = 0.1
INVALID_FIELDS = (
    {"timeout_ms": 0},
    {"backends": [{"service": "unknown", "weight": 1}]},
    {"path_prefix": "/route0/"},
)

Routes = dict[str, int]


class ConfigurationOperator:
    """Sends changes one after the other, each until it is confirmed.

    ``confirmed`` and ``read`` count confirmed changes and answered reads;
    ``confirmed_at_by_route`` is when each route was first confirmed, by
    monotonic time.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        disks: ControlDisks,
        make_document: Callable[[int, Routes], dict[str, Any]],
    ) -> None:
        """Create an operator.

        :param make_document: returns the document of a version whose routes
            have such timeouts in milliseconds
        """
        self.violations: list[str] = []
        self.confirmed = self.read = self.newest_confirmed = 0
        self.confirmed_at_by_route: dict[str, float] = {}
        self._rng = rng
        self._disks = disks
        self._make_document = make_document
        self._version = 0
        self._routes = dict.fromkeys(("route0", "route1"), TIMEOUTS_MS[0])
        self._routes_by_version: dict[int, Routes] = {}
        self._machines = itertools.cycle(disks.machines)

    async def run(self) -> None:
        """Send changes, and some that are invalid, until cancelled."""
        while True:
            await self.change()
            if self._rng.random() < INVALID_FRACTION:
                await self._send_invalid()
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_SECONDS))

    async def change(self) -> None:
        """Send a change to one control VM after the other until confirmed."""
        disks = self._disks
        self._version += self._rng.randint(1, 3)
        version = self._version
        name = f"route{self._rng.randrange(MAX_ROUTES)}"
        routes = {**self._routes, name: self._rng.choice(TIMEOUTS_MS)}
        self.record_sent(version, routes)
        document = self._make_document(version, self._routes)
        disks.had_quorum = disks.may_write()
        backoff = 0.0
        while (status := await self._put(document)) != 200:
            if 400 <= status < 500:
                self.violations.append(f"version {version} got {status}")
            backoff = min(backoff + BACKOFF_SECONDS, RESPONSE_SECONDS)
            await asyncio.sleep(backoff)
        if not disks.had_quorum:
            self.violations.append(
                f"version {version} was confirmed though no quorum's disks "
                "have accepted writes since it was sent"
            )
        self.newest_confirmed = version
        self.confirmed += 1
        for route in self._routes:
            self.confirmed_at_by_route.setdefault(route, time.monotonic())

    async def _send_invalid(self) -> None:
        """Send an invalid document, which must not be taken."""
        self._version += 1
        document = self._make_document(self._version, self._routes)
        document["routes"][-1].update(self._rng.choice(INVALID_FIELDS))
        if await self._put(document) == 200:
            self.violations.append(
                f"invalid version {self._version} was confirmed"
            )

    async def _put(self, document: dict[str, Any]) -> int:
        status, _ = await call(
            next(self._machines).ip,
            CONTROL_PORT,
            "PUT",
            "/v1/config",
            json.dumps(document).encode(),
            seconds=RESPONSE_SECONDS,
        )
        return status

    async def read_in_turn(self) -> None:
        """Read from one control VM after the other until cancelled."""
        for machine in itertools.cycle(self._disks.machines):
            await self.read_from(machine)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def read_from(self, machine: Machine) -> bool:
        """Read the configuration; return whether it came."""
        began, newest = time.monotonic(), self.newest_confirmed
        must_answer = machine in self._disks.list_answering()
        status, body = await call(
            machine.ip, CONTROL_PORT, "GET", "/v1/config", seconds=READ_SECONDS
        )
        if status == 0 and must_answer and self._disks.changed_at < began:
            self.violations.append(
                f"control VM {machine.name} did not answer a read in time"
            )
        if status != 200:
            return False
        self.read += 1
        self.check_read(machine.name, json.loads(body), newest=newest)
        return True

    def record_sent(self, version: int, routes: Routes) -> None:
        """Record the routes of a version, which may now be read."""
        self._routes_by_version[version] = self._routes = routes

    def check_read(
        self, name: str, document: dict[str, Any], *, newest: int
    ) -> None:
        """Check a document that was read from a control VM.

        :param newest: the newest confirmed version when the read was sent
        """
        version = int(document["version"])
        routes = {r["name"]: r["timeout_ms"] for r in document["routes"]}
        reason = ""
        if version < newest:
            reason = f"after {newest} had been confirmed"
        elif version not in self._routes_by_version:
            reason = "which was never sent, or invalid"
        elif routes != self._routes_by_version[version]:
            reason = f"with other routes than were sent: {routes}"
        if reason:
            self.violations.append(f"version {version} from {name}, {reason}")
