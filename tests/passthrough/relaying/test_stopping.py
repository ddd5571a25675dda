"""Tests of requests that run when an entry stops."""

import asyncio
import types
from unittest import mock

from burdockdrum.passthrough.relaying.server import PassThroughServer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import events
from tests.passthrough.entries import never_respond
from tests.passthrough.fakes import MODEL
from tests.passthrough.streams import StreamCase
from tests.passthrough.waiting.test_holder import BUSY


def make_server(entry):
    """Return the server of an entry, as far as a stop needs it."""
    return PassThroughServer(
        clock=mock.Mock(),
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
