"""One seed of the soak of streams whose routes move to other services.

All entries of one region or of all are killed at once, beside releases and
moves of the route, while callers take up their streams until their deadlines.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from scripts.soak.versioned_endpoint import VersionedEndpoint
from scripts.soak.versions import DEADLINE_MS
from scripts.soak.versions import VersionSoak

# Each version belongs to one service.
VERSIONS_BY_SERVICE = {"s": ("v1", "v2"), "t": ("v3",)}
ENDPOINTS_PER_ZONE = 2
ROUTE_WEIGHTS = ((1, 0), (1, 0), (0, 1), (1, 1))
INTERVAL_SECONDS = (0.5, 3.0)


class MovedRouteSoak(VersionSoak):
    """A deployment whose route moves between two services."""

    # Until the deadline, as entries need a second or two to start.
    until_taken_up_seconds = (0.2, 0.6)
    max_tries = DEADLINE_MS // 300

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries)
        self._versioned = [
            VersionedEndpoint(
                rng=self.rng, service=service, zone=zone, versions=versions
            )
            for zone in self.deployment.zones
            for service, versions in VERSIONS_BY_SERVICE.items()
            for _ in range(ENDPOINTS_PER_ZONE)
        ]
        self.endpoints = self._versioned
        self._is_path_closed = False

    def list_routes(self) -> list[dict[str, Any]]:
        """Return the routes of the configuration."""
        if not self._is_path_closed:
            return super().list_routes()
        return [self.make_route("other", **self.route_fields)]

    async def inject_faults(self) -> None:
        """Inject one random fault after the other, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.change_failures())
            while True:
                await asyncio.sleep(self.rng.uniform(*INTERVAL_SECONDS))
                await self._inject(self.rng.choice(self.list_faults()))

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the random faults, as often as each should come."""
        return [
            self.restart_all_entries,
            self.restart_beside_a_move,
            self.restart_beside_a_closed_path,
            self.restart_region,
            self.restart_one,
            self.restart_control,
            self.change_weights,
            self.change_weights,
            self.change_weights,
        ]

    async def restart_all_entries(self) -> None:
        """Kill all entries while the route may move, and start them again."""
        if self.rng.random() < 0.5:
            await self.change_weights()
        await super().restart_all_entries()

    async def restart_beside_a_move(self) -> None:
        """Kill all entries, and move the route before they start again."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().restart_all_entries())
            await self._move()
        await self.deployment.until_ready()

    async def restart_beside_a_closed_path(self) -> None:
        """Kill all entries while the path loses its route, then moves."""
        async with asyncio.TaskGroup() as group:
            group.create_task(super().restart_all_entries())
            self._is_path_closed = True
            await self.put_configuration()
            self._is_path_closed = False
            await self._move()
        await self.deployment.until_ready()

    async def _move(self) -> None:
        s, t = self._weights.values()
        self._weights = {"s": t, "t": s}
        await self.put_configuration()

    async def restart_region(self) -> None:
        """Kill all entries of one region, and start them again."""
        zone = self.rng.choice(self.deployment.zones)
        entries = self.deployment.entries
        await self.restart([e for e in entries if e.zone == zone])

    async def change_weights(self) -> None:
        """Move the route to a service, or to both."""
        weights = self.rng.choice(ROUTE_WEIGHTS)
        self._weights = dict(zip(VERSIONS_BY_SERVICE, weights, strict=True))
        await self.put_configuration()

    def _is_served(self, version: str) -> bool:
        """Return whether a stream must go on; the route may have moved."""
        return False
