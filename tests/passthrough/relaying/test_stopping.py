"""Tests of requests that run when an entry stops."""

import asyncio
import types
from unittest import mock

from burdockdrum.passthrough.relaying.server import PassThroughServer
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import events
from tests.passthrough.entries import never_respond
from tests.passthrough.fakes import MODEL
from tests.passthrough.streams import StreamCase
from tests.passthrough.waiting.test_holder import BUSY


def make_server(entry):
    """Return the server of an entry, as far as a stop needs it."""
    return PassThroughServer(
        clock=mock.Mock(),
        supervisor=mock.Mock(),
        callers=entry.callers,
        vms=entry.vms,
        pools=[],
        fleet=entry.fleet,
        limits=entry.limits,
        backoffs=entry.backoffs,
        places=mock.Mock(),
        budget=entry.budget,
        registrations=types.SimpleNamespace(listeners=[]),
        drain=mock.Mock(),
        holder=entry.holder,
        crashes=entry.detector,
        prober=entry.prober,
        stop_requests=entry.relay.stop,
    )


class StoppingTest(StreamCase):
    """An entry that stops before its requests have ended."""

    async def stop(self, entry, *, is_begun):
        """Stop an entry while a request runs; return the response."""
        call = asyncio.create_task(entry.call(method=b"POST", body=b"x"))
        async with asyncio.timeout(2):
            while not is_begun():
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        await make_server(entry).close()
        return await call

    async def test_waiting_request_is_refused(self):
        # Guards against closing the connection before the refusal of a
        # request that waits for capacity is written.
        endpoint = Endpoint(never_respond)
        entry = await self.open(endpoint, waiting_line=True)
        self.world.configuration.apply(
            routes=[self.world.route], backends=[MODEL]
        )
        entry.others = BUSY
        status, _, body = await self.stop(
            entry,
            is_begun=lambda: (
                "burdockdrum_waiting_requests 1" in entry.metrics.text()
            ),
        )
        self.assertEqual(503, status)
        self.assertIn(b"stopping", body)
        self.assertEqual([], endpoint.seen)

    async def test_running_request_is_refused(self):
        # Guards against a request that ends with neither a response nor a
        # word on whether it has run.
        endpoint = Endpoint(never_respond)
        entry = await self.open(endpoint, timeout_seconds=4.0)
        status, _, body = await self.stop(
            entry, is_begun=lambda: bool(endpoint.seen)
        )
        self.assertEqual(502, status)
        self.assertIn(b"stopping", body)

    async def test_begun_stream_is_cut(self):
        # Guards against a response that looks complete.
        endpoint = Endpoint(events(1, 3, end=None))
        entry = await self.open(endpoint, timeout_seconds=4.0, **self.ROUTE)
        status, _, body = await self.stop(
            entry, is_begun=lambda: bool(endpoint.seen)
        )
        self.assertEqual(200, status)
        self.assertFalse(body.endswith(b"0\r\n\r\n"))

    async def open_regions(self, *endpoints):
        """Open an entry without endpoints, and one in each other region."""
        self.world = EntryDeployment(timeout_seconds=4.0, idempotent=False)
        self.addAsyncCleanup(self.world.close)
        regions = [f"there{number}" for number in range(len(endpoints))]
        first = await self.world.open_entry("here", capacities=regions)
        # The retry budget of its tests has no burst.
        first.budget.record_request("model")
        others = [
            await self.world.open_entry(region, [endpoint])
            for region, endpoint in zip(regions, endpoints, strict=True)
        ]
        return first, others

    async def test_request_that_a_stopping_entry_ran_is_not_sent_again(self):
        # Guards against running an unrepeatable request twice, as the entry
        # that stops reports only the runs that have ended.
        endpoints = [Endpoint(never_respond), Endpoint(never_respond)]
        first, others = await self.open_regions(*endpoints)
        call = asyncio.create_task(first.call(method=b"POST", body=b"x"))
        async with asyncio.timeout(2):
            while not any(endpoint.seen for endpoint in endpoints):
                await asyncio.sleep(0.005)
        for endpoint, other in zip(endpoints, others, strict=True):
            if endpoint.seen:
                await make_server(other).close()
        await asyncio.sleep(0.3)
        self.assertEqual(1, sum(len(e.seen) for e in endpoints))
        status, _, _ = await call
        self.assertEqual(502, status)

    async def test_request_lost_by_an_entry_without_ended_runs_counts(self):
        # Guards against running an unrepeatable request twice beside an entry
        # that says it may have run, and that no run of it has ended.
        endpoints = [Endpoint(never_respond), Endpoint(never_respond)]
        first, others = await self.open_regions(*endpoints)
        calls = []

        async def lose(request, progress, exchange):
            calls.append(request)
            raise Refusal(
                code=RefusalCode.DRAINING,
                message="stopping",
                verdict=Verdict.MAY_HAVE_RUN,
            )

        for other in others:
            other.relay._runner.run = lose
        status, _, _ = await first.call(method=b"POST", body=b"x")
        self.assertEqual((502, 1), (status, len(calls)))
