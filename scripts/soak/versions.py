"""One seed of the soak of streams over several software versions.

Endpoints of three versions crash, drain and come back at others, and entries
are killed, while callers take up the streams that break off, at any entry.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import re
import signal
import time

from burdockdrum.histories import ReceivedEvent
from burdockdrum.histories import StreamHistory
from burdockdrum.histories import StreamTry
from scripts.local_deployment import Machine
from scripts.soak.receiving import receive
from scripts.soak.receiving import Received
from scripts.soak.retries import RetrySoak
from scripts.soak.versioned_endpoint import VersionedEndpoint

ENDPOINTS_PER_ZONE = 4
STREAM_RATE = 15.0
DEADLINE_MS = 6000
MAX_TRIES = 4
# A machine that was disturbed lately may not know enough.
CONTACT_SECONDS = 5.0
# An endpoint must have served for so long before a stream can go on there.
SETTLED_SECONDS = 2.0
MIN_ENDPOINTS = 2
FAULT_SECONDS = (3.0, 8.0)
# Longer than the contact time after the last fault.
CALM_SECONDS = 9.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (v\d+)\n\n")


class VersionSoak(RetrySoak):
    """A deployment whose endpoints have several software versions."""

    route_fields = {
        "kind": "stream",
        "can_resume": True,
        "timeout_ms": DEADLINE_MS,
    }
    max_tries = MAX_TRIES
    until_taken_up_seconds = (0.02, 0.4)

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=STREAM_RATE)
        self.streams = StreamHistory()
        self._weights = {"s": 1, "t": 0}
        self._versioned = [
            VersionedEndpoint(rng=self.rng, service="s", zone=zone)
            for zone in self.deployment.zones
            for _ in range(ENDPOINTS_PER_ZONE)
        ]
        self.endpoints = self._versioned
        self._disturbed_at: dict[str, float] = {}
        self._registered_at: dict[str, float] = {}

    async def send_request(self) -> int:
        """Send a stream, and take it up while it breaks off."""
        tries: list[StreamTry] = []
        self.streams.streams.append(tries)
        status = 0
        for _ in range(self.max_tries):
            attempt = self._make_try(tries)
            received = await self._receive(attempt, tries)
            status = received.status
            self.counts_by_status[status] += 1
            tries.append(attempt)
            is_refused = attempt.resumes is not None and not attempt.events
            if is_refused and await self._waits_to_return(tries, received):
                continue
            if received.is_whole or (status == 503 and is_refused):
                break
            await asyncio.sleep(self.rng.uniform(*self.until_taken_up_seconds))
        return status

    def _make_try(self, tries: list[StreamTry]) -> StreamTry:
        self._number += 1
        entry = self.choose_entry(tries)
        began = next((t for t in tries if t.events), None)
        return StreamTry(
            request_id=f"r{self._number}",
            entry=entry.name,
            resumes=began.request_id if began else None,
            counts=self._is_calm(entry)
            and (began is None or self._is_served(began.events[0].version)),
        )

    async def _waits_to_return(
        self, tries: list[StreamTry], received: Received
    ) -> bool:
        """Wait until a refused caller may return, if it does."""
        return False

    async def _receive(
        self, attempt: StreamTry, tries: list[StreamTry]
    ) -> Received:
        """Receive what a try brings."""
        headers = {
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        if attempt.resumes is not None:
            events = [event for t in tries for event in t.events]
            headers["Resumes"] = attempt.resumes
            headers["Last-Event-Id"] = str(events[-1].number)
        (machine,) = (
            m for m in self.deployment.entries if m.name == attempt.entry
        )
        received = await receive(
            machine.ip,
            self.find_target(tries),
            headers,
            seconds=DEADLINE_MS / 1000,
        )
        attempt.events = [
            ReceivedEvent(number=int(number), version=version.decode())
            for number, version in _EVENT.findall(received.body)
        ]
        return received

    def find_target(self, tries: list[StreamTry]) -> str:
        """Return the path of a stream."""
        return "/again/x"

    def choose_entry(self, tries: list[StreamTry]) -> Machine:
        """Return the entry of the next try of a stream."""
        return self.rng.choice(self.deployment.entries)

    def _is_calm(self, entry: Machine) -> bool:
        """Return whether an entry and the control VMs were undisturbed."""
        since = time.monotonic() - CONTACT_SECONDS
        machines = [entry, *self.deployment.control]
        return all(
            self._disturbed_at.get(machine.name, 0.0) < since
            and machine.process is not None
            for machine in machines
        )

    def _is_served(self, version: str) -> bool:
        """Return whether enough endpoints of a version serve."""
        since = time.monotonic() - SETTLED_SECONDS
        serving = [
            endpoint
            for endpoint in self._list_reachable()
            if endpoint.is_registered
            and endpoint.software_version == version
            and self._registered_at.get(endpoint.endpoint_id, 0.0) < since
        ]
        return len(serving) >= MIN_ENDPOINTS

    def _list_reachable(self) -> list[VersionedEndpoint]:
        """Return the endpoints that a stream may go on at."""
        return self._versioned

    async def _register(self, endpoint: object) -> None:
        assert isinstance(endpoint, VersionedEndpoint)
        self._registered_at.setdefault(endpoint.endpoint_id, time.monotonic())
        await super()._register(endpoint)

    async def inject_faults(self) -> None:
        """Inject random faults, with times when only endpoints crash."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.change_failures())
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        self.rng.uniform(*FAULT_SECONDS)
                    ):
                        await super().inject_faults()
                await asyncio.sleep(CALM_SECONDS)

    async def change_failures(self) -> None:
        """Let endpoints crash, some at other versions than before."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            endpoint = self.rng.choice(self._versioned)
            if endpoint.is_registered:
                await endpoint.crash()

    async def lose_endpoints(self) -> None:
        """Crash all endpoints of a version."""
        version = self.rng.choice(self._versioned).software_version
        for endpoint in self._versioned:
            if endpoint.software_version == version and endpoint.is_registered:
                await endpoint.crash()

    async def change_weights(self) -> None:
        """Send the configuration again."""
        await self.put_configuration()

    async def restart(self, machines: list[Machine]) -> None:
        """Kill some machines, and start them again."""
        await self._restart(machines)

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        with self._disturbing(machines):
            await super()._restart(machines, number)

    async def _pause(self, machine: Machine) -> None:
        with self._disturbing([machine]):
            await super()._pause(machine)

    @contextlib.contextmanager
    def _disturbing(self, machines: list[Machine]) -> Iterator[None]:
        """Mark machines as disturbed, from the begin to the end."""
        for machine in machines:
            self._disturbed_at[machine.name] = float("inf")
        try:
            yield
        finally:
            for machine in machines:
                self._disturbed_at[machine.name] = time.monotonic()

    def check(self) -> list[str]:
        """Return what was violated."""
        return self.streams.check()

    def summarize(self) -> str:
        """Return how many of the streams that were taken up went on."""
        number, went_on = self.streams.count_taken_up()
        return (
            f"{len(self.streams.streams)} streams; "
            f"{went_on} of {number} that count went on"
        )
