"""Orders under a lease that changes hands, and their limits."""

import asyncio
import unittest

from burdockdrum.leases import ORDER_SECONDS
from burdockdrum.resources import ServiceSpec
from burdockdrum.testing import run_virtual
from tests.orders.bed import OrdersBed

SETTLED_SECONDS = 60.0


def make_spec(**changes) -> ServiceSpec:
    """Return a service that wishes version v2."""
    return ServiceSpec(regions=["r"], **{"version": "v2", **changes})


async def wait_until(condition, *, limit: float) -> float:
    """Wait for a condition; return the seconds it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > limit:
            raise AssertionError(f"not within {limit} s")
        await asyncio.sleep(0.1)
    return loop.time() - started


class ReconcilerTest(unittest.TestCase):
    """Engines of one service and the VMs that give them orders."""

    def test_desired_version_and_adapters_are_brought_about(self):
        async def main():
            bed = OrdersBed(seed=1, spec=make_spec(adapters=["a1"]))
            engines = [bed.add_engine(versions={"v1"}) for _ in range(3)]
            engines[0].book.adapters.add("old")
            bed.add_holder("vm0")
            await wait_until(
                lambda: all(
                    "v2" in engine.book.versions
                    and engine.book.adapters == {"a1"}
                    for engine in engines
                ),
                limit=SETTLED_SECONDS + 60,
            )
            bed.stop()

        run_virtual(main())

    def test_version_rolls_within_max_unavailable(self):
        # Six warm engines shall have a new version, two at a time: callers
        # must find four that serve at every moment.
        async def main():
            bed = OrdersBed(seed=2, spec=make_spec(max_unavailable=2))
            engines = [bed.add_engine(versions={"v1"}) for _ in range(6)]
            bed.add_holder("vm0")
            most = 0
            for _ in range(3000):
                most = max(most, sum(e.loading for e in engines))
                await asyncio.sleep(0.1)
            self.assertTrue(all("v2" in e.book.versions for e in engines))
            self.assertEqual(2, most)
            bed.stop()

        run_virtual(main())

    def test_last_warm_endpoint_is_never_taken(self):
        # One engine serves, the other has nothing loaded. The empty one
        # loads first; only then is the other one told to load.
        async def main():
            bed = OrdersBed(seed=3, spec=make_spec(max_unavailable=5))
            warm = bed.add_engine(versions={"v1"})
            cold = bed.add_engine()
            bed.add_holder("vm0")
            await wait_until(lambda: warm.taken, limit=SETTLED_SECONDS + 60)
            self.assertIn("v2", cold.book.versions)
            bed.stop()

        run_virtual(main())

    def test_only_endpoint_is_left_alone(self):
        async def main():
            bed = OrdersBed(seed=4, spec=make_spec())
            engine = bed.add_engine(versions={"v1"})
            bed.add_holder("vm0")
            await asyncio.sleep(300)
            self.assertEqual([], engine.taken)
            bed.stop()

        run_virtual(main())

    def test_engines_that_check_refuse_a_holder_that_never_stopped(self):
        # vm0's clock stands still, so that it believes in its lease for
        # ever, and it is cut off from the control VMs. vm1 gets the lease
        # and a higher number. Both give orders to the same engines; once
        # an engine has seen the higher number it refuses vm0.
        async def main():
            bed = OrdersBed(seed=5, spec=make_spec())
            engines = [bed.add_engine(versions={"v1"}) for _ in range(20)]
            old = bed.add_holder("vm0")
            await wait_until(lambda: engines[0].taken, limit=SETTLED_SECONDS)
            old.leases.cut = True
            old.leases.stop_clock()
            bed.add_holder("vm1")
            await asyncio.sleep(SETTLED_SECONDS)
            bed.spec = make_spec(version="v3", max_unavailable=19)
            await wait_until(
                lambda: all("v3" in e.book.versions for e in engines),
                limit=400,
            )
            for engine in engines:
                numbers = [number for _, number in engine.taken]
                self.assertEqual(sorted(numbers), numbers)
            refused = [
                event
                for event in old.timeline.events(prefix="order.sent")
                if event.details["outcome"] == "refused"
            ]
            self.assertTrue(refused)
            bed.stop()

        run_virtual(main())

    def test_engines_that_ignore_numbers_are_waited_out(self):
        # The same with engines that obey anyone. The old holder's last
        # order may take ORDER_SECONDS after its lease was checked: the new
        # holder's first one comes after that, at every engine.
        async def main():
            spec = make_spec(engines_check_fencing=False)
            bed = OrdersBed(seed=6, spec=spec)
            engines = [
                bed.add_engine(versions={"v1"}, checks_fencing=False)
                for _ in range(20)
            ]
            old = bed.add_holder("vm0")
            await wait_until(lambda: engines[0].taken, limit=SETTLED_SECONDS)
            old.leases.cut = True
            bed.add_holder("vm1")
            await wait_until(
                lambda: all("v2" in e.book.versions for e in engines),
                limit=400,
            )
            taken = [entry for e in engines for entry in e.taken]
            last_old = max(at for at, number in taken if number == 1)
            first_new = min(at for at, number in taken if number == 2)
            self.assertGreater(first_new, last_old + ORDER_SECONDS)
            bed.stop()

        run_virtual(main())

    def test_handed_on_lease_is_taken_up_by_another(self):
        # vm0 drains: it finishes the order in flight and gives the lease
        # back, so that nobody has to wait for it to run out.
        async def main():
            bed = OrdersBed(seed=7, spec=make_spec())
            engines = [bed.add_engine(versions={"v1"}) for _ in range(8)]
            old = bed.add_holder("vm0")
            await wait_until(lambda: engines[0].taken, limit=SETTLED_SECONDS)
            await old.reconciler.hand_on()
            new = bed.add_holder("vm1")
            await asyncio.sleep(6)
            self.assertTrue(new.timeline.events(prefix="orders.holding"))
            bed.stop()

        run_virtual(main())

    def test_nothing_is_ordered_when_half_of_the_endpoints_vanish(self):
        # A switch takes half of the engines. What is left is needed as it
        # is: loading a new version onto it now would make things worse.
        async def main():
            bed = OrdersBed(seed=8, spec=make_spec(version=""))
            engines = [bed.add_engine(versions={"v1"}) for _ in range(8)]
            holder = bed.add_holder("vm0")
            await asyncio.sleep(SETTLED_SECONDS)
            for engine in engines[:4]:
                engine.alive = False
            await asyncio.sleep(10)
            bed.spec = make_spec(max_unavailable=4)
            await asyncio.sleep(40)
            self.assertTrue(holder.timeline.events(prefix="orders.frozen"))
            self.assertEqual([], [e for e in engines if e.taken])
            await wait_until(lambda: engines[7].taken, limit=300)
            bed.stop()

        run_virtual(main())

    def test_restart_of_everything_keeps_within_the_stores_budget(self):
        # Every process of ten data centres restarts, and every engine has
        # nothing loaded. The store gives 60 loads a minute in all. Leases
        # change hands once on the way, and the new holders must not spend
        # the share again.
        async def main():
            taken: list[float] = []
            beds = []
            for number in range(10):
                bed = OrdersBed(seed=100 * number, spec=make_spec())
                for _ in range(10):
                    bed.add_engine()
                old = bed.add_holder(
                    "vm0", data_centres=10, loads_a_minute=60.0
                )
                beds.append((bed, old))
            await asyncio.sleep(70)
            for bed, old in beds:
                old.leases.cut = True
                bed.add_holder("vm1", data_centres=10, loads_a_minute=60.0)
            await asyncio.sleep(300)
            for bed, _ in beds:
                taken += [at for e in bed.engines for at, _ in e.taken]
                bed.stop()
            taken.sort()
            self.assertGreater(len(taken), 80)
            for start in taken:
                within = [at for at in taken if start <= at < start + 60]
                self.assertLessEqual(len(within), 60 + 10)
            for start in taken:
                within = [at for at in taken if start <= at < start + 1]
                self.assertLessEqual(len(within), 10)

        run_virtual(main())
