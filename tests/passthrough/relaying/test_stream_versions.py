"""Tests that a stream goes on at the software version that began it."""

import asyncio

from burdockdrum.registrations import ServiceCapacity
from burdockdrum.streams import make_key
from burdockdrum.streams import StreamOrigin
from tests.passthrough.entries import at_version
from tests.passthrough.entries import EntryDeployment
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

    async def test_stream_doesn_t_begin_at_a_version_that_few_know(self):
        # Guards against a stream that others take for one of another version.
        endpoint = at_version("v1", events(1, 6))
        self.entry = await self.open(endpoint, **STREAM)
        self.world.unestablished_versions = {"v1"}
        status, head, body = await self.entry.call()
        self.assertEqual(503, status)
        self.assertIn(b"retry-after", head.lower())
        self.assertIn(b"no quorum", body)
        self.assertEqual(0, self.count_arrivals([endpoint]))
        self.world.unestablished_versions = set()
        status, _, _ = await self.entry.call(request_id=b"r2")
        self.assertEqual(200, status)

    async def test_response_that_isn_t_taken_up_may_come_from_any_version(
        self,
    ):
        # Guards against endpoints that serve nobody during a cut.
        endpoint = at_version("v1", events(1, 6))
        self.entry = await self.open(
            endpoint, streams=True, resumable=False, attempts=1
        )
        self.world.unestablished_versions = {"v1"}
        status, _, _ = await self.entry.call()
        self.assertEqual(200, status)

    async def test_taken_up_stream_waits_for_the_only_version_to_come_back(
        self,
    ):
        # Guards against a final answer while nothing at all serves.
        await self.open_broken()
        await self.entry.call()
        self.entry.registered.clear()
        status, head, _ = await self.entry.call(*TAKEN_UP, request_id=b"r2")
        self.assertEqual(503, status)
        self.assertIn(b"retry-after", head.lower())

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


class RestartedEndpointTest(RelayCase):
    """An endpoint ends, and is back under its id before it checks in."""

    async def open_restarting(self, *, incarnation):
        """Open an entry whose endpoint ends while it writes a stream.

        The one that follows it at its address is not registered.
        """
        self.first = at_version("v1", self.end)
        self.second = at_version("v2", events(4, 6))
        self.addAsyncCleanup(self.second.close)
        self.entry = await self.open(self.first, **STREAM)
        self.entry.registered.clear()
        self.entry.add_endpoint(
            "e",
            self.first.address,
            software_version="v1",
            incarnation=incarnation,
        )

    async def end(self, writer, request_id):
        """Send three events and end."""
        await events(1, 3, end=None)(writer, request_id)
        await self.first.close()

    async def restart(self):
        """Start the second endpoint at the address of the first."""
        await asyncio.sleep(0.1)
        host, _, port = self.first.address.rpartition(":")
        self.second.server = await asyncio.start_server(
            self.second._serve, host, int(port)
        )
        self.entry.fleet.record_reachable(self.entry.registered["e"])

    async def test_stream_is_not_taken_up_before_the_check_in(self):
        # Guards against a stream with events of two software versions.
        await self.open_restarting(incarnation=5)
        await self.entry.call()
        await self.restart()
        status, head, _ = await self.entry.call(*TAKEN_UP, request_id=b"r2")
        self.assertEqual(503, status)
        self.assertIn(b"retry-after", head.lower())
        self.assertEqual([], self.second.seen)

    async def test_stream_that_begins_before_the_check_in_stays_there(self):
        # Guards against going on at the version that the endpoint had.
        await self.open_restarting(incarnation=5)
        await self.entry.call()
        await self.restart()
        self.second.behaviours = [events(1, 6)]
        status, _, body = await self.entry.call(request_id=b"r3")
        self.assertEqual(200, status)
        self.assertIn(b"id: 6", body)
        other = at_version("v1", events(4, 6))
        self.addAsyncCleanup(other.close)
        self.entry.add_endpoint(
            "other", await other.open(), software_version="v1"
        )
        status, _, _ = await self.entry.call(
            b"Last-Event-Id: 3", b"X-Resumes: r3", request_id=b"r4"
        )
        self.assertEqual(([], 503), (other.seen, status))

    async def test_endpoint_that_changes_its_id_is_not_in_doubt(self):
        # Guards against refusals where a restart is seen by the id.
        await self.open_restarting(incarnation=0)
        await self.entry.call()
        await self.restart()
        status, _, body = await self.entry.call(*TAKEN_UP, request_id=b"r2")
        self.assertEqual(200, status)
        self.assertIn(b"id: 6", body)


