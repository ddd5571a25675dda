"""Reconciles the endpoints of a data centre with their desired state.

One VM of the data centre runs the loop, under the lease
``orders/DATA_CENTRE``. It compares the reports of the endpoints with the
configured services and sends the planned orders. The state is rebuilt from
the reports, so that another VM can take over.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.leases import LeaseUnavailable
from burdockdrum.orders.budget import WeightLoadLimiter
from burdockdrum.orders.freeze import Freeze
from burdockdrum.orders.model import has_loaded_version
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import PlannedOrder
from burdockdrum.orders.planner import plan_service
from burdockdrum.orders.ports import Leases
from burdockdrum.orders.sender import OrderSender
from burdockdrum.ports import Clock
from burdockdrum.resources import ServiceSpec
from burdockdrum.timeline import Timeline

RECONCILE_INTERVAL_SECONDS = 1.0
ACQUIRE_INTERVAL_SECONDS = 5.0
ACQUIRE_TIMEOUT_SECONDS = 3.0
# A new holder waits until it knows the endpoints. The jitter spreads the
# data centres when all of them restart together.
SETTLE_DELAY_SECONDS = 10.0
SETTLE_JITTER_SECONDS = 30.0
# An order without a visible effect is sent again after this time.
RESULT_TIMEOUT_SECONDS = 300.0
RETRY_DELAY_SECONDS = 10.0


@dataclass(frozen=True, kw_only=True)
class _Pending:
    planned: PlannedOrder
    expires_at: float


class Reconciler:
    """Sends orders while this VM holds the lease."""

    def __init__(
        self,
        *,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        leases: Leases,
        sender: OrderSender,
        registry: EndpointRegistry,
        limiter: WeightLoadLimiter,
        read_services: Callable[[], dict[str, ServiceSpec]],
        count_data_centres: Callable[[], int],
        may_acquire: Callable[[], bool],
    ) -> None:
        """Create a reconciler without the lease.

        :param count_data_centres: returns the number of data centres that
            share the weight store
        :param may_acquire: returns whether this VM should acquire the lease
        """
        self.lease_name = f"orders/{data_centre}"
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._leases = leases
        self._sender = sender
        self._registry = registry
        self._limiter = limiter
        self._read_services = read_services
        self._count_data_centres = count_data_centres
        self._may_acquire = may_acquire
        self._pending_by_id: dict[str, _Pending] = {}
        # Orders to endpoints that had a version loaded and have not been seen
        # to serve since, even if the order is no longer pending.
        self._disrupted_by_id: dict[str, _Pending] = {}
        self._attempts_by_order_key: dict[str, int] = {}
        self._freeze = Freeze()
        self._was_frozen = False
        self._draining = False
        self._sending: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Acquire the lease and reconcile under it, until cancelled."""
        while True:
            if self._draining or not self._may_acquire():
                await self._clock.sleep(ACQUIRE_INTERVAL_SECONDS)
                continue
            try:
                await self._leases.acquire(
                    self.lease_name, timeout=ACQUIRE_TIMEOUT_SECONDS
                )
            except LeaseUnavailable:
                await self._clock.sleep(ACQUIRE_INTERVAL_SECONDS)
                continue
            await self._run_under_lease()

    async def drain(self) -> None:
        """Stop sending orders and release the lease for another VM."""
        self._draining = True
        if self._sending:
            await asyncio.wait(self._sending)
        await self._leases.release(self.lease_name)

    async def _run_under_lease(self) -> None:
        self._pending_by_id.clear()
        self._disrupted_by_id.clear()
        settle_delay = (
            SETTLE_DELAY_SECONDS + self._rng.random() * SETTLE_JITTER_SECONDS
        )
        self._timeline.record(
            "orders.holding", settle_seconds=round(settle_delay)
        )
        await self._clock.sleep(settle_delay)
        self._limiter.reset()
        while self._leases.held(self.lease_name) and not self._draining:
            self._reconcile()
            await self._clock.sleep(RECONCILE_INTERVAL_SECONDS)
        self._timeline.record("orders.lost")

    def _reconcile(self) -> None:
        now = self._clock.monotonic()
        self._limiter.record_data_centres(self._count_data_centres())
        live = [
            endpoint
            for endpoint in self._registry.endpoints_by_id.values()
            if endpoint.lease_until > now and not endpoint.leaving
        ]
        if self._is_frozen(len(live), now):
            return
        self._remove_finished(live, now)
        planned: list[PlannedOrder] = []
        for name, spec in self._read_services().items():
            endpoints = [e for e in live if e.service == name]
            disrupted = [
                endpoint_id
                for endpoint_id, order in self._disrupted_by_id.items()
                if order.planned.endpoint.service == name
            ]
            planned += plan_service(
                spec, endpoints, self._pending_by_id, disrupted
            )
        # Across services, endpoints without a loaded version come first.
        planned.sort(key=lambda order: has_loaded_version(order.endpoint))
        for order in planned:
            if not order.loads_weights or self._limiter.try_acquire():
                self._start_order(order, now)

    def _is_frozen(self, count: int, now: float) -> bool:
        frozen = self._freeze.record_count(count, now)
        if frozen != self._was_frozen:
            self._was_frozen = frozen
            event = "orders.frozen" if frozen else "orders.thawed"
            self._timeline.record(event, endpoints=count)
        return frozen

    def _remove_finished(self, live: list[Endpoint], now: float) -> None:
        live_by_id = {endpoint.endpoint_id: endpoint for endpoint in live}
        for name, pending in list(self._pending_by_id.items()):
            endpoint = live_by_id.get(name)
            if endpoint is None or now >= pending.expires_at:
                del self._pending_by_id[name]
            elif _is_done(pending.planned, endpoint):
                del self._pending_by_id[name]
                self._timeline.record(
                    "order.done", endpoint_id=name, value=pending.planned.value
                )

        for name, pending in list(self._disrupted_by_id.items()):
            endpoint = live_by_id.get(name)
            serves = endpoint is not None and has_loaded_version(endpoint)
            if now >= pending.expires_at or (
                serves and name not in self._pending_by_id
            ):
                del self._disrupted_by_id[name]

    def _start_order(self, planned: PlannedOrder, now: float) -> None:
        name = planned.endpoint.endpoint_id
        pending = _Pending(
            planned=planned, expires_at=now + RESULT_TIMEOUT_SECONDS
        )
        self._pending_by_id[name] = pending
        if planned.is_disruptive:
            self._disrupted_by_id[name] = pending
        task = asyncio.create_task(self._send(planned))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, planned: PlannedOrder) -> None:
        endpoint = planned.endpoint
        order_key = (
            f"{endpoint.endpoint_id}/{endpoint.incarnation}/"
            f"{planned.kind}/{planned.value}"
        )
        attempt = self._attempts_by_order_key.get(order_key, 1)
        outcome = await self._sender.send(planned, f"{order_key}/{attempt}")
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            # If it shows no effect it is sent again under a new id, because
            # endpoints ignore ids that they know.
            self._attempts_by_order_key[order_key] = attempt + 1
            return
        retry_at = self._clock.monotonic() + RETRY_DELAY_SECONDS
        self._pending_by_id[endpoint.endpoint_id] = _Pending(
            planned=planned, expires_at=retry_at
        )


def _is_done(planned: PlannedOrder, endpoint: Endpoint) -> bool:
    match planned.kind:
        case "load_version":
            return planned.value in endpoint.versions
        case "load_adapter":
            return planned.value in endpoint.adapters
        case "unload_adapter":
            return planned.value not in endpoint.adapters
