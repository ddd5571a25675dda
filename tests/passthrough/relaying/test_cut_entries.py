"""Tests of entries that lost their links to endpoints."""

import asyncio
import socket
import time
from unittest import mock

from burdockdrum.passthrough.selection.targets import CUT_ENTRY_SECONDS
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase

REQUESTS = 12
# After the links were cut, by when an entry must serve as well as others.
LEARNING_SECONDS = 4.0
SERVED_SECONDS = 0.5
# Of the first tries, by the platform's rule on entries that are cut off.
MIN_SERVED_FRACTION = 2 / 3
UPDATE_SECONDS = 0.1


class RefusedLink:
    """An address that refuses connections."""

    async def open(self):
        """Reserve an address that nothing listens on."""
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"

    async def close(self):
        """Release the address."""
        self._socket.close()


class HangingLink(RefusedLink):
    """An address at which connections hang, as its queue is full."""

    async def open(self):
        """Fill the queue of a listener that accepts nothing."""
        await super().open()
        self._socket.listen(0)
        self._clients = []
        for _ in range(3):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self._socket.getsockname())
            self._clients.append(client)

    async def close(self):
        """Close the listener and its clients."""
        await super().close()
        for client in self._clients:
            client.close()


class CutEntryTest(RelayCase):
    """An entry without links; another one of its region is served."""

    async def open_region(self, link, *, endpoints=4, **route):
        """Open two entries of a region; the first has only such links."""
        self.world = EntryDeployment(attempts=2, **route)
        self.addAsyncCleanup(self.world.close)
        self.endpoints = [Endpoint(answer()) for _ in range(endpoints)]
        self.far = Endpoint(answer())
        await self.world.open_entry("far", [self.far])
        await self.world.open_entry(
            "here", self.endpoints, name="sound", capacities=("here",)
        )
        cut = await self.world.open_entry(
            "here", self.endpoints, name="cut", capacities=("here", "far")
        )
        self.links = [link() for _ in self.endpoints]
        for name, one in zip(list(cut.registered), self.links, strict=True):
            await one.open()
            self.addAsyncCleanup(one.close)
            cut.add_endpoint(name, one.address)
        return cut

    async def call_often(self, entry, **request):
        """Send requests for a while; return the statuses and times after."""
        began = time.monotonic()
        while time.monotonic() < began + LEARNING_SECONDS:
            call = asyncio.create_task(self.call_one(entry, **request))
            self.addCleanup(call.cancel)
            await asyncio.sleep(UPDATE_SECONDS)
            if call.done() and len(self.early) >= REQUESTS:
                break
        results = []
        for _ in range(REQUESTS):
            results.append(await self.call_one(entry, **request))
        return results

    async def call_one(self, entry, **request):
        """Send a request; return its status and the seconds it took."""
        began = time.monotonic()
        try:
            status, _, _ = await entry.call(**request)
        except TimeoutError:
            status = 0
        self.early.append(status)
        return status, time.monotonic() - began

    def setUp(self):
        super().setUp()
        self.early = []

    def assert_served(self, results):
        """Check that requests are served, and soon."""
        self.assertEqual({200}, {status for status, _ in results}, results)
        slowest = max(seconds for _, seconds in results)
        self.assertLess(slowest, SERVED_SECONDS)

    async def test_refused_links_are_replaced_by_another_entry(self):
        # Guards against an entry that refuses what others of its region
        # would serve, on a route that must not leave the region.
        entry = await self.open_region(RefusedLink, homes=["here"])
        self.assert_served(await self.call_often(entry))
        self.assertEqual([], self.far.seen)

    async def test_hanging_links_are_replaced_by_another_entry(self):
        # Guards against callers that each wait for connects that hang.
        entry = await self.open_region(HangingLink, homes=["here"])
        self.assert_served(await self.call_often(entry))
        self.assertEqual([], self.far.seen)

    async def test_silent_links_are_replaced_by_another_entry(self):
        # Guards against requests that wait on connections that are dead.
        entry = await self.open_region(
            lambda: Endpoint(never_respond), homes=["here"]
        )
        self.assert_served(await self.call_often(entry))

    async def test_entry_of_many_endpoints_is_served_by_another(self):
        # Guards against giving up before the request is handed on.
        entry = await self.open_region(
            RefusedLink, endpoints=12, homes=["here"]
        )
        self.assert_served([await self.call_one(entry)])

    async def test_two_cut_entries_do_not_hand_a_request_to_and_fro(self):
        # Guards against a loop, and against a wait where all links are cut.
        entry = await self.open_region(RefusedLink, homes=["here"])
        other = self.world.entries["sound"]
        for name in list(other.registered):
            other.add_endpoint(name, self.links[0].address)
        results = await self.call_often(entry)
        self.assertEqual({503}, {status for status, _ in results})
        self.assertLess(max(seconds for _, seconds in results), SERVED_SECONDS)

    async def test_entry_serves_by_itself_when_its_links_are_back(self):
        entry = await self.open_region(RefusedLink, homes=["here"])
        await self.call_often(entry)
        for name, endpoint in zip(
            list(entry.registered), self.endpoints, strict=True
        ):
            entry.add_endpoint(name, endpoint.address)
        await asyncio.sleep(2.5)
        self.assertFalse(entry.fleet.has_doubtful("model"))
        status, _ = await self.call_one(entry)
        self.assertEqual(200, status)

    async def test_third_entry_is_asked_after_one_that_is_cut_off(self):
        entry = await self.open_region(RefusedLink, homes=["here"])
        cut = await self.world.open_entry(
            "here", self.endpoints, name="also cut"
        )
        for name in list(cut.registered):
            cut.add_endpoint(name, self.links[0].address)
        self.assert_served(await self.call_often(entry))

    async def test_refusal_of_a_cut_entry_leaves_its_region_in_question(self):
        # Guards against refusing a request because the entry that was asked
        # first reaches no endpoint, while a third one does.
        entry = await self.open_region(RefusedLink, homes=["here"])
        cut = await self.world.open_entry(
            "here", self.endpoints, name="also cut"
        )
        for name in list(cut.registered):
            cut.add_endpoint(name, self.links[0].address)
        for asked in (entry, cut):
            await asyncio.gather(*(asked.call() for _ in range(2)))
        await asyncio.sleep(CUT_ENTRY_SECONDS)
        with mock.patch.object(entry.rng, "choice", lambda names: names[-1]):
            status, _ = await self.call_one(entry)
        self.assertEqual(200, status)

    async def test_endpoint_that_is_silent_until_the_deadline_is_set_aside(
        self,
    ):
        # Guards against an entry that learns nothing from requests that it
        # may not retry.
        for behaviour, is_doubtful in (
            (never_respond, True),
            (answer(), False),
        ):
            entry = await self.open(
                Endpoint(
                    never_respond, never_respond, never_respond, behaviour
                ),
                timeout_seconds=2.0,
                attempts=1,
            )
            calls = [self.call_one(entry) for _ in range(6)]
            await asyncio.gather(*calls)
            found = entry.fleet.has_doubtful("model")
            self.assertEqual(is_doubtful, found, behaviour)

    async def test_entries_that_are_all_silent_leave_requests_to_others(self):
        # Guards against two entries of a region that each wait for the other
        # one's dead connections.
        entry = await self.open_region(lambda: Endpoint(never_respond))
        other = self.world.entries["sound"]
        for name, link in zip(list(other.registered), self.links, strict=True):
            other.add_endpoint(name, link.address)
        await asyncio.gather(self.call_often(entry), self.call_often(other))
        results = [await self.call_one(entry) for _ in range(REQUESTS)]
        served = sum(status == 200 for status, _ in results)
        self.assertGreaterEqual(served, REQUESTS * MIN_SERVED_FRACTION)
