"""The emulated engine in memory."""

import asyncio
import contextlib
import random
import unittest

from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineCrashed
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import Fault
from burdockdrum.emulator import make_token
from burdockdrum.emulator import PrefixCache
from burdockdrum.emulator import Work
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock


def make_engine(**changes) -> EmulatedEngine:
    settings = EngineSettings(service="planner", **changes)
    return EmulatedEngine(settings=settings, clock=VirtualClock())


def make_work(name: str, **changes) -> Work:
    fields = {"max_tokens": 4, "prompt": name.encode(), **changes}
    return Work(request_id=name, chat=True, stream=True, **fields)


async def run_all(engine: EmulatedEngine, work: Work) -> float:
    """Check all tokens and return the time of the last one."""
    tokens = [token async for token in engine.generate(work)]
    expected = [
        make_token(work.prompt, i)
        for i in range(work.resume_offset, work.max_tokens)
    ]
    assert tokens == expected, (tokens, expected)
    return asyncio.get_running_loop().time()


class EngineTest(unittest.TestCase):
    """Batches, caches, priorities and faults."""

    def test_requests_share_slots_and_a_larger_batch_is_slower(self):
        async def main(count, slots):
            engine = make_engine(slots=slots, sequence_seconds=0.005)
            works = [make_work(f"w{i}", max_tokens=20) for i in range(count)]
            return max(
                await asyncio.gather(*[run_all(engine, w) for w in works])
            )

        alone = run_virtual(main(1, 4))
        together = run_virtual(main(4, 4))
        queued = run_virtual(main(5, 4))
        self.assertLess(alone, together)
        self.assertLess(together, alone * 4)
        self.assertGreater(queued, together + alone * 0.8)

    def test_merged_steps_take_the_same_time(self):
        async def main(steps):
            engine = make_engine(
                slots=2, sequence_seconds=0.003, steps_at_once=steps
            )

            async def run_later(seconds, work):
                await asyncio.sleep(seconds)
                return await run_all(engine, work)

            return await asyncio.gather(
                run_later(0, make_work("a", max_tokens=50)),
                run_later(0.1001, make_work("b", max_tokens=9)),
                run_later(0.2001, make_work("c", max_tokens=30)),
            )

        for one, many in zip(
            run_virtual(main(1)), run_virtual(main(1000)), strict=True
        ):
            self.assertAlmostEqual(one, many, places=6)

    def test_cached_prefix_is_not_prefilled_again(self):
        async def main():
            engine = make_engine(prefill_seconds=0.001)
            work = {"prompt_tokens": 1024, "prefix_hashes": tuple(range(8))}
            first = await run_all(engine, make_work("a", **work))
            second = await run_all(engine, make_work("b", **work)) - first
            return first, second

        first, second = run_virtual(main())
        self.assertGreater(first, 1.0)
        self.assertLess(second, 0.1)

    def test_lower_rank_is_scheduled_first(self):
        async def main():
            engine = make_engine(slots=1)
            ranks = {"first": 1, "late": 2, "urgent": 0}
            ends = await asyncio.gather(
                *[
                    run_all(engine, make_work(name, rank=rank))
                    for name, rank in ranks.items()
                ]
            )
            return dict(zip(ranks, ends, strict=True))

        ends = run_virtual(main())
        self.assertLess(ends["urgent"], ends["late"])

    def test_cancel_frees_the_slot_and_resume_continues(self):
        async def main():
            engine = make_engine(slots=1)
            work = make_work("a", max_tokens=100)
            received = 0
            async with contextlib.aclosing(engine.generate(work)) as tokens:
                async for _ in tokens:
                    received += 1
                    if received == 3:
                        self.assertTrue(engine.cancel("a"))
            self.assertEqual((0, 0), (engine.running, engine.waiting))
            await run_all(
                engine, make_work("a", max_tokens=6, resume_offset=3)
            )

        run_virtual(main())

    def test_poison_request_crashes_the_engine_and_cuts_its_batch(self):
        """Every stream of the batch must fail instead of ending cleanly."""

        async def main():
            crashes = []
            engine = make_engine(poison=b"POISON")
            engine._on_crash = lambda: crashes.append(1)
            innocent = run_all(engine, make_work("a", max_tokens=100))
            results = await asyncio.gather(
                innocent,
                run_all(engine, make_work("has POISON in it")),
                return_exceptions=True,
            )
            self.assertEqual([1], crashes)
            for result in results:
                self.assertIsInstance(result, EngineCrashed)
            engine.restart()
            await run_all(engine, make_work("b"))

        run_virtual(main())

    def test_slow_hang_and_silent_faults(self):
        async def main(fault):
            engine = make_engine()
            engine.fault = fault
            async with asyncio.timeout(5):
                return await run_all(engine, make_work("a", max_tokens=10))

        good = run_virtual(main(Fault.NONE))
        self.assertAlmostEqual(10 * good, run_virtual(main(Fault.SLOW)))
        for fault in (Fault.HANG, Fault.SILENT):
            with self.assertRaises(TimeoutError):
                run_virtual(main(fault))

    def test_reported_load_lags(self):
        async def main():
            engine = make_engine(report_lag=0.5, token_seconds=1)
            task = asyncio.create_task(run_all(engine, make_work("a")))
            await asyncio.sleep(0.1)
            self.assertEqual(1, engine.running)
            self.assertEqual((0, 0), engine.read_reported_load())
            await asyncio.sleep(0.6)
            self.assertEqual((1, 0), engine.read_reported_load())
            task.cancel()

        run_virtual(main())


class PrefixCacheTest(unittest.TestCase):
    """Eviction, and cache events that are delayed and lost."""

    def test_lru_eviction_and_gaps_from_lost_events(
        self,
    ):
        async def main():
            cache = PrefixCache(
                clock=VirtualClock(),
                rng=random.Random(1),
                capacity=4,
                event_lag=2.0,
                event_loss=0.5,
            )
            cache.store((1, 2))
            cache.store((3, 4))
            cache.match((1, 2))
            cache.store((1, 2))
            cache.store((5,))
            self.assertEqual(2, cache.match((1, 2)))
            self.assertEqual(1, cache.match((3, 4)))
            self.assertEqual([], cache.take_events())
            await asyncio.sleep(2.1)
            events = cache.take_events()
            self.assertEqual(6, cache.sequence)
            self.assertTrue(0 < len(events) < 6)
            self.assertEqual(4, len(cache.contents()))

        run_virtual(main())
