"""Probes endpoints that this entry may not reach.

Without probes, callers' requests would find out again and again, each at the
cost of a connect that hangs. A probe is a connect; nothing is sent. Only
where connections open and all endpoints of a service are silent, a probe asks
for the health of the endpoint.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.http1 import NotConnected
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint

# The interval doubles from the first to the second with each failed probe.
MIN_PROBE_INTERVAL_SECONDS = 0.5
MAX_PROBE_INTERVAL_SECONDS = 2.0
MAX_PROBES_AT_ONCE = 8
# How often an endpoint is probed that has requests and is silent: mostly it is
# busy.
SILENCE_PROBE_INTERVAL_SECONDS = 3.0
# From when a probe is due until its result is known at the latest.
PROBE_MARGIN_SECONDS = 1.0


@dataclass(kw_only=True)
class _Doubt:
    """An endpoint that may be unreachable; times are monotonic.

    ``failures`` counts the failed probes in a row. ``is_silent`` says that the
    endpoint must also respond.
    """

    due_at: float
    is_silent: bool = False
    failures: int = 0
    is_probing: bool = False


class EndpointProber:
    """Decides by probes which endpoints this entry reaches."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        connect: Callable[[str], Awaitable[None]],
        check_health: Callable[[RegisteredEndpoint], Awaitable[None]],
        on_unreachable: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        """Create it for the endpoints of an entry.

        :param read_endpoints: returns the registered endpoints by id
        :param connect: opens a connection to an address; raises
            ``NotConnected``
        :param check_health: waits for any response of an endpoint; raises
            ``NotConnected``
        :param on_unreachable: called with the id of an endpoint that a probe
            did not reach
        """
        self._clock = clock
        self._fleet = fleet
        self._read_endpoints = read_endpoints
        self._connect = connect
        self._check_health = check_health
        self._on_unreachable = on_unreachable
        self._doubts_by_id: dict[str, _Doubt] = {}
        # When probes last reached endpoints.
        self._connected_at_by_id: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._probes_total = metrics.counter(
            "burdockdrum_endpoint_probes_total",
            "Connects to endpoints that this entry may not reach, by result.",
        )
        metrics.gauge(
            "burdockdrum_unreachable_endpoints",
            "Endpoints of the region that this entry does not reach.",
            read=self._count_unreachable,
        )

    def record_unreachable(self, endpoint_id: str) -> None:
        """Record that a request could not connect to an endpoint."""
        self._doubt(endpoint_id, MIN_PROBE_INTERVAL_SECONDS)

    def update(self) -> None:
        """Start the probes that are due; requires a running event loop."""
        now = self._clock.monotonic()
        endpoints = self._read_endpoints()
        since = now - SILENCE_PROBE_INTERVAL_SECONDS
        self._connected_at_by_id = {
            endpoint_id: at
            for endpoint_id, at in self._connected_at_by_id.items()
            if at > since
        }
        for endpoint_id in self._fleet.list_stalled():
            if endpoint_id not in self._connected_at_by_id:
                self._doubt(endpoint_id, 0.0)
        for endpoint_id in self._fleet.list_silent():
            if endpoint_id not in self._connected_at_by_id:
                self._doubt(endpoint_id, 0.0, is_silent=True)
        for endpoint_id, doubt in list(self._doubts_by_id.items()):
            endpoint = endpoints.get(endpoint_id)
            if endpoint is None:
                del self._doubts_by_id[endpoint_id]
            elif (
                not doubt.is_probing
                and now >= doubt.due_at
                and len(self._probes) < MAX_PROBES_AT_ONCE
            ):
                doubt.is_probing = True
                task = asyncio.create_task(self._probe(endpoint, doubt))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def _probe(
        self, endpoint: RegisteredEndpoint, doubt: _Doubt
    ) -> None:
        try:
            if doubt.is_silent:
                await self._check_health(endpoint)
            else:
                await self._connect(endpoint.address)
        except NotConnected as error:
            self._probes_total.increment(result="failed")
            self._record_failure(endpoint, doubt, str(error))
        else:
            self._probes_total.increment(result="connected")
            self._record_success(endpoint, doubt)
        finally:
            doubt.is_probing = False

    def _record_failure(
        self, endpoint: RegisteredEndpoint, doubt: _Doubt, reason: str
    ) -> None:
        interval = min(
            MAX_PROBE_INTERVAL_SECONDS,
            MIN_PROBE_INTERVAL_SECONDS * 2**doubt.failures,
        )
        doubt.failures += 1
        doubt.due_at = self._clock.monotonic() + interval
        self._fleet.record_unreachable(
            endpoint, interval + PROBE_MARGIN_SECONDS
        )
        if doubt.failures > 1:
            return
        log_failure(
            "endpoint.unreachable",
            endpoint_id=endpoint.endpoint_id,
            service=endpoint.service,
            reason=reason,
            unreachable=self._count_unreachable(),
            endpoints=len(self._read_endpoints()),
        )
        self._on_unreachable(endpoint.endpoint_id)
        # The cause may be this entry's own links.
        for endpoint_id in self._read_endpoints():
            self._doubt(endpoint_id, 0.0)

    def _record_success(
        self, endpoint: RegisteredEndpoint, doubt: _Doubt
    ) -> None:
        self._doubts_by_id.pop(endpoint.endpoint_id, None)
        self._connected_at_by_id[endpoint.endpoint_id] = (
            self._clock.monotonic()
        )
        self._fleet.record_reachable(endpoint)
        if not doubt.failures:
            return
        log_decision(
            "endpoint.reachable",
            endpoint_id=endpoint.endpoint_id,
            service=endpoint.service,
            probes=doubt.failures,
            unreachable=self._count_unreachable(),
        )
        now = self._clock.monotonic()
        for other in self._doubts_by_id.values():
            other.due_at = min(other.due_at, now)

    def _doubt(
        self, endpoint_id: str, delay: float, *, is_silent: bool = False
    ) -> None:
        doubt = self._doubts_by_id.setdefault(
            endpoint_id, _Doubt(due_at=self._clock.monotonic() + delay)
        )
        doubt.is_silent = doubt.is_silent or is_silent

    def _count_unreachable(self) -> int:
        return sum(bool(d.failures) for d in self._doubts_by_id.values())
