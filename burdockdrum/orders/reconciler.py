"""Bring the endpoints of a data centre to the operators' desired state.

One VM of the data centre does so, under the lease ``orders/DATA_CENTRE``.
It compares what endpoints report with what the services wish, and gives
the orders that the planner allows. Nothing is remembered but what was sent:
a new holder begins from the reports.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.leases import LeaseUnavailable
from burdockdrum.orders.budget import WeightBudget
from burdockdrum.orders.freeze import Freeze
from burdockdrum.orders.model import is_warm
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import Planned
from burdockdrum.orders.planner import plan_service
from burdockdrum.orders.ports import Leases
from burdockdrum.orders.sender import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import ServiceSpec
from burdockdrum.timeline import Timeline

STEP_SECONDS = 1.0
ACQUIRE_SECONDS = 5.0
ACQUIRE_TIMEOUT_SECONDS = 3.0
# A new holder first lets its view of the endpoints fill. The jitter keeps
# the data centres apart when all of them restart together.
SETTLE_SECONDS = 10.0
SETTLE_JITTER_SECONDS = 30.0
# After so long an order that shows no effect is given again.
RESULT_SECONDS = 300.0
RETRY_SECONDS = 10.0


@dataclass(frozen=True, kw_only=True)
class _Pending:
    planned: Planned
    until: float


class Reconciler:
    """Give orders while this VM holds the lease."""

    def __init__(
        self,
        *,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        leases: Leases,
        sender: Sender,
        registry: EndpointRegistry,
        budget: WeightBudget,
        read_services: Callable[[], dict[str, ServiceSpec]],
        read_data_centres: Callable[[], int],
        may_hold: Callable[[], bool],
    ) -> None:
        """Create a reconciler that holds nothing.

        :param read_data_centres: returns how many share the weight store
        :param may_hold: says whether this VM is the one to try for the lease
        """
        self.lease_name = f"orders/{data_centre}"
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._leases = leases
        self._sender = sender
        self._registry = registry
        self._budget = budget
        self._read_services = read_services
        self._read_data_centres = read_data_centres
        self._may_hold = may_hold
        self._pending_by_id: dict[str, _Pending] = {}
        self._attempts_by_order: dict[str, int] = {}
        self._freeze = Freeze()
        self._was_frozen = False
        self._leaving = False
        self._sending: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Try for the lease, and give orders under it, until cancelled."""
        while True:
            if self._leaving or not self._may_hold():
                await self._clock.sleep(ACQUIRE_SECONDS)
                continue
            try:
                await self._leases.acquire(
                    self.lease_name, timeout=ACQUIRE_TIMEOUT_SECONDS
                )
            except LeaseUnavailable:
                await self._clock.sleep(ACQUIRE_SECONDS)
                continue
            await self._hold()

    async def hand_on(self) -> None:
        """Give no further order and release the lease for another VM."""
        self._leaving = True
        if self._sending:
            await asyncio.wait(self._sending)
        await self._leases.release(self.lease_name)

    async def _hold(self) -> None:
        self._pending_by_id.clear()
        settle = SETTLE_SECONDS + self._rng.random() * SETTLE_JITTER_SECONDS
        self._timeline.record("orders.holding", settle_seconds=round(settle))
        await self._clock.sleep(settle)
        self._budget.reset()
        while self._leases.held(self.lease_name) and not self._leaving:
            self._step()
            await self._clock.sleep(STEP_SECONDS)
        self._timeline.record("orders.lost")

    def _step(self) -> None:
        now = self._clock.monotonic()
        self._budget.note_data_centres(self._read_data_centres())
        live = [
            endpoint
            for endpoint in self._registry.endpoints_by_id.values()
            if endpoint.lease_until > now and not endpoint.leaving
        ]
        if self._is_frozen(len(live), now):
            return
        self._forget_finished(live, now)
        planned: list[Planned] = []
        for name, spec in self._read_services().items():
            endpoints = [e for e in live if e.service == name]
            planned += plan_service(spec, endpoints, self._pending_by_id)
        # Endpoints with nothing loaded come first, whatever their service.
        planned.sort(key=lambda order: is_warm(order.endpoint))
        for order in planned:
            if not order.loads_weights or self._budget.take():
                self._give(order, now)

    def _is_frozen(self, count: int, now: float) -> bool:
        frozen = self._freeze.note(count, now)
        if frozen != self._was_frozen:
            self._was_frozen = frozen
            event = "orders.frozen" if frozen else "orders.thawed"
            self._timeline.record(event, endpoints=count)
        return frozen

    def _forget_finished(self, live: list[Endpoint], now: float) -> None:
        live_by_id = {endpoint.endpoint_id: endpoint for endpoint in live}
        for name, pending in list(self._pending_by_id.items()):
            endpoint = live_by_id.get(name)
            if endpoint is None or now >= pending.until:
                del self._pending_by_id[name]
            elif _is_done(pending.planned, endpoint):
                del self._pending_by_id[name]
                self._timeline.record(
                    "order.done", endpoint_id=name, value=pending.planned.value
                )

    def _give(self, planned: Planned, now: float) -> None:
        name = planned.endpoint.endpoint_id
        self._pending_by_id[name] = _Pending(
            planned=planned, until=now + RESULT_SECONDS
        )
        task = asyncio.create_task(self._send(planned))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, planned: Planned) -> None:
        endpoint = planned.endpoint
        wish = (
            f"{endpoint.endpoint_id}/{endpoint.incarnation}/"
            f"{planned.kind}/{planned.value}"
        )
        attempt = self._attempts_by_order.get(wish, 1)
        outcome = await self._sender.send(planned, f"{wish}/{attempt}")
        if outcome in (OrderOutcome.TAKEN, OrderOutcome.UNKNOWN):
            # Given again only when it has shown no effect for long; then
            # under a new id, since the endpoint ignores one that it knows.
            self._attempts_by_order[wish] = attempt + 1
            return
        until = self._clock.monotonic() + RETRY_SECONDS
        self._pending_by_id[endpoint.endpoint_id] = _Pending(
            planned=planned, until=until
        )


def _is_done(planned: Planned, endpoint: Endpoint) -> bool:
    match planned.kind:
        case "load_version":
            return planned.value in endpoint.versions
        case "load_adapter":
            return planned.value in endpoint.adapters
        case "unload_adapter":
            return planned.value not in endpoint.adapters
