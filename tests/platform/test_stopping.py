"""Tests of an entry that is stopped while requests go on to arrive."""

import asyncio
import itertools
import re
import signal
import unittest

from scripts.local_deployment import CALLERS_PORT
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.platform.processes import CONFIG
from tests.platform.processes import ProcessesCase

SENT_SECONDS = 6.5
SEND_INTERVAL_SECONDS = 0.2
RUN_SECONDS = (0.2, 1.5, 3.0, 4.5, 6.0)
TIMEOUT_MS = 9000
ROUTE = {**CONFIG["routes"][0], "timeout_ms": TIMEOUT_MS}
STREAM_ROUTE = {
    **ROUTE,
    "name": "stream",
    "path_prefix": "/s/",
    "kind": "stream",
}
STREAM_END = b"\r\n0\r\n\r\n"
_PATH = re.compile(rb"POST /(p|s)/(\d+)")


class StoppingEntryTest(ProcessesCase, unittest.IsolatedAsyncioTestCase):
    """An entry gets SIGTERM, in calm, and requests go on to arrive."""

    slots = 200

    async def asyncSetUp(self):
        self.ran_ids = set()
        await super().asyncSetUp()

    async def respond(self, reader, writer):
        """Respond after the milliseconds in the path, or stream so long."""
        while True:
            head, _ = await read_request(reader)
            kind, milliseconds = _PATH.match(head).groups()
            request_id = header(head, b"x-request-id")
            self.ran_ids.add(request_id.decode())
            response = (
                b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
                + request_id
            )
            if kind == b"s":
                writer.write(
                    response + b"\r\nContent-Type: text/event-stream\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                    b"f\r\nid: 1\ndata: a\n\n\r\n"
                )
            await asyncio.sleep(int(milliseconds) / 1000)
            if kind == b"s":
                writer.write(b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
            else:
                writer.write(response + b"\r\nContent-Length: 3\r\n\r\nran")

    async def is_served(self):
        """Return whether requests to every entry succeed."""
        answers = [
            await self.send("/p/0", f"first-{number}", entry)
            for number, entry in enumerate(self.deployment.entries)
        ]
        return all((a or b"").endswith(b"ran") for a in answers)

    async def put_config(self, **changes):
        """Store a configuration with a plain route and one of streams."""
        return await super().put_config(
            routes=[ROUTE, STREAM_ROUTE], **changes
        )

    async def send(self, path, request_id, entry):
        """Send a request; return all bytes of the response.

        :returns: None if the connection was refused
        """
        try:
            reader, writer = await asyncio.open_connection(
                entry.ip, CALLERS_PORT
            )
        except OSError:
            return None
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n"
            "Content-Length: 1\r\n\r\nq".encode()
        )
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 1):
                return await reader.read()
        except OSError:
            return b""
        finally:
            writer.close()

    async def test_all_that_arrives_in_the_grace_is_answered(self):
        # Guards against requests that are taken late in the grace and cut
        # without an answer at its end.
        stopped, neighbour = self.deployment.entries[:2]
        tasks_by_id = {}
        durations = itertools.cycle(RUN_SECONDS)
        loop = asyncio.get_running_loop()
        until = loop.time() + SENT_SECONDS
        # Handed on to the other entry of the endpoint's region, which stops.
        for path in ("/p/1500", "/s/1500"):
            tasks_by_id[f"hop{path}"] = asyncio.create_task(
                self.send(path, f"hop{path}", neighbour)
            )
        await asyncio.sleep(0.2)
        stopped.send_signal(signal.SIGTERM)
        while loop.time() < until:
            seconds = next(durations)
            for path in ("/p/", "/s/"):
                request_id = f"{path}{len(tasks_by_id)}"
                tasks_by_id[request_id] = asyncio.create_task(
                    self.send(
                        f"{path}{seconds * 1000:.0f}", request_id, stopped
                    )
                )
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        for request_id, task in tasks_by_id.items():
            with self.subTest(request_id):
                answer = await task
                if answer is not None:
                    self.check(request_id, answer)

    def check(self, request_id, answer):
        """Check that an answer is final and true."""
        status = int(answer.split(b" ")[1]) if answer else 0
        has_run = request_id in self.ran_ids
        self.assertIn(status, (200, 502, 503))
        if status == 503:
            self.assertFalse(has_run)
            self.assertIn(b"retry-after", answer.lower())
        if request_id.startswith("hop"):
            self.assertEqual(200, status)
            self.assertTrue(answer.endswith((b"ran", STREAM_END)))
        elif status == 200 and request_id.startswith("/p"):
            self.assertTrue(answer.endswith(b"ran"))


if __name__ == "__main__":
    unittest.main()
