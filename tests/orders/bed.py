"""Test harness: VMs that contend for a lease, engines, a desired state."""

import asyncio
import contextlib
from dataclasses import replace
import random

import msgspec

from burdockdrum.emulator import Order
from burdockdrum.emulator import OrderBook
from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.leases import Lease
from burdockdrum.leases import LEASE_SECONDS
from burdockdrum.leases import LeaseNotHeld
from burdockdrum.leases import LeaseUnavailable
from burdockdrum.leases import ORDER_SECONDS
from burdockdrum.leases import RENEW_SECONDS
from burdockdrum.leases import SUPERSEDE_SECONDS
from burdockdrum.leases import WAIT_OUT_SECONDS
from burdockdrum.orders import HttpOrderSender
from burdockdrum.orders import Reconciler
from burdockdrum.orders import WeightLoadLimiter
from burdockdrum.ports import UpstreamCall
from burdockdrum.resources import ServiceSpec
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing import FakeHttpClient
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import FakeWeb
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline


class FakeLeaseTable:
    """Grants one lease, as the control VMs would."""

    def __init__(self) -> None:
        self.fencing = 0
        self.holder: object | None = None
        self.granted_at = float("-inf")

    def request_grant(self, holder: object, now: float) -> int | None:
        if self.holder not in (None, holder):
            if now - self.granted_at < SUPERSEDE_SECONDS:
                return None
            self.holder = None
        if self.holder is None:
            self.fencing += 1
            self.holder = holder
        self.granted_at = now
        return self.fencing


class FakeLeases:
    """The lease of one VM; ``cut`` disconnects it from the table."""

    def __init__(self, *, table: FakeLeaseTable, clock: VirtualClock) -> None:
        self.cut = False
        self._table = table
        self._clock = clock
        self._lease: Lease | None = None

    def held(self, name: str) -> Lease | None:
        now = self._clock.monotonic()
        if self._lease is None or now >= self._lease.expires_at:
            return None
        return self._lease

    def stop_clock(self) -> None:
        """Keep the lease valid forever, as with a stopped clock."""
        assert self._lease is not None
        self._lease = replace(self._lease, expires_at=float("inf"))

    async def run(self) -> None:
        while True:
            await self._clock.sleep(RENEW_SECONDS)
            now = self._clock.monotonic()
            is_held = self._lease and now < self._lease.expires_at
            if is_held and not self.cut and self._table.holder is self:
                self._renew(now)

    async def acquire(self, name: str, *, timeout: float = 5.0) -> Lease:
        now = self._clock.monotonic()
        if self.cut or self._table.request_grant(self, now) is None:
            raise LeaseUnavailable("held by another VM", retry_after=1.0)
        first = self._table.fencing == 1
        self._lease = Lease(
            name=name,
            fencing=self._table.fencing,
            expires_at=now + LEASE_SECONDS,
            former_orders_end_at=now if first else now + WAIT_OUT_SECONDS,
        )
        return self._lease

    async def release(self, name: str) -> None:
        self._lease = None
        if self._table.holder is self:
            self._table.holder = None

    @contextlib.asynccontextmanager
    async def order(self, name: str, *, checks_fencing: bool):
        lease = self.held(name)
        if lease is not None and not checks_fencing:
            wait = lease.former_orders_end_at - self._clock.monotonic()
            if wait > 0:
                await self._clock.sleep(wait)
            lease = self.held(name)
        if lease is None:
            raise LeaseNotHeld(name)
        async with asyncio.timeout(ORDER_SECONDS):
            yield lease

    def _renew(self, now: float) -> None:
        assert self._lease is not None
        self._table.granted_at = now
        self._lease = replace(self._lease, expires_at=now + LEASE_SECONDS)


