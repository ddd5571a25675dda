"""Clients outside the limits against the product's own interface."""

import asyncio
import contextlib
import unittest
from urllib.parse import urlsplit

from scripts.cluster import Cluster
from scripts.cluster import VmPlan
from scripts.local_deployment import call
from scripts.local_deployment import until
from tests.hostile.crowds import allow_descriptors
from tests.hostile.crowds import chunked_body
from tests.hostile.crowds import Crowd
from tests.hostile.crowds import Gauge
from tests.hostile.crowds import long_header
from tests.hostile.crowds import many_headers
from tests.hostile.crowds import pipelined
from tests.hostile.crowds import sized_body

# Lower than on the machines of the pages, so that small crowds suffice.
MEMORY_MB = 150
MAX_DESCRIPTORS = 300
LIMITS = f"""
[limits]
memory_mb = {MEMORY_MB}
descriptors = {MAX_DESCRIPTORS}
"""
ANSWER_SECONDS = 30
PATH = "/v1/endpoints/announce"


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """One crowd at a time, then one ordinary request."""

    limits = LIMITS

    async def asyncSetUp(self):
        allow_descriptors(4096)
        self.cluster = Cluster(
            vms=[VmPlan(vm_id="v1", region="r", control=True)],
            endpoints=[],
            more_settings=self.limits,
        )
        await self.enterAsyncContext(self.cluster)
        address = urlsplit(self.cluster.url("v1"))
        self.ip, self.port = address.hostname, address.port
        self.token = f"Authorization: Bearer {self.cluster.endpoint_token}"
        await self.is_answered()

    async def is_answered(self):
        """Wait until an ordinary request succeeds."""

        async def serves():
            answer = await call(self.ip, self.port, "GET", "/metrics")
            return answer[0] == 200

        await until(serves, ANSWER_SECONDS)

    async def attack(self, data, *, count, **options):
        """Let a crowd at the process, and check that it bears it."""
        process = self.cluster.processes_by_name["v1"]
        gauge = Gauge(process.pid)
        sampling = asyncio.create_task(gauge.sample())
        crowd = Crowd(ip=self.ip, port=self.port)
        try:
            await crowd.run(data, count=count, **options)
            self.assertIsNone(process.returncode)
            await self.is_answered()
        finally:
            crowd.close()
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
        await self.is_answered()
        self.assertIsNone(process.returncode)
        self.assertLess(gauge.memory_mb, MEMORY_MB)
        self.assertLessEqual(gauge.descriptors, MAX_DESCRIPTORS)

    async def test_heads_of_one_long_header(self):
        """Guards against a head without a limit."""
        await self.attack(long_header(PATH, 4_000_000), count=40)

    async def test_heads_of_many_headers(self):
        """Guards against memory for headers that are not counted."""
        await self.attack(many_headers(PATH, 1_000_000), count=20)

    async def test_empty_lines_without_end(self):
        """Guards against memory for empty lines before a request."""
        await self.attack(b"\r\n" * 500_000, count=40)

    async def test_bodies_short_of_their_end(self):
        """Guards against memory for the sum of incomplete bodies."""
        await self.attack(sized_body(PATH, self.token), count=60)

    async def test_bodies_without_a_token_short_of_their_end(self):
        """Guards against memory for bodies that no handler reads."""
        await self.attack(sized_body(PATH), count=200)

    async def test_bodies_in_small_chunks(self):
        """Guards against memory for an object for each small chunk."""
        data = chunked_body(PATH, self.token, chunk_bytes=2)
        await self.attack(data, count=5)

    async def test_bodies_in_large_chunks(self):
        """Guards against memory for the sum of chunked bodies."""
        data = chunked_body(PATH, self.token, chunk_bytes=65536)
        await self.attack(data, count=60)

    async def test_many_requests_behind_each_other(self):
        """Guards against memory for requests that are not served yet."""
        await self.attack(pipelined("/none", 8000), count=60)

    async def test_idle_connections(self):
        """Guards against descriptors that run out."""
        await self.attack(b"", count=400)

    async def test_metrics_that_nobody_reads(self):
        """Guards against memory for responses to clients that don't read."""
        await self.attack(pipelined("/metrics", 50), count=200, reads=False)
