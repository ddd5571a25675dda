"""One seed of the soak of an entry that stands still during a release.

In each round one entry pauses while endpoints of a second version join a
service that it knows with one version only. Streams begin there at the other
entries, break, and are taken up at the one that has paused.
"""

import asyncio
import signal
import time
from typing import Any

from burdockdrum.histories import StreamTry
from scripts.local_deployment import Machine
from scripts.soak.versioned_endpoint import VersionedEndpoint
from scripts.soak.versions import VersionSoak

# A service for each round: an entry knows a version for a minute after it
# ended, and would ask for several.
SERVICES = tuple(f"s{number}" for number in range(16))
PAUSE_SECONDS = (1.0, 5.0)
UNTIL_JOINED_SECONDS = (0.0, 0.6)
# From the wake-up on, streams go on to break for so long.
AFTER_SECONDS = 1.2
BREAK_INTERVAL_SECONDS = 0.3
# How many of the streams that are taken up come to the entry that paused.
PAUSED_FRACTION = 0.8
KILL_FRACTION = 0.3
# Rounds in which an endpoint changes its version and keeps its id.
RESTART_FRACTION = 0.5
STREAM_RATE = 40.0


class PausedEntrySoak(VersionSoak):
    """A deployment in which one entry is out of step at each release."""

    until_taken_up_seconds = (0.0, 0.3)

    def __init__(
        self, seed: int, *, entries: int = 2, keeps_ids: bool = False
    ) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        :param keeps_ids: whether endpoints also change their version under
            the id that they had
        """
        super().__init__(seed, entries=entries)
        self.rate = STREAM_RATE
        self._versioned = [
            VersionedEndpoint(
                rng=self.rng, service=service, zone=zone, versions=(version,)
            )
            for service in SERVICES
            for zone in self.deployment.zones
            for version in ("v1", "v2")
        ]
        for endpoint in self._versioned:
            endpoint.is_registered = endpoint.software_version == "v1"
        self.endpoints = self._versioned
        self._keeps_ids = keeps_ids
        self._round = 0
        self._born_at_by_id: dict[str, int] = {}
        self._paused: Machine | None = None
        self._round_by_stream: dict[int, int] = {}

    def describe(self, endpoint: object) -> dict[str, Any]:
        """Return when an endpoint started, in Unix milliseconds."""
        assert isinstance(endpoint, VersionedEndpoint)
        now = int(time.time() * 1000)
        born = self._born_at_by_id.setdefault(endpoint.endpoint_id, now)
        return {"born": born}

    def list_services(self) -> list[str]:
        """Return one service for each round."""
        return list(SERVICES)

    def list_routes(self) -> list[dict[str, Any]]:
        """Return one route for each round."""
        return [
            self.make_route(
                f"again-{service}",
                backends=[{"service": service, "weight": 1}],
                **self.route_fields,
            )
            for service in SERVICES
        ]

    def find_target(self, tries: list[StreamTry]) -> str:
        """Return the path of a stream, which is that of its round."""
        number = self._round_by_stream.setdefault(id(tries), self._round)
        return f"/again-{SERVICES[number % len(SERVICES)]}/x"

    def choose_entry(self, tries: list[StreamTry]) -> Machine:
        """Return an entry; that which paused, if a stream is taken up."""
        paused = self._paused
        has_begun = any(attempt.events for attempt in tries)
        if paused is None or self.rng.random() > PAUSED_FRACTION:
            return super().choose_entry(tries)
        if has_begun:
            return paused
        return self.rng.choice(
            [e for e in self.deployment.entries if e is not paused]
        )

    async def inject_faults(self) -> None:
        """Play one round after the other, until cancelled."""
        for number in range(len(SERVICES)):
            self._round = number
            # Streams at the one version run at all entries.
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            await self._play_round(SERVICES[number])
            self._paused = None

    async def _play_round(self, service: str) -> None:
        paused = self.rng.choice(self.deployment.entries)
        if paused.process is None:
            return
        joining = [
            endpoint
            for endpoint in self._versioned
            if endpoint.service == service and not endpoint.is_registered
        ]
        seconds = self.rng.uniform(*PAUSE_SECONDS)
        self._record(f"{paused.name} pauses for {seconds:.2f} s, {service}")
        with self._disturbing([paused]):
            paused.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*UNTIL_JOINED_SECONDS))
            for endpoint in joining:
                endpoint.is_registered = True
                await self._register(endpoint)
            self._paused = paused
            if self._keeps_ids and self.rng.random() < RESTART_FRACTION:
                joining.append(await self._restart_endpoint(service))
            await self._break_streams(joining, seconds)
            if self.rng.random() < KILL_FRACTION:
                others = [
                    e for e in self.deployment.entries if e is not paused
                ]
                await self.restart([self.rng.choice(others)])
            paused.send_signal(signal.SIGCONT)
        await self._break_streams(joining, AFTER_SECONDS)

    async def _restart_endpoint(self, service: str) -> VersionedEndpoint:
        """Restart an endpoint under its id, at the second version."""
        endpoint = self.rng.choice(
            [
                endpoint
                for endpoint in self._versioned
                if endpoint.service == service
                and endpoint.software_version == "v1"
            ]
        )
        self._record(f"{endpoint.endpoint_id} is v2 from now on")
        await endpoint.restart_as("v2")
        del self._born_at_by_id[endpoint.endpoint_id]
        await self._register(endpoint)
        return endpoint

    async def _break_streams(
        self, endpoints: list[VersionedEndpoint], seconds: float
    ) -> None:
        """Let endpoints lose all of their connections again and again."""
        for _ in range(int(seconds / BREAK_INTERVAL_SECONDS) + 1):
            await asyncio.sleep(BREAK_INTERVAL_SECONDS)
            for endpoint in endpoints:
                endpoint.lose_connections()

    def summarize(self) -> str:
        """Return how many streams of the second version were taken up."""
        taken_up = [
            tries
            for tries in self.streams.streams
            if any(attempt.resumes for attempt in tries)
        ]
        second = [
            tries
            for tries in taken_up
            if tries[0].events and tries[0].events[0].version == "v2"
        ]
        went_on = [
            tries
            for tries in second
            if any(attempt.events for attempt in tries[1:])
        ]
        return (
            f"{super().summarize()}; {len(taken_up)} taken up, {len(second)} "
            f"of them began at v2, of which {len(went_on)} went on"
        )
