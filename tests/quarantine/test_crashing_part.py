"""Requests of which no two are alike, and some share a crashing part."""

import asyncio
import itertools
import unittest

from burdockdrum.web.parsing import PREFIX_BLOCK_BYTES
from tests.quarantine.test_crashing_request import count_crashes
from tests.quarantine.test_crashing_request import CRASHING_PROMPT
from tests.quarantine.test_crashing_request import FULL_TEXT
from tests.quarantine.test_crashing_request import run_with_engines
from tests.requests.stack import read_text

ENGINES = 30
VMS = ("a1", "a2", "b1")
# Crashes after which a part must be known, and further ones allowed.
MAX_CRASHES = 5
MAX_LATE_CRASHES = 3
INTERVAL_SECONDS = 2.0
SHARED = "s" * 2 * PREFIX_BLOCK_BYTES
CRASHING_BLOCK = CRASHING_PROMPT.ljust(PREFIX_BLOCK_BYTES, "k")
SOUND_BLOCK = "y" * PREFIX_BLOCK_BYTES


class CrashingPartTest(unittest.TestCase):
    """Requests at three entries of two regions."""

    def play(self, scenario):
        """Run a scenario with enough engines to lose one a request."""
        self.numbers = itertools.count()
        run_with_engines(scenario, count=ENGINES)

    async def send(self, stack, *blocks):
        """Send a prompt that no other one equals; return the answer."""
        number = next(self.numbers)
        own = f"{number}".rjust(PREFIX_BLOCK_BYTES)
        vm = VMS[number % len(VMS)]
        response = await stack.complete(vm, "".join(blocks) + own * 2)
        return response, await stack.read(response)

    def test_crashing_prefix_is_quarantined(self):
        # Guards against endpoints that crash one by one under requests that
        # are known only as a whole.
        async def scenario(stack, engines):
            for _ in range(12):
                response, body = await self.send(stack, SHARED, CRASHING_BLOCK)
                await asyncio.sleep(INTERVAL_SECONDS)
            self.assertLessEqual(
                count_crashes(engines), MAX_CRASHES + MAX_LATE_CRASHES
            )
            self.assertEqual(422, response.status)
            self.assertIn(b"quarantined", body)

        self.play(scenario)

    def test_requests_with_the_same_beginning_are_served(self):
        # Guards against blaming what the prompts of a route share.
        async def scenario(stack, engines):
            sound = []

            async def send_sound():
                while True:
                    _, body = await self.send(stack, SHARED, SOUND_BLOCK)
                    sound.append(read_text(body))

            task = asyncio.create_task(send_sound())
            for _ in range(12):
                await self.send(stack, SHARED, CRASHING_BLOCK)
                await asyncio.sleep(INTERVAL_SECONDS)
            task.cancel()
            self.assertLessEqual(
                count_crashes(engines), MAX_CRASHES + MAX_LATE_CRASHES
            )
            self.assertEqual({FULL_TEXT}, set(sound))

        self.play(scenario)

    def test_endpoints_that_end_of_other_causes_blame_no_prefix(self):
        # Guards against rejecting what many requests share because several
        # endpoints end at the same time.
        async def scenario(stack, engines):
            async def send():
                while True:
                    await self.send(stack, SHARED, SOUND_BLOCK)

            tasks = [asyncio.create_task(send()) for _ in range(12)]
            for group in (engines[:10], engines[10:20], engines[20:]):
                await asyncio.sleep(1.0)
                for engine in group:
                    engine.crash()
            for task in tasks:
                task.cancel()
            _, body = await self.send(stack, SHARED, SOUND_BLOCK)
            self.assertEqual(FULL_TEXT, read_text(body))

        self.play(scenario)
