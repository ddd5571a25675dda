"""Tests of the endpoint that cuts the connections of some processes."""

import asyncio
import os
import random
import sys
import unittest

from burdockdrum.histories import RetryHistory
from scripts.soak.cut_endpoint import Cut
from scripts.soak.cut_endpoint import CutEndpoint

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n"
# Far above the time of a response.
SILENCE_SECONDS = 0.5
# A response may take longer on a busy machine.
RESPONSE_SECONDS = 10.0


class CutEndpointTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint and connections of this process."""

    async def asyncSetUp(self):
        self.cuts_by_pid = {}
        self.endpoint = CutEndpoint(
            rng=random.Random(1),
            service="s",
            zone="a",
            history=RetryHistory(),
            read_cuts=lambda: self.cuts_by_pid,
        )
        await self.endpoint.open()

    async def asyncTearDown(self):
        self.endpoint.close()

    async def connect(self, **options):
        """Return the two ends of a new connection to the endpoint."""
        host, port = self.endpoint.address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), **options
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def is_answered(
        self, connection, request_id, *, seconds=RESPONSE_SECONDS
    ):
        """Return whether a request on a connection gets a response."""
        reader, writer = connection
        writer.write(REQUEST % request_id)
        try:
            async with asyncio.timeout(seconds):
                await reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            return False
        # The response has the request's id and no other body.
        await reader.readexactly(len(request_id) + 1)
        return True

    async def assert_silent(self, connection, request_id):
        """Check that a request on a connection gets no response."""
        self.assertFalse(
            await self.is_answered(
                connection, request_id, seconds=SILENCE_SECONDS
            )
        )

    async def test_new_connections_are_silent_from_their_first_request(self):
        # Guards against a cut that lets requests on new connections pass.
        kept = await self.connect()
        self.assertTrue(await self.is_answered(kept, b"r0"))
        self.cuts_by_pid = {os.getpid(): Cut.SILENT}
        await self.assert_silent(kept, b"r1")
        for number in range(3):
            await self.assert_silent(await self.connect(), b"n%d" % number)

    async def test_port_that_another_process_has_elsewhere_is_told_apart(self):
        # Guards against a connection that is taken for another process's, as
        # that one has a socket with the same port at another address.
        program = (
            "import socket; s = socket.create_server(('127.0.0.2', 0)); "
            "print(s.getsockname()[1], flush=True); s.accept()"
        )
        other = await asyncio.create_subprocess_exec(
            sys.executable, "-c", program, stdout=asyncio.subprocess.PIPE
        )
        self.addAsyncCleanup(other.wait)
        self.addCleanup(other.kill)
        port = int(await other.stdout.readline())
        self.cuts_by_pid = {os.getpid(): Cut.SILENT}
        connection = await self.connect(local_addr=("127.0.0.1", port))
        await self.assert_silent(connection, b"r0")

    async def test_other_processes_are_not_cut_off(self):
        self.cuts_by_pid = {os.getppid(): Cut.SILENT}
        self.assertTrue(await self.is_answered(await self.connect(), b"r0"))


if __name__ == "__main__":
    unittest.main()
