"""Tests of requests that run in another region when an entry stops."""

import asyncio

from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import never_respond
from tests.passthrough.entries import RelayCase
from tests.passthrough.relaying.test_stopping import make_server


class StoppingHopTest(RelayCase):
    """An entry that stops while another one runs its request."""

    async def test_forwarded_request_may_have_run(self):
        # Guards against a promise that a request has not run, which callers
        # then repeat though it must not run twice.
        self.world = EntryDeployment(timeout_seconds=4.0)
        self.addAsyncCleanup(self.world.close)
        first = await self.world.open_entry("here", capacities=["over"])
        remote = Endpoint(never_respond)
        await self.world.open_entry("over", [remote])
        call = asyncio.create_task(first.call(method=b"POST", body=b"x"))
        async with asyncio.timeout(2):
            while not remote.seen:
                await asyncio.sleep(0.005)
        await make_server(first).close()
        status, _, _ = await call
        self.assertEqual(502, status)
