"""Orders under a lease that changes its holder, and their limits."""

import asyncio
import unittest

from burdockdrum.leases import ORDER_TIMEOUT_SECONDS
from burdockdrum.resources import ServiceSpec
from burdockdrum.testing import run_virtual
from tests.orders.bed import OrdersHarness

SETTLE_LIMIT_SECONDS = 60.0


def make_spec(**changes) -> ServiceSpec:
    """Return a service with the desired version v2."""
    return ServiceSpec(regions=["r"], **{"version": "v2", **changes})


async def wait_until(condition, *, limit: float) -> float:
    """Wait for a condition and return the seconds that it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > limit:
            raise AssertionError(f"condition not met within {limit} s")
        await asyncio.sleep(0.1)
    return loop.time() - started


class ReconcilerTest(unittest.TestCase):
    """Engines of one service and the VMs that send them orders."""

    def test_desired_version_and_adapters_are_loaded(self):
        async def main():
            harness = OrdersHarness(seed=1, spec=make_spec(adapters=["a1"]))
            engines = [harness.add_engine(versions={"v1"}) for _ in range(3)]
            engines[0].book.adapters.add("old")
            harness.add_holder("vm0")
            await wait_until(
                lambda: all(
                    "v2" in engine.book.versions
                    and engine.book.adapters == {"a1"}
                    for engine in engines
                ),
                limit=SETTLE_LIMIT_SECONDS + 60,
            )
            harness.stop()

        run_virtual(main())

    def test_rollout_respects_max_unavailable(self):
        # No more than max_unavailable of the six engines load at a time.
        async def main():
            harness = OrdersHarness(seed=2, spec=make_spec(max_unavailable=2))
            engines = [harness.add_engine(versions={"v1"}) for _ in range(6)]
            harness.add_holder("vm0")
            highest = 0
            for _ in range(3000):
                highest = max(highest, sum(e.loading for e in engines))
                await asyncio.sleep(0.1)
            self.assertTrue(all("v2" in e.book.versions for e in engines))
            self.assertEqual(2, highest)
            harness.stop()

        run_virtual(main())

    def check_lost_under_order(self, lose):
        async def main():
            harness = OrdersHarness(seed=2, spec=make_spec(max_unavailable=1))
            engines = [harness.add_engine(versions={"v1"}) for _ in range(4)]
            for engine in engines:
                engine.load_seconds = 10_000.0
            harness.add_holder("vm0")
            limit = asyncio.get_running_loop().time() + 200.0
            while asyncio.get_running_loop().time() < limit:
                for engine in engines:
                    if engine.accepted_orders:
                        lose(engine)
                await asyncio.sleep(0.1)
            ordered = [e for e in engines if e.accepted_orders]
            self.assertEqual(1, len(ordered))
            harness.stop()

        run_virtual(main())

    def test_rollout_waits_for_an_endpoint_that_vanished_under_its_order(self):
        # Guards against a version that crashes one engine after the other.
        def vanish(engine):
            engine.alive = False

        self.check_lost_under_order(vanish)

    def test_rollout_waits_for_an_endpoint_that_came_back_empty(self):
        # The same, if the engine starts again without a loaded version.
        self.check_lost_under_order(
            lambda engine: engine.book.versions.clear()
        )

    def test_last_loaded_endpoint_keeps_serving(self):
        # The service must not become unavailable: the empty engine loads
        # before the only one that serves.
        async def main():
            harness = OrdersHarness(seed=3, spec=make_spec(max_unavailable=5))
            loaded = harness.add_engine(versions={"v1"})
            empty = harness.add_engine()
            harness.add_holder("vm0")
            await wait_until(
                lambda: loaded.accepted_orders, limit=SETTLE_LIMIT_SECONDS + 60
            )
            self.assertIn("v2", empty.book.versions)
            harness.stop()

        run_virtual(main())

    def test_only_endpoint_gets_no_order(self):
        async def main():
            harness = OrdersHarness(seed=4, spec=make_spec())
            engine = harness.add_engine(versions={"v1"})
            harness.add_holder("vm0")
            await asyncio.sleep(300)
            self.assertEqual([], engine.accepted_orders)
            harness.stop()

        run_virtual(main())

    def test_engines_refuse_orders_of_a_former_holder(self):
        # Split brain: vm0 keeps sending orders after its lease has passed to
        # vm1. Engines refuse vm0 once they have seen vm1's fencing number.
        async def main():
            harness = OrdersHarness(seed=5, spec=make_spec())
            engines = [harness.add_engine(versions={"v1"}) for _ in range(20)]
            old = harness.add_holder("vm0")
            await wait_until(
                lambda: engines[0].accepted_orders, limit=SETTLE_LIMIT_SECONDS
            )
            old.leases.cut = True
            old.leases.stop_clock()
            harness.add_holder("vm1")
            await asyncio.sleep(SETTLE_LIMIT_SECONDS)
            harness.spec = make_spec(version="v3", max_unavailable=19)
            await wait_until(
                lambda: all("v3" in e.book.versions for e in engines),
                limit=400,
            )
            for engine in engines:
                numbers = [number for _, number in engine.accepted_orders]
                self.assertEqual(sorted(numbers), numbers)
            refused = [
                event
                for event in old.timeline.events(prefix="order.sent")
                if event.details["outcome"] == "refused"
            ]
            self.assertTrue(refused)
            harness.stop()

        run_virtual(main())

    def test_new_holder_waits_for_engines_without_fencing(self):
        # Engines that don't check fencing numbers: the new holder sends its
        # first order only after the timeout of orders, when the last order
        # of the old holder has ended.
        async def main():
            spec = make_spec(engines_check_fencing=False)
            harness = OrdersHarness(seed=6, spec=spec)
            engines = [
                harness.add_engine(versions={"v1"}, checks_fencing=False)
                for _ in range(20)
            ]
            old = harness.add_holder("vm0")
            await wait_until(
                lambda: engines[0].accepted_orders, limit=SETTLE_LIMIT_SECONDS
            )
            old.leases.cut = True
            harness.add_holder("vm1")
            await wait_until(
                lambda: all("v2" in e.book.versions for e in engines),
                limit=400,
            )
            accepted_orders = [
                entry for e in engines for entry in e.accepted_orders
            ]
            last_old = max(at for at, number in accepted_orders if number == 1)
            first_new = min(
                at for at, number in accepted_orders if number == 2
            )
            self.assertGreater(first_new, last_old + ORDER_TIMEOUT_SECONDS)
            harness.stop()

        run_virtual(main())

    def test_drain_releases_the_lease(self):
        # A draining VM releases the lease after its orders in flight, so that
        # another VM acquires it without waiting for it to expire.
        async def main():
            harness = OrdersHarness(seed=7, spec=make_spec())
            engines = [harness.add_engine(versions={"v1"}) for _ in range(8)]
            old = harness.add_holder("vm0")
            await wait_until(
                lambda: engines[0].accepted_orders, limit=SETTLE_LIMIT_SECONDS
            )
            await old.reconciler.drain()
            new = harness.add_holder("vm1")
            await asyncio.sleep(6)
            self.assertTrue(new.timeline.events(prefix="orders.holding"))
            harness.stop()

        run_virtual(main())

    def test_no_orders_after_losing_half_of_the_endpoints(self):
        # After a network fault took half of the engines, loading a new
        # version would reduce the remaining capacity.
        async def main():
            harness = OrdersHarness(seed=8, spec=make_spec(version=""))
            engines = [harness.add_engine(versions={"v1"}) for _ in range(8)]
            holder = harness.add_holder("vm0")
            await asyncio.sleep(SETTLE_LIMIT_SECONDS)
            for engine in engines[:4]:
                engine.alive = False
            await asyncio.sleep(10)
            harness.spec = make_spec(max_unavailable=4)
            await asyncio.sleep(40)
            self.assertTrue(holder.timeline.events(prefix="orders.frozen"))
            self.assertEqual([], [e for e in engines if e.accepted_orders])
            await wait_until(lambda: engines[7].accepted_orders, limit=300)
            harness.stop()

        run_virtual(main())

    def test_full_restart_respects_the_load_rate_limit(self):
        # Ten data centres restart with empty engines and share 60 loads a
        # minute. Their leases change holders once; the rate limit must hold
        # across that.
        async def main():
            accepted_orders: list[float] = []
            harnesses = []
            for number in range(10):
                harness = OrdersHarness(seed=100 * number, spec=make_spec())
                for _ in range(10):
                    harness.add_engine()
                old = harness.add_holder(
                    "vm0", data_centres=10, loads_per_minute=60.0
                )
                harnesses.append((harness, old))
            await asyncio.sleep(70)
            for harness, old in harnesses:
                old.leases.cut = True
                harness.add_holder(
                    "vm1", data_centres=10, loads_per_minute=60.0
                )
            await asyncio.sleep(300)
            for harness, _ in harnesses:
                accepted_orders += [
                    at for e in harness.engines for at, _ in e.accepted_orders
                ]
                harness.stop()
            accepted_orders.sort()
            self.assertGreater(len(accepted_orders), 80)
            for start in accepted_orders:
                within = [
                    at for at in accepted_orders if start <= at < start + 60
                ]
                self.assertLessEqual(len(within), 60 + 10)
            for start in accepted_orders:
                within = [
                    at for at in accepted_orders if start <= at < start + 1
                ]
                self.assertLessEqual(len(within), 10)

        run_virtual(main())
