"""Tests that a stream goes on at the software version that began it."""

from burdockdrum.registrations import ServiceCapacity
from tests.passthrough.entries import at_version
from tests.passthrough.entries import events
from tests.passthrough.entries import RelayCase

STREAM = {"streams": True, "resumable": True, "attempts": 3}
TAKEN_UP = (b"Last-Event-Id: 3", b"X-Resumes: r1")


class StreamVersionTest(RelayCase):
    """Streams of endpoints of two software versions."""

    async def open_broken(self):
        """Open an entry whose only endpoint, of v1, breaks its first stream.

        Endpoints that ``add_later`` names are registered by then.
        """
        self.added = []
        self.on_broken = lambda: None
        self.first = at_version("v1", self.break_off, events(4, 6))
        self.entry = await self.open(self.first, **STREAM)

    async def break_off(self, writer, request_id):
        """Send three events, let the other endpoints register and end."""
        await events(1, 3, end=None)(writer, request_id)
        for number, endpoint in enumerate(self.added):
            self.entry.add_endpoint(
                f"more-{number}",
                endpoint.address,
                software_version=endpoint.software_version,
            )
        self.on_broken()
        writer.transport.abort()

    async def add_later(self, version, number=1):
        """Return endpoints that register while the stream breaks off."""
        endpoints = [at_version(version, events(4, 6)) for _ in range(number)]
        for endpoint in endpoints:
            await endpoint.open()
            self.addAsyncCleanup(endpoint.close)
        self.added += endpoints
        return endpoints

    def count_arrivals(self, endpoints):
        """Return how many requests some endpoints got."""
        return sum(len(endpoint.seen) for endpoint in endpoints)

    async def test_broken_stream_is_resumed_at_its_version(self):
        # Guards against an answer with events of two software versions.
        await self.open_broken()
        others = await self.add_later("v2", 6)
        same = await self.add_later("v1", 1)
        await self.entry.call()
        self.assertEqual(0, self.count_arrivals(others))
        self.assertEqual(1, self.count_arrivals(same))

    async def test_stream_whose_version_is_gone_ends_at_once(self):
        # Guards against waiting for the deadline, or for another version.
        await self.open_broken()
        others = await self.add_later("v2")
        _, _, body = await self.entry.call()
        self.assertIn(b"id: 3\n", body)
        self.assertNotIn(b"id: 4\n", body)
        self.assertEqual(0, self.count_arrivals(others))

    async def test_broken_stream_of_another_region_keeps_its_version(self):
        # Guards against a forwarded request that carries no version.
        await self.open_broken()
        others = [at_version("v2", events(4, 6))]
        await self.world.open_entry("other", others)
        near = await self.world.open_entry("near", capacities=["here"])
        self.on_broken = lambda: near.capacities.append(
            ServiceCapacity("other", "model", 1, 8, [])
        )
        # The other entry counted the request, so that it allows no retry.
        near.budget.record_request("model")
        await near.call()
        self.assertEqual(1, self.count_arrivals([self.first]))
        self.assertEqual(0, self.count_arrivals(others))

    async def test_taken_up_stream_goes_on_at_its_version(self):
        # Guards against a caller's next try that goes to another version.
        await self.open_broken()
        others = await self.add_later("v2", 6)
        await self.entry.call()
        for number in range(3):
            await self.entry.call(*TAKEN_UP, request_id=b"again-%d" % number)
        self.assertEqual(0, self.count_arrivals(others))
        self.assertEqual(4, self.count_arrivals([self.first]))
