"""Detects endpoints that crashed, and what they ran.

A lost connection alone proves nothing: endpoints reset connections, and paths
to them are cut. An endpoint has crashed if its connections were lost and its
address then refuses connections, while this entry still reaches another
endpoint, or belongs to a later incarnation.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.crashes import Assessment
from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import is_part
from burdockdrum.crashes import MAX_CRASHES
from burdockdrum.crashes import PART_CRASH_INTERVAL_SECONDS
from burdockdrum.crashes import SoundRuns
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
# Crashes after which requests with the same part run one after the other.
# Many sound ones share a part, and one crash says little.
MIN_PART_CRASHES_APART = 2

# Computes the fingerprints of a request and of the parts of its prompt.
ReadSuspects = Callable[[], Sequence[str]]


@dataclass(kw_only=True)
class _Loss:
    """The connections to an endpoint that were lost since a time.

    ``known_ids`` are the incarnations that were registered at its address,
    ``suspects`` the requests that ran there and the parts of their prompts.
    """

    endpoint: RegisteredEndpoint
    lost_at: float
    known_ids: frozenset[str]
    suspects: set[str] = field(default_factory=set)
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
        self._sound_runs = SoundRuns()
        self._vm_id = vm_id
        self._read_endpoints = read_endpoints
        self._connect = connect
        self._losses_by_id: dict[str, _Loss] = {}
        # Called if an endpoint whose connections were lost refuses others.
        self.on_refused: Callable[[RegisteredEndpoint], None] = (
            lambda endpoint: None
        )
        # Keeps the tasks of losses that are forgotten meanwhile.
        self._probes: set[asyncio.Task[None]] = set()
        # The suspects of each run on each endpoint for this entry.
        self._suspects_by_id: dict[str, list[frozenset[str]]] = {}
        self._crashes_total = metrics.counter(
            "burdockdrum_endpoint_crashes_total",
            "Endpoints that crashed while running requests, by evidence.",
        )
        metrics.gauge(
            "burdockdrum_quarantined_requests",
            "Requests that are rejected because they crash endpoints.",
            read=lambda: len(ledger.quarantined),
        )

    def assess(self, suspects: ReadSuspects) -> Assessment | None:
        """Return how a request is treated, None if nothing is suspected.

        :param suspects: returns the fingerprints of the request and of the
            parts of its prompt
        """
        if self._ledger.is_empty:
            return None
        return self._ledger.assess_all(suspects())

    def list_apart(self, suspects: ReadSuspects) -> frozenset[str]:
        """Return what a request should not run beside copies of.

        That is the request itself if an endpoint crashed under it, or may
        have until it has been probed, and parts under which several did.
        """
        if not self._losses_by_id and self._ledger.is_empty:
            return frozenset()
        return frozenset(filter(self._must_run_apart, suspects()))

    def _must_run_apart(self, fingerprint: str) -> bool:
        crashes = self._ledger.assess(fingerprint).crashes
        if is_part(fingerprint):
            return len(crashes) >= MIN_PART_CRASHES_APART
        return bool(crashes) or any(
            fingerprint in loss.suspects and loss.is_probed
            for loss in self._losses_by_id.values()
        )

    def seconds_until_evidence(self, suspects: ReadSuspects) -> float:
        """Return when a further crash under a request would count.

        Until then it would cost an endpoint and tell nothing.
        """
        return max(
            (
                PART_CRASH_INTERVAL_SECONDS
                - self._ledger.assess(fingerprint).since_latest
                for fingerprint in self.list_apart(suspects)
                if is_part(fingerprint)
            ),
            default=0.0,
        )

    def list_shared(self, suspects: Container[str]) -> set[str]:
        """Return the endpoints that run other suspects for this entry."""
        return {
            endpoint_id
            for endpoint_id, runs in self._suspects_by_id.items()
            if any(other not in suspects for run in runs for other in run)
        }

    def is_contested_running(self, suspects: Container[str]) -> bool:
        """Return whether another contested suspect runs for this entry."""
        return any(
            other not in suspects
            and self._ledger.assess(other).standing is Standing.CONTESTED
            for runs in self._suspects_by_id.values()
            for run in runs
            for other in run
        )

    def begin_run(
        self, suspects: ReadSuspects, endpoint_id: str
    ) -> frozenset[str]:
        """Record that a request is sent to an endpoint.

        :returns: which of its suspects are not clear, for ``end_run``
        """
        if self._ledger.is_empty:
            return frozenset()
        run = frozenset(
            fingerprint
            for fingerprint in suspects()
            if self._ledger.assess(fingerprint).standing is not Standing.CLEAR
        )
        if run:
            self._suspects_by_id.setdefault(endpoint_id, []).append(run)
        return run

    def end_run(self, run: frozenset[str], endpoint_id: str) -> None:
        """Record the end of what ``begin_run`` recorded."""
        if not run:
            return
        runs = self._suspects_by_id[endpoint_id]
        runs.remove(run)
        if not runs:
            del self._suspects_by_id[endpoint_id]

    def record_lost(
        self, suspects: Iterable[str], endpoint: RegisteredEndpoint
    ) -> None:
        """Record that the connection of a running request was lost.

        :param suspects: the request, and the parts of its prompt
        """
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
        loss.suspects.update(suspects)

    def record_run(self, fingerprint: str) -> None:
        """Record that a request has run as a whole, at any endpoint."""
        self._sound_runs.record(fingerprint, self._clock.monotonic())

    def record_response(
        self,
        endpoint_id: str | None,
        suspects: ReadSuspects,
        sent_at: float,
        wrote_since: float,
        *,
        is_complete: bool = True,
    ) -> None:
        """Record that an endpoint has run a request, or goes on with it.

        :param endpoint_id: None if it is known to another region only
        :param sent_at: when the request was sent, on the monotonic clock
        :param wrote_since: when the endpoint began to write the response
        :param is_complete: whether it has written all of it
        """
        if endpoint_id is not None:
            self._record_alive(endpoint_id, sent_at)
        if not self._losses_by_id and self._ledger.is_empty:
            return
        sound = [
            fingerprint
            for fingerprint in suspects()
            if is_complete or is_part(fingerprint)
        ]
        for other in self._losses_by_id.values():
            other.suspects.difference_update(
                fingerprint
                for fingerprint in sound
                if not is_part(fingerprint) or wrote_since > other.lost_at
            )
        for fingerprint in sound:
            # A request is cleared by any complete run of a copy.
            since = wrote_since if is_part(fingerprint) else float("inf")
            if self._ledger.clear(fingerprint, since):
                log_decision("request.cleared", fingerprint=fingerprint)

    def _record_alive(self, endpoint_id: str, sent_at: float) -> None:
        loss = self._losses_by_id.get(endpoint_id)
        if loss is not None and sent_at > loss.lost_at:
            self._forget(endpoint_id)
            self._ledger.clear_endpoint(endpoint_id)

    def record_replaced(self, endpoint_id: str) -> None:
        """Record that a later incarnation of an endpoint has registered."""
        self._confirm(endpoint_id, "restarted")

    async def settle(self, suspects: Collection[str]) -> None:
        """Wait for probes that may decide whether to retry a request."""
        probes = {
            loss.probe
            for fingerprint in suspects
            for loss in self._list_decisive(fingerprint)
            if loss.probe is not None
        }
        if probes:
            await asyncio.wait(probes, timeout=SETTLE_SECONDS)

    def _list_decisive(self, fingerprint: str) -> list[_Loss]:
        """Return the losses after which a suspect may be rejected."""
        pending = [
            loss
            for loss in self._losses_by_id.values()
            if fingerprint in loss.suspects
        ]
        known = self._ledger.assess(fingerprint).crashes
        return pending if len(known) + len(pending) >= MAX_CRASHES else []

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
            if not error.is_refused:
                return
            self.on_refused(loss.endpoint)
            if await self._reaches_another(loss):
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
        since_lost = self._clock.monotonic() - loss.lost_at
        sound = {
            fingerprint
            for fingerprint in loss.suspects
            if not is_part(fingerprint)
            and self._sound_runs.outweighs(fingerprint, loss.lost_at)
        }
        log_decision(
            "endpoint.crashed",
            endpoint_id=endpoint_id,
            evidence=evidence,
            requests=len(loss.suspects) - sum(map(is_part, loss.suspects)),
            parts=sum(map(is_part, loss.suspects)),
            sound_requests=len(sound),
            since_lost=round(since_lost, 3),
        )
        for fingerprint in loss.suspects - sound:
            self._ledger.add(fingerprint, endpoint_id, self._vm_id, since_lost)

    def _forget(self, endpoint_id: str) -> None:
        del self._losses_by_id[endpoint_id]
