"""Tests of a runner that asks entries to back off or announces to drain."""

import asyncio
import functools
import time

from scripts.local_deployment import until
from tests.platform.runners import RunnerCase

BACKOFF_SECONDS = 3.0
# From the first rejection on, until the platform's rule holds.
BACKOFF_GRACE_SECONDS = 0.5
MAX_IN_BACKOFF = 2
# From the first announcement on, until the other entry must know of it.
DRAIN_GRACE_SECONDS = 2.0
MEASURED_SECONDS = 2.0


class BackoffTest(RunnerCase):
    """A runner that rejects requests and asks each entry to back off."""

    async def test_entries_keep_to_a_requested_backoff(self):
        # Guards against sending further requests to an endpoint that asked
        # for none.
        # Requests are in flight when the runner begins to reject others.
        self.runner.run_seconds = 0.05
        self.send_to_all()
        await asyncio.sleep(1.0)
        begin = time.monotonic()
        self.runner.headers = (b"Retry-After: %g" % BACKOFF_SECONDS,)
        self.runner.status = b"503 Service Unavailable"
        first_arrivals = [
            await until(functools.partial(self.find_first, number, begin), 5)
            for number in range(len(self.entries))
        ]
        ends_at = max(first_arrivals) + BACKOFF_SECONDS
        await asyncio.sleep(ends_at - time.monotonic())
        self.runner.status = b"200 OK"
        self.runner.headers = ()
        self.assertIn("endpoint.backoff_requested", self.events())
        for number, first_at in enumerate(first_arrivals):
            with self.subTest(entry=number):
                since = first_at + BACKOFF_GRACE_SECONDS
                until_at = first_at + BACKOFF_SECONDS
                in_backoff = [
                    at for at in self.arrivals(number, since) if at <= until_at
                ]
                self.assertLessEqual(len(in_backoff), MAX_IN_BACKOFF)
        await until(self.is_served, 5)

    async def find_first(self, number, since):
        """Return when an entry's first request after a time arrived."""
        return min(self.arrivals(number, since), default=None)


class DrainTest(RunnerCase):
    """A runner that announces to drain while its check-ins say ready."""

    async def test_announced_drain_ends_the_requests_of_all_entries(self):
        # Guards against an announced drain that no entry keeps to, or only
        # the entry that received it.
        self.tasks.append(
            asyncio.create_task(self.send_continuously(self.entries[0]))
        )
        self.runner.headers = (b"Server-Leaving: 1",)
        await until(self.is_announced, 5)
        self.send_to_all()
        begin = time.monotonic() + DRAIN_GRACE_SECONDS
        await asyncio.sleep(DRAIN_GRACE_SECONDS + MEASURED_SECONDS)
        for number in range(len(self.entries)):
            with self.subTest(entry=number):
                self.assertEqual([], self.arrivals(number, begin))

    async def is_announced(self):
        return "endpoint.drain_announced" in self.events()
