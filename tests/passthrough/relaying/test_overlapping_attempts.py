"""Tests of two attempts of a request that run at once, on loopback."""

import asyncio
import time

from burdockdrum.http1 import NotConnected
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer
from tests.passthrough.entries import answer
from tests.passthrough.entries import close_without_response
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import NAMES
from tests.passthrough.streams import StreamCase

# By the users' rules, as seen from the endpoints.
MAX_OVERLAP_SECONDS = 0.4


class Work:
    """The shared behaviours of endpoints, and when they work on requests."""

    def __init__(self, *behaviours):
        """Create it with pairs of a delay in seconds and a response."""
        self.behaviours = list(behaviours)
        self.periods = []

    def overlap_seconds(self):
        """Return for how long two of them worked at once, at most."""
        longest = 0.0
        for number, (began, ended) in enumerate(self.periods):
            for other_began, other_ended in self.periods[:number]:
                both = min(ended, other_ended) - max(began, other_began)
                longest = max(longest, both)
        return longest


class Worker(ScriptedServer):
    """An endpoint that works for a while, unless its caller leaves."""

    def __init__(self, work):
        """Create an endpoint; ``open`` starts to listen."""
        super().__init__(self._work)
        self._shared = work

    async def _work(self, reader, writer):
        while True:
            head, _ = await read_request(reader)
            seconds, respond = self._shared.behaviours.pop(0)
            period = [time.monotonic(), float("inf")]
            self._shared.periods.append(period)
            try:
                async with asyncio.timeout(seconds):
                    # Returns if the caller closes the connection.
                    await reader.read(1)
                return
            except TimeoutError:
                await respond(writer, header(head, NAMES.request_id))
            finally:
                period[1] = time.monotonic()


def respond_on(route):
    """Return the response of an endpoint on a route."""
    return events(1, 3) if route else answer(b"ok")


class OverlapTest(StreamCase):
    """A stalled attempt and its successor, as endpoints see them."""

    async def play(self, *behaviours, **route):
        """Send a request to two endpoints; return its response and work."""
        work = Work(*behaviours)
        entry = await self.open(
            Worker(work), Worker(work), **{"timeout_seconds": 4.0, **route}
        )
        response = await self.call(entry)
        await asyncio.sleep(0.1)
        return response, work

    async def test_no_request_is_worked_on_twice_for_long(self):
        # Guards against a successor that reads its prompt, or waits in a
        # queue, for seconds beside an attempt that is only slow.
        for route in ({}, self.ROUTE):
            for seconds in (1.0, 2.0, 3.0):
                with self.subTest(seconds=seconds, **route):
                    behaviours = [(seconds, respond_on(route))] * 2
                    response, work = await self.play(*behaviours, **route)
                    self.assertEqual((200, True), (response[0], response[3]))
                    self.assertLessEqual(
                        work.overlap_seconds(), MAX_OVERLAP_SECONDS
                    )

    async def test_successor_that_responds_in_time_is_used(self):
        # Guards against waiting for an endpoint that hangs although another
        # one responds at once.
        for route in ({}, self.ROUTE):
            with self.subTest(**route):
                respond = respond_on(route)
                response, work = await self.play(
                    (9.0, respond), (0.2, respond), **route
                )
                self.assertEqual((200, True), (response[0], response[3]))
                self.assertLessEqual(
                    work.overlap_seconds(), MAX_OVERLAP_SECONDS
                )

    async def test_attempt_that_fails_frees_its_successor(self):
        # Guards against a successor that is withdrawn for an attempt that has
        # ended meanwhile.
        (status, _, data, is_complete), _ = await self.play(
            (1.7, close_without_response), (0.8, events(1, 3)), **self.ROUTE
        )
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"".join(map(event, range(1, 4))), data)

    async def test_request_returns_once_the_stalled_attempt_has_failed(self):
        # Guards against a request that fails though the endpoint that it was
        # withdrawn from would have responded.
        fail = answer(b"", b"500 Internal Server Error")
        for route in ({}, self.ROUTE):
            for name, failure in (
                ("fails", fail),
                ("closes", close_without_response),
            ):
                with self.subTest(name, **route):
                    respond = respond_on(route)
                    response, work = await self.play(
                        (2.2, failure), (0.8, respond), (0.8, respond), **route
                    )
                    self.assertEqual((200, True), (response[0], response[3]))
                    self.assertEqual(3, len(work.periods))

    async def test_unreachable_endpoint_does_not_limit_its_successor(self):
        # Guards against a request that is lost with a dead endpoint, as its
        # successor takes a moment.
        work = Work((9.0, events(1, 3)), (0.8, events(1, 3)))
        endpoints = [Worker(work), Worker(work)]
        entry = await self.open(*endpoints, timeout_seconds=4.0, **self.ROUTE)
        pool = entry.attempts._endpoint_pool
        connect = pool.open

        async def open_unless_dark(address, *, timeout):
            # Both accept nothing more once they have the request.
            if sum(e.connections for e in endpoints) < 2:
                return await connect(address, timeout=timeout)
            await asyncio.sleep(timeout)
            raise NotConnected("timed out")

        pool.open = open_unless_dark
        status, _, _, is_complete = await self.call(entry)
        self.assertEqual((200, True), (status, is_complete))

    async def test_attempt_of_another_region_overlaps_as_little(self):
        # Guards against two runs where the silent one is behind another
        # entry.
        work = Work(*[(3.0, events(1, 3))] * 2)
        self.world = EntryDeployment(timeout_seconds=4.0, **self.ROUTE)
        self.addAsyncCleanup(self.world.close)
        first = await self.world.open_entry("here", capacities=["over"])
        first.budget.record_request("model")
        await self.world.open_entry("over", [Worker(work)])
        local = Worker(work)

        async def register_later():
            await asyncio.sleep(0.2)
            first.add_endpoint("late", await local.open())
            self.addAsyncCleanup(local.close)

        task = asyncio.create_task(register_later())
        status, _, _, is_complete = await self.call(first)
        await task
        await asyncio.sleep(0.1)
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(2, len(work.periods))
        self.assertLessEqual(work.overlap_seconds(), MAX_OVERLAP_SECONDS)
