"""Tests of attempts of a request that run at the same time."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.relaying.running_attempts import RunningAttempts
from burdockdrum.passthrough.relaying.running_attempts import Superseded
from burdockdrum.testing import run_virtual
from tests.drawing import draw

DELIVERED = Delivered(status=200)
LOST = Lost(reason="x")


class Writer:
    """An attempt that writes and stalls as a test tells it."""

    def __init__(self, attempts):
        """Start an attempt."""
        self.outcome = asyncio.get_running_loop().create_future()
        self.written = 0
        attempts.start(self.run)

    async def run(self, attempt):
        """Wait for the outcome."""
        self.attempt = attempt
        attempt.abort = lambda reason: self.end(LOST)
        return await self.outcome

    def write(self):
        """Write a part of the response; return whether it may."""
        if self.outcome.done():
            return False
        try:
            self.attempt.claim_response()
        except Superseded:
            return False
        self.written += 1
        return True

    def end(self, outcome):
        """End with an outcome."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class RunningAttemptsTest(unittest.TestCase):
    """Which attempt owns the response, and which one has ended."""

    def test_stalled_attempt_may_go_on_until_another_one_responds(self):
        async def check():
            attempts = RunningAttempts()
            first = Writer(attempts)
            await asyncio.sleep(0)
            self.assertTrue(first.write())
            first.attempt.stall()
            self.assertIsNone(await attempts.wait())
            second = Writer(attempts)
            await asyncio.sleep(0)
            self.assertTrue(first.write())
            ended = await attempts.wait()
            self.assertIs(second.attempt, ended)
            self.assertTrue(ended.task.cancelled())
            first.end(DELIVERED)
            self.assertTrue(attempts.has_owner)
            self.assertIs(first.attempt, await attempts.wait())
            self.assertFalse(attempts.has_owner)

        run_virtual(check())

    def test_attempt_that_was_superseded_writes_nothing(self):
        # Guards against events of two runs in one response.
        async def check():
            attempts = RunningAttempts()
            first = Writer(attempts)
            await asyncio.sleep(0)
            first.attempt.stall()
            second = Writer(attempts)
            await asyncio.sleep(0)
            self.assertTrue(second.write())
            with self.assertRaises(Superseded):
                first.attempt.claim_response()
            self.assertIs(first.attempt, await attempts.wait())
            self.assertEqual(LOST, first.attempt.task.result())

        run_virtual(check())

    def test_attempt_after_the_owner_has_ended_may_respond(self):
        async def check():
            attempts = RunningAttempts()
            first = Writer(attempts)
            await asyncio.sleep(0)
            self.assertTrue(first.write())
            first.end(LOST)
            await attempts.wait()
            second = Writer(attempts)
            await asyncio.sleep(0)
            self.assertTrue(second.write())

        run_virtual(check())

    @draw(100)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.sampled_from(["write", "stall", "lose", "tick"]),
            ),
            max_size=30,
        )
    )
    def test_response_has_one_owner_at_a_time(self, steps):
        async def check():
            attempts = RunningAttempts()
            writers = [Writer(attempts)]
            await asyncio.sleep(0)
            owner = None
            for number, step in steps:
                writer = writers[number % len(writers)]
                may_write = (
                    owner in (None, writer)
                    or owner.outcome.done()
                    or owner.attempt.is_stalled
                )
                match step:
                    case "write" if writer.write():
                        self.assertTrue(may_write)
                        owner = writer
                    case "stall" if not writer.outcome.done():
                        writer.attempt.stall()
                        if len(writers) < 3:
                            writers.append(Writer(attempts))
                            await asyncio.sleep(0)
                    case "lose":
                        writer.end(LOST)
                    case "tick":
                        await asyncio.sleep(0)
            await attempts.close()
            self.assertFalse(attempts.is_any_running)

        run_virtual(check())
