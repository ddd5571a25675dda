"""Detects endpoints that crashed while they ran requests.

A lost connection alone proves nothing: endpoints reset connections, and paths
to them are cut. An endpoint has crashed if its connections were lost and its
address then refuses connections, while this entry still reaches another
endpoint, or belongs to a later incarnation.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.crashes import Assessment
from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import MAX_CRASHES
from burdockdrum.crashes import Standing
from burdockdrum.http1 import NotConnected
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint

# Until the other connections to a crashed endpoint have been reset, too.
PROBE_DELAY_SECONDS = 0.01
# How long a retry waits for a probe that may be decisive.
SETTLE_SECONDS = 0.5
# A restarted endpoint registers again within this time; later, a new
# incarnation says nothing about a lost connection.
EVIDENCE_SECONDS = 8.0
# Other endpoints that are tried to learn whether this entry reaches any.
COMPARED_ENDPOINTS = 3
MAX_PENDING_LOSSES = 256


@dataclass(kw_only=True)
class _Loss:
    """The connections to an endpoint that were lost since a time.

    ``known_ids`` are the incarnations that were registered at its address.
    """

    endpoint: RegisteredEndpoint
    lost_at: float
    known_ids: frozenset[str]
    fingerprints: set[str] = field(default_factory=set)
    probe: asyncio.Task[None] | None = None

    @property
    def is_probed(self) -> bool:
        """Return whether a probe of the endpoint is in progress."""
        return self.probe is not None and not self.probe.done()


class CrashDetector:
    """Finds crashed endpoints, and records which requests they ran."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        ledger: CrashLedger,
        vm_id: str,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        connect: Callable[[str], Awaitable[None]],
        metrics: Metrics,
    ) -> None:
        """Create it for the endpoints of an entry.

        :param vm_id: the id of this VM, as the observer of crashes
        :param read_endpoints: returns the registered endpoints by id
        :param connect: opens a connection to an address; raises
            ``NotConnected``
        """
        self._clock = clock
        self._rng = rng
        self._ledger = ledger
        self._vm_id = vm_id
        self._read_endpoints = read_endpoints
        self._connect = connect
        self._losses_by_id: dict[str, _Loss] = {}
        # Keeps the tasks of losses that are forgotten meanwhile.
        self._probes: set[asyncio.Task[None]] = set()
        # The suspects that run on each endpoint for this entry.
        self._suspects_by_id: dict[str, list[str]] = {}
        self._crashes_total = metrics.counter(
            "burdockdrum_endpoint_crashes_total",
            "Endpoints that crashed while running requests, by evidence.",
        )
        metrics.gauge(
            "burdockdrum_quarantined_requests",
            "Requests that are rejected because they crash endpoints.",
            read=lambda: len(ledger.quarantined),
        )

    def assess(self, fingerprint: Callable[[], str]) -> Assessment | None:
        """Return how a request is treated, None if there are no suspects.

        :param fingerprint: computes the request's fingerprint
        """
        if self._ledger.is_empty:
            return None
        return self._ledger.assess(fingerprint())

    def is_suspect(self, fingerprint: Callable[[], str]) -> bool:
        """Return whether an endpoint crashed, or may have, under a request.

        One whose connections were lost may have until it has been probed.

        :param fingerprint: computes the request's fingerprint
        """
        if not self._losses_by_id and self._ledger.is_empty:
            return False
        known = fingerprint()
        if self._ledger.assess(known).standing is not Standing.CLEAR:
            return True
        return any(
            known in loss.fingerprints and loss.is_probed
            for loss in self._losses_by_id.values()
        )

    def list_shared(self, fingerprint: str) -> set[str]:
        """Return the endpoints that run other suspects for this entry."""
        return {
            endpoint_id
            for endpoint_id, suspects in self._suspects_by_id.items()
            if any(other != fingerprint for other in suspects)
        }

    def is_contested_running(self, fingerprint: str) -> bool:
        """Return whether another contested request runs for this entry."""
        return any(
            other != fingerprint
            and self._ledger.assess(other).standing is Standing.CONTESTED
            for suspects in self._suspects_by_id.values()
            for other in suspects
        )

    def begin_run(
        self, fingerprint: Callable[[], str], endpoint_id: str
    ) -> str | None:
        """Record that a request is sent to an endpoint.

        :returns: its fingerprint if it is a suspect, for ``end_run``
        """
        assessment = self.assess(fingerprint)
        if assessment is None or assessment.standing is Standing.CLEAR:
            return None
        suspect = fingerprint()
        self._suspects_by_id.setdefault(endpoint_id, []).append(suspect)
        return suspect

    def end_run(self, suspect: str | None, endpoint_id: str) -> None:
        """Record the end of what ``begin_run`` recorded."""
        if suspect is None:
            return
        suspects = self._suspects_by_id[endpoint_id]
        suspects.remove(suspect)
        if not suspects:
            del self._suspects_by_id[endpoint_id]

    def record_lost(
        self, fingerprint: str, endpoint: RegisteredEndpoint
    ) -> None:
        """Record that the connection of a running request was lost."""
        if endpoint.is_draining or endpoint.ends_at is not None:
            return
        endpoint_id = endpoint.endpoint_id
        loss = self._losses_by_id.get(endpoint_id)
        if loss is None:
            if len(self._losses_by_id) >= MAX_PENDING_LOSSES:
                return
            loss = _Loss(
                endpoint=endpoint,
                lost_at=self._clock.monotonic(),
                known_ids=self._list_ids_at(endpoint.address),
            )
            self._losses_by_id[endpoint_id] = loss
            loss.probe = self._start_probe(loss)
        loss.fingerprints.add(fingerprint)

    def record_response(
        self, endpoint_id: str, fingerprint: Callable[[], str], sent_at: float
    ) -> None:
        """Record a complete response of an endpoint to a request.

        :param sent_at: when the request was sent, on the monotonic clock
        """
        loss = self._losses_by_id.get(endpoint_id)
        if loss is not None and sent_at > loss.lost_at:
            self._forget(endpoint_id)
            self._ledger.clear_endpoint(endpoint_id)
        if not self._losses_by_id and self._ledger.is_empty:
            return
        for other in self._losses_by_id.values():
            other.fingerprints.discard(fingerprint())
        if self._ledger.clear(fingerprint()):
            log_decision("request.cleared", fingerprint=fingerprint())

    def record_replaced(self, endpoint_id: str) -> None:
        """Record that a later incarnation of an endpoint has registered."""
        self._confirm(endpoint_id, "restarted")

    async def settle(self, fingerprint: str) -> None:
        """Wait for probes that may decide whether to retry a request."""
        pending = [
            loss
            for loss in self._losses_by_id.values()
            if fingerprint in loss.fingerprints
        ]
        known = self._ledger.assess(fingerprint).crashes
        if len(known) + len(pending) < MAX_CRASHES:
            return
        probes = [loss.probe for loss in pending if loss.probe is not None]
        if probes:
            await asyncio.wait(probes, timeout=SETTLE_SECONDS)

    def update(self) -> None:
        """Look for later incarnations; forget losses without evidence."""
        now = self._clock.monotonic()
        for endpoint_id, loss in list(self._losses_by_id.items()):
            if self._list_ids_at(loss.endpoint.address) - loss.known_ids:
                self._confirm(endpoint_id, "restarted")
            elif now - loss.lost_at > EVIDENCE_SECONDS:
                self._forget(endpoint_id)

    def _list_ids_at(self, address: str) -> frozenset[str]:
        return frozenset(
            endpoint_id
            for endpoint_id, endpoint in self._read_endpoints().items()
            if endpoint.address == address
        )

    def _start_probe(self, loss: _Loss) -> asyncio.Task[None]:
        task = asyncio.create_task(self._examine(loss))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)
        return task

    async def _examine(self, loss: _Loss) -> None:
        """Probe an endpoint whose connections were lost."""
        await self._clock.sleep(PROBE_DELAY_SECONDS)
        try:
            await self._connect(loss.endpoint.address)
        except NotConnected as error:
            if error.is_refused and await self._reaches_another(loss):
                self._confirm(loss.endpoint.endpoint_id, "refused")

    async def _reaches_another(self, loss: _Loss) -> bool:
        """Return whether this entry's own links are sound."""
        others = [
            endpoint
            for endpoint_id, endpoint in self._read_endpoints().items()
            if endpoint_id not in self._losses_by_id
            and endpoint.address != loss.endpoint.address
            and not endpoint.is_unreachable
        ]
        number = min(COMPARED_ENDPOINTS, len(others))
        for endpoint in self._rng.sample(others, number):
            try:
                await self._connect(endpoint.address)
            except NotConnected:
                continue
            return True
        return False

    def _confirm(self, endpoint_id: str, evidence: str) -> None:
        loss = self._losses_by_id.pop(endpoint_id, None)
        if loss is None:
            return
        current = self._read_endpoints().get(endpoint_id)
        if current is not None and current.is_draining:
            return
        self._crashes_total.increment(evidence=evidence)
        log_decision(
            "endpoint.crashed",
            endpoint_id=endpoint_id,
            evidence=evidence,
            requests=len(loss.fingerprints),
            since_lost=round(self._clock.monotonic() - loss.lost_at, 3),
        )
        for fingerprint in loss.fingerprints:
            self._ledger.add(fingerprint, endpoint_id, self._vm_id)

    def _forget(self, endpoint_id: str) -> None:
        del self._losses_by_id[endpoint_id]
