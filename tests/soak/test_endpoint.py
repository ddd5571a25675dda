"""Tests of the simulated endpoints of the soak."""

import asyncio
import contextlib
import random
import socket
import unittest

from scripts.soak.versioned_endpoint import VersionedEndpoint

REQUEST = (
    b"POST /again/x HTTP/1.1\r\nX-Request-Id: r\r\nX-Expect-Instance:\r\n\r\n"
)
MAX_STEPS = 12
READ_SECONDS = 0.3


async def read_all(client):
    """Return what a socket receives within a time, or until it is reset."""
    data = b""
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        async with asyncio.timeout(READ_SECONDS):
            loop = asyncio.get_running_loop()
            while chunk := await loop.sock_recv(client, 65536):
                data += chunk
    return data


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint of several software versions."""

    async def crash_after(self, steps):
        """Crash that many steps after a request; return what it sent."""
        endpoint = VersionedEndpoint(
            rng=random.Random(1), service="s", zone="z"
        )
        await endpoint.open()
        host, _, port = endpoint.address.rpartition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(REQUEST)
            client.setblocking(False)
            for _ in range(steps):
                await asyncio.sleep(0)
            await endpoint.crash()
            return await read_all(client)

    async def test_endpoint_that_crashed_writes_no_events(self):
        # Guards against connections that are accepted while it crashes, and
        # are answered with the software version of its next incarnation.
        for steps in range(MAX_STEPS):
            with self.subTest(steps=steps):
                self.assertNotIn(b"data", await self.crash_after(steps))