class Engine:
    """An endpoint that records when it accepted each order."""

    def __init__(
        self, *, name: str, versions: set[str], checks_fencing: bool
    ) -> None:
        self.name = name
        self.book = OrderBook(
            versions=versions, adapters=set(), checks_fencing=checks_fencing
        )
        self.checks_fencing = checks_fencing
        self.load_seconds = 5.0
        self.alive = True
        self.accepted_orders: list[tuple[float, int]] = []
        self.loading = 0
        self._tasks: set[asyncio.Task] = set()

    async def serve(self, call: UpstreamCall) -> FakeAnswer:
        order = msgspec.json.decode(call.body, type=Order)
        if order.kind == "load_version":
            return await self._load(order)
        return await self._carry_out(order)

    async def _load(self, order: Order) -> FakeAnswer:
        highest = max((n for _, n in self.accepted_orders), default=0)
        if self.checks_fencing and order.fencing_number < highest:
            return FakeAnswer(status=409)
        now = asyncio.get_running_loop().time()
        self.accepted_orders.append((now, order.fencing_number))
        task = asyncio.create_task(self._finish(order))
        self._tasks.add(task)
        return FakeAnswer()

    async def _finish(self, order: Order) -> None:
        self.loading += 1
        await asyncio.sleep(self.load_seconds)
        self.loading -= 1
        await self._carry_out(order)

    async def _carry_out(self, order: Order) -> FakeAnswer:
        await self.book.carry_out(order)
        return FakeAnswer()


class OrdersHarness:
    """A data centre with engines and VMs that contend for the lease."""

    def __init__(self, *, seed: int, spec: ServiceSpec) -> None:
        self.spec = spec
        self.network = FakeNetwork(rng=random.Random(seed))
        self.web = FakeWeb(network=self.network)
        self.table = FakeLeaseTable()
        self.engines: list[Engine] = []
        self.tasks: list[asyncio.Task] = []
        self._seed = seed

    def add_engine(
        self, *, versions: set[str] | None = None, checks_fencing: bool = True
    ) -> Engine:
        name = f"e{len(self.engines)}"
        engine = Engine(
            name=name,
            versions=set(versions or ()),
            checks_fencing=checks_fencing,
        )
        self.engines.append(engine)
        self.web.serve(f"http://{name}:80", name, engine.serve)
        return engine

    def add_holder(
        self,
        host: str,
        *,
        data_centres: int = 1,
        loads_per_minute: float = 600.0,
        table: FakeLeaseTable | None = None,
    ) -> "HolderVm":
        self._seed += 1
        return HolderVm(
            harness=self,
            host=host,
            data_centres=data_centres,
            loads_per_minute=loads_per_minute,
            table=table or self.table,
            seed=self._seed,
        )

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class HolderVm:
    """A VM that may hold the lease and receives the engines' reports."""

    def __init__(
        self,
        *,
        harness: OrdersHarness,
        host: str,
        data_centres: int,
        loads_per_minute: float,
        table: FakeLeaseTable,
        seed: int,
    ) -> None:
        clock = VirtualClock()
        self.timeline = Timeline(
            process=host, incarnation=1, clock=HybridClock(clock=clock)
        )
        self.registry = EndpointRegistry(clock=clock, timeline=self.timeline)
        self.leases = FakeLeases(table=table, clock=clock)
        self.reconciler = Reconciler(
            data_centre="dc",
            clock=clock,
            rng=random.Random(seed),
            timeline=self.timeline,
            leases=self.leases,
            sender=HttpOrderSender(
                http=FakeHttpClient(web=harness.web, host=host),
                leases=self.leases,
                lease_name="orders/dc",
                timeline=self.timeline,
            ),
            registry=self.registry,
            limiter=WeightLoadLimiter(
                clock=clock, loads_per_minute=loads_per_minute
            ),
            read_services=lambda: {"planner": harness.spec},
            count_data_centres=lambda: data_centres,
            may_acquire=lambda: True,
        )
        self._harness = harness
        harness.tasks.append(asyncio.create_task(self._report_engines()))
        harness.tasks.append(asyncio.create_task(self.leases.run()))
        harness.tasks.append(asyncio.create_task(self.reconciler.run()))

    async def _report_engines(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for engine in self._harness.engines:
                if engine.alive:
                    self._report(engine, sequence)
            self.registry.prune()
            await asyncio.sleep(0.5)

    def _report(self, engine: Engine, sequence: int) -> None:
        report = Report(
            incarnation=1,
            sequence=sequence,
            versions=sorted(engine.book.versions),
            adapters=sorted(engine.book.adapters),
        )
        if self.registry.report(engine.name, report).known:
            return
        self.registry.announce(
            Announcement(
                endpoint_id=engine.name,
                incarnation=1,
                url=f"http://{engine.name}:80",
                service="planner",
                slots=4,
                versions=sorted(engine.book.versions),
                checks_fencing=engine.checks_fencing,
            )
        )
