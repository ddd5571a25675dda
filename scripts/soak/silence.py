"""One seed of the soak of endpoints that fall silent and go on.

Endpoints pause on one connection or on all, alone, in series and all of a
service at once. Beside them some fail or write bytes without end, the
configuration changes, and processes come and go.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
import time
from typing import Any

from burdockdrum.histories import RequestOffered
from scripts.local_deployment import is_ready
from scripts.local_deployment import Machine
from scripts.soak.answers import Answer
from scripts.soak.answers import AnswerHistory
from scripts.soak.answers import MAX_OVERLAP_SECONDS
from scripts.soak.answers import RouteRule
from scripts.soak.answers import Stop
from scripts.soak.endless_bytes import Endless
from scripts.soak.failing_endpoint import Failure
from scripts.soak.pausing_endpoint import EVENTS
from scripts.soak.pausing_endpoint import PausingEndpoint
from scripts.soak.receiving import receive
from scripts.soak.retries import ENDPOINTS
from scripts.soak.retries import RetrySoak

REQUEST_RATE = 30.0
CALLER_SECONDS = 8.0
TIMEOUTS_MS = (6000, 7000, 9000)
PAUSE_SECONDS = (0.5, 3.0)
UNTIL_PAUSE_SECONDS = (0.1, 0.8)
# A pause ends, a few bytes come, and the next one begins.
SERIES = 3
SERIES_GAP_SECONDS = 0.2
CONNECTIONS_PAUSED = 4
UNTIL_CHANGE_SECONDS = (0.5, 3.0)
FAILURES = (
    Failure.REJECTS,
    Failure.ERRORS,
    Failure.RESETS,
    Failure.CLOSES_UNREAD,
    Failure.SILENT,
)
FAILING_FRACTION = 0.5
# Endpoints that fail at a time, and those with bytes without end.
FAILING_ENDPOINTS = 3
ENDLESS_ENDPOINTS = 2
# What an entry may keep of a response that has no end: 256 KiB each for what
# it buffers of a body, for the head and what it skips, and for what the
# connection and the socket have read ahead, rounded up.
ENDLESS_BYTES = 1024 * 1024
# The usual work of an entry, beyond what it needs at the start.
USUAL_BYTES = 64 * 1024 * 1024
MEMORY_INTERVAL_SECONDS = 0.5
# The log line of an exception that nothing expected.
FAILED_HANDLER = "the request handler failed"
RULES = {
    "resume": RouteRule(attempts=3, is_stream=True, is_repeatable=True),
    "stream": RouteRule(attempts=2, is_stream=True),
    "again": RouteRule(attempts=2, is_repeatable=True),
    "once": RouteRule(attempts=2),
}


class SilenceSoak(RetrySoak):
    """A deployment whose endpoints fall silent and go on."""

    fault_interval_seconds = (3.0, 8.0)

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 2,
        fails: bool = True,
        is_endless: bool = True,
    ) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        :param fails: whether some endpoints fail meanwhile
        :param is_endless: whether bytes of some endpoints don't end
        """
        super().__init__(seed, entries=entries, rate=REQUEST_RATE)
        self.answers = AnswerHistory(rules=RULES, events=EVENTS)
        self.memory: dict[str, int] = {}
        self.memory_at_start = 0
        self._fails = fails
        self._is_endless = is_endless
        self._timeout_ms = TIMEOUTS_MS[0]
        PausingEndpoint.endless_now = PausingEndpoint.endless_peak = 0
        self._pausing = [
            PausingEndpoint(
                rng=self.rng,
                service=service,
                zone=zone,
                history=self.history,
                answers=self.answers,
            )
            for zone in self.deployment.zones
            for service, count in ENDPOINTS.items()
            for _ in range(count)
        ]
        for endpoint in self._pausing:
            endpoint.fraction = FAILING_FRACTION
        self.endpoints = self._pausing

    def list_routes(self) -> list[dict[str, Any]]:
        """Return the routes, with the time-out that is chosen now."""
        return [
            self.make_route(
                name,
                kind="stream"
                if rule.is_stream
                else ("safe" if rule.is_repeatable else "unsafe"),
                can_resume=rule.is_stream and rule.is_repeatable,
                attempts=rule.attempts,
                timeout_ms=self._timeout_ms,
            )
            for name, rule in RULES.items()
        ]

    async def send_request(self) -> int:
        """Send a request on a random route; return the status."""
        self._number += 1
        request_id = f"r{self._number}"
        route = self.rng.choice(list(RULES))
        entry = self.rng.choice(self.deployment.entries)
        sent_at = time.monotonic()
        services = tuple(s for s, weight in self._weights.items() if weight)
        self.history.offered.append(
            RequestOffered(time=sent_at, services=services)
        )
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": f"{CALLER_SECONDS * 1000:.0f}",
        }
        received = await receive(
            entry.ip, f"/{route}/x", headers, seconds=CALLER_SECONDS
        )
        self.counts_by_status[received.status] += 1
        self.answers.answers.append(
            Answer(
                request_id=request_id,
                route=route,
                entry=entry.name,
                sent_at=sent_at,
                due_at=sent_at + min(TIMEOUTS_MS) / 1000,
                ended_at=time.monotonic(),
                received=received,
            )
        )
        return received.status

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return faults that leave most entries with their requests."""
        return [
            self.restart_one,
            self.restart_entries_in_series,
            self.restart_control,
            self.pause_entry,
            self.pause_control,
            self.lose_endpoints,
            self.reload_entries,
        ]

    async def reload_entries(self) -> None:
        """Let all entries read their settings again."""
        for entry in self.deployment.entries:
            # One that has not started up yet would end.
            if await is_ready(entry) and entry.process is not None:
                entry.send_signal(signal.SIGHUP)

    async def change_failures(self) -> None:
        """Let endpoints pause, fail and write without end."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_memory())
            group.create_task(self.pause_endpoints())
            group.create_task(self.change_configuration())
            if self._fails:
                group.create_task(self._let_some_fail())
            if self._is_endless:
                group.create_task(self._let_some_write_without_end())

    async def pause_endpoints(self) -> None:
        """Let random endpoints pause, alone or together, also in series."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(*UNTIL_PAUSE_SECONDS))
                endpoint = self.rng.choice(self._pausing)
                match self.rng.randrange(8):
                    case 0:
                        group.create_task(self._pause_service(endpoint))
                    case 1 | 2:
                        group.create_task(self._pause_all([endpoint]))
                    case 3:
                        group.create_task(self._pause_in_series(endpoint))
                    case _:
                        seconds = self.rng.uniform(*PAUSE_SECONDS)
                        endpoint.pauses += [seconds] * CONNECTIONS_PAUSED

    async def _pause_all(self, endpoints: list[PausingEndpoint]) -> None:
        """Let endpoints send nothing on all of their connections."""
        seconds = self.rng.uniform(*PAUSE_SECONDS)
        names = ", ".join(endpoint.endpoint_id for endpoint in endpoints)
        self._record(f"{names} silent for {seconds:.2f} s")
        for endpoint in endpoints:
            endpoint.silent_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def _pause_service(self, endpoint: PausingEndpoint) -> None:
        service = endpoint.service
        await self._pause_all(
            [e for e in self._pausing if e.service == service]
        )

    async def _pause_in_series(self, endpoint: PausingEndpoint) -> None:
        for _ in range(SERIES):
            await self._pause_all([endpoint])
            await asyncio.sleep(SERIES_GAP_SECONDS)

    async def change_configuration(self) -> None:
        """Change weights and time-outs, again and again."""
        while True:
            await asyncio.sleep(self.rng.uniform(*UNTIL_CHANGE_SECONDS))
            await self.change_weights()

    async def change_weights(self) -> None:
        """Change the weights and the time-out of all routes."""
        self._timeout_ms = self.rng.choice(TIMEOUTS_MS)
        await super().change_weights()
        self._record(
            f"version {self._version}: {self._weights}, {self._timeout_ms} ms"
        )

    async def _let_some_fail(self) -> None:
        while True:
            for endpoint in self._pausing:
                endpoint.failure = Failure.NONE
            for endpoint in self.rng.sample(self._pausing, FAILING_ENDPOINTS):
                endpoint.failure = self.rng.choice(FAILURES)
                self._record(
                    f"{endpoint.endpoint_id} {endpoint.failure.value}"
                )
            await asyncio.sleep(self.rng.uniform(*UNTIL_CHANGE_SECONDS))

    async def _let_some_write_without_end(self) -> None:
        while True:
            for endpoint in self._pausing:
                endpoint.endless = None
            for endpoint in self.rng.sample(self._pausing, ENDLESS_ENDPOINTS):
                endpoint.endless = self.rng.choice(list(Endless))
                self._record(
                    f"{endpoint.endpoint_id} without end: "
                    f"{endpoint.endless.value}"
                )
            await asyncio.sleep(self.rng.uniform(*UNTIL_CHANGE_SECONDS))

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        now = time.monotonic()
        self.answers.stops += [
            Stop(at=now, entry=machine.name, is_kill=number == signal.SIGKILL)
            for machine in machines
            if not machine.is_control
        ]
        await super()._restart(machines, number)

    async def _watch_memory(self) -> None:
        """Record the peak memory of each entry, over its restarts."""
        while True:
            for entry in self.deployment.entries:
                if entry.process is not None:
                    peak = _read_peak_bytes(entry.process.pid)
                    self.memory[entry.name] = max(
                        peak, self.memory.get(entry.name, 0)
                    )
            self.memory_at_start = self.memory_at_start or max(
                self.memory.values(), default=0
            )
            await asyncio.sleep(MEMORY_INTERVAL_SECONDS)

    @property
    def memory_bound(self) -> int:
        """Return the bytes that an entry may need, by the limits."""
        endless = PausingEndpoint.endless_peak * ENDLESS_BYTES
        return self.memory_at_start + USUAL_BYTES + endless

    async def close(self) -> None:
        """Stop all processes and endpoints, and read what handlers failed."""
        for machine in self.deployment.machines:
            output = machine.folder / "output"
            lines = output.read_text().splitlines() if output.exists() else []
            self.violations += [
                f"{machine.name}: {line}"
                for line in lines
                if FAILED_HANDLER in line
            ]
        await super().close()

    def check(self) -> list[str]:
        """Return what was violated."""
        return [
            *super().check(),
            *self.answers.check(),
            *(
                f"{name} needed {_mib(peak)} MiB, at most "
                f"{_mib(self.memory_bound)} are due to its limits"
                for name, peak in self.memory.items()
                if peak > self.memory_bound
            ),
        ]

    def summarize(self) -> str:
        """Return how answers ended, and the memory that entries needed."""
        nothing = self.answers.count_nothing()
        reasons = ", ".join(f"{k}: {v}" for k, v in sorted(nothing.items()))
        overlaps = self.answers.list_overlaps()
        long = sum(seconds > MAX_OVERLAP_SECONDS for seconds in overlaps)
        return (
            f"{len(self.answers.answers)} requests, "
            f"{sum(nothing.values())} ended with nothing ({reasons}); "
            f"memory at most {_mib(max(self.memory.values(), default=0))} of "
            f"{_mib(self.memory_bound)} MiB, "
            f"{PausingEndpoint.endless_peak} endless responses at once; "
            f"{len(overlaps)} pairs of sound runs beside each other, {long} "
            f"of them for over {MAX_OVERLAP_SECONDS} s"
        )


def _read_peak_bytes(pid: int) -> int:
    """Return the peak memory of a process, 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    lines = [x for x in status.splitlines() if x.startswith("VmHWM:")]
    return int(lines[0].split()[1]) * 1024 if lines else 0


def _mib(size: int) -> int:
    return size // (1024 * 1024)