class TakenUpStreamTest(RelayCase):
    """Streams that callers take up at an entry that didn't begin them."""

    async def open_entries(self, **route):
        """Open two entries with the same endpoints, of two versions."""
        self.world = EntryDeployment(**{**STREAM, **route})
        self.addAsyncCleanup(self.world.close)
        self.first = at_version("v1", events(1, 3, end=False), events(4, 6))
        self.others = [at_version("v2", events(1, 6)) for _ in range(4)]
        self.began = await self.world.open_entry("here", [self.first])
        self.entry = await self.world.open_entry(
            "here", [self.first, *self.others], name="second"
        )
        self.began.origins._read_versions = lambda service: ["v1", "v2"]
        await self.began.call()
        await asyncio.sleep(0.01)

    def count_others(self):
        """Return how many requests the endpoints of v2 got."""
        return sum(len(endpoint.seen) for endpoint in self.others)

    async def test_stream_goes_on_at_another_entry(self):
        await self.open_entries()
        # The entry that began the stream is gone, but still known.
        self.world.handlers_by_address.pop("tcp://here")
        status, _, body = await self.entry.call(*TAKEN_UP, request_id=b"r2")
        self.assertEqual((200, 0), (status, self.count_others()))
        self.assertIn(b"id: 4\n", body)

    async def test_stream_is_taken_up_a_second_time(self):
        # Guards against knowledge of the caller's last try only.
        await self.open_entries()
        for number in range(3):
            status, _, _ = await self.entry.call(
                *TAKEN_UP, request_id=b"again-%d" % number
            )
            self.assertEqual(200, status)
        self.assertEqual((4, 0), (len(self.first.seen), self.count_others()))

    async def test_stream_whose_forwarded_attempt_was_lost_keeps_its_version(
        self,
    ):
        # Guards against an entry that had begun a stream at another version
        # of which no event reached the caller.
        self.world = EntryDeployment(**STREAM)
        self.addAsyncCleanup(self.world.close)
        first = at_version("v1", events(1, 3, end=False), events(4, 6))
        other = at_version("v2", events(1, 6))
        near = await self.world.open_entry("here", [first])
        far = await self.world.open_entry("far", [other])
        # One of these keeps what began the stream, instead of that entry.
        for name in ("d", "e", "f", "g"):
            await self.world.open_entry(name)
        for entry in (near, far):
            entry.origins._read_versions = lambda service: ["v1", "v2"]
        await far.call(forwarded_from=b"here")
        await near.call()
        await asyncio.sleep(0.01)
        arrivals = len(other.seen)
        for number, entry in enumerate((far, near)):
            await entry.call(*TAKEN_UP, request_id=b"again-%d" % number)
        self.assertEqual(arrivals, len(other.seen))
        self.assertEqual(2, len(first.seen))

    async def test_unknown_stream_gets_a_final_answer(self):
        # Guards against guessing, and against a time to return in vain.
        await self.open_entries()
        bad = {
            "unknown": [b"X-Resumes: r9"],
            "none": [],
            "empty": [b"X-Resumes: "],
            "several": [b"X-Resumes: r1", b"X-Resumes: r1"],
            "long": [b"X-Resumes: " + b"r" * 4000],
            "bytes": [b"X-Resumes: \xff\x00\x01"],
        }
        for name, headers in bad.items():
            with self.subTest(name):
                status, head, _ = await self.entry.call(
                    b"Last-Event-Id: 3", *headers, request_id=b"r2"
                )
                self.assertIn(status, (400, 503))
                self.assertNotIn(b"retry-after", head.lower())
        self.assertEqual(0, self.count_others())

    async def test_stream_whose_route_moved_is_refused_at_once(self):
        # Guards against an attempt at another service with the same version.
        await self.open_entries()
        service = "former"
        self.entry.origins.begin(
            make_key(None, "r5"),
            StreamOrigin(service=service, software_version="v1"),
            [service],
        )
        arrivals = len(self.first.seen)
        status, head, body = await self.entry.call(
            b"Last-Event-Id: 3", b"X-Resumes: r5", request_id=b"r6"
        )
        self.assertEqual(503, status)
        self.assertNotIn(b"retry-after", head.lower())
        self.assertIn(b"former", body)
        self.assertEqual(arrivals, len(self.first.seen))

    async def test_unknown_stream_may_return_while_entries_are_discovered(
        self,
    ):
        # Guards against a final answer of an entry that has just started.
        await self.open_entries()
        self.entry.origins._data_centres = frozenset({"unheard"})
        status, head, _ = await self.entry.call(
            b"Last-Event-Id: 3", b"X-Resumes: r9", request_id=b"r2"
        )
        self.assertEqual(503, status)
        self.assertIn(b"retry-after", head.lower())

    async def test_stream_without_events_begins_anew(self):
        await self.open_entries()
        status, _, _ = await self.entry.call(
            b"X-Resumes: r1", request_id=b"r2"
        )
        self.assertEqual(200, status)

    async def test_stream_that_can_t_be_resumed_ignores_the_header(self):
        await self.open_entries(resumable=False)
        status, _, _ = await self.entry.call(*TAKEN_UP, request_id=b"r2")
        self.assertEqual(200, status)
