"""Clients outside the limits against a deployment of real processes."""

import asyncio
import json
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import DIRECTORY_PORT
from scripts.local_deployment import INTERNAL_PORT_RANGE
from scripts.local_deployment import READY_PORT
from scripts.local_deployment import until
from tests.hostile.crowds import allow_descriptors
from tests.hostile.crowds import chunked_body
from tests.hostile.crowds import Crowd
from tests.hostile.crowds import Gauge
from tests.hostile.crowds import long_header
from tests.hostile.crowds import many_headers
from tests.hostile.crowds import pipelined
from tests.hostile.crowds import sized_body
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.platform.processes import CONFIG
from tests.platform.processes import ProcessesCase

# Lower than on the machines of the pages, so that small crowds suffice.
MEMORY_MB = 100
MAX_DESCRIPTORS = 500
# Taken by files outside the data folder.
FILE_DESCRIPTORS = 200
VMS_PORT = INTERNAL_PORT_RANGE[0] + 1
METRICS_PORT = 9464
# Of a message between VMs, below the largest.
FRAME_BYTES = 900 * 1024
ANSWER_SECONDS = 30
IDENTITY = ("X-Request-Id: c1", "X-Deadline-Ms: 3000")


class HostileClientsCase(ProcessesCase):
    """A mixin for one crowd at a time, then one ordinary request."""

    async def asyncSetUp(self):
        allow_descriptors(4096)
        await super().asyncSetUp()
        self.entry = self.deployment.entries[0]
        self.control = self.deployment.control[0]

    def configure(self):
        for machine in self.deployment.machines:
            machine.limits = {
                "memory_limit_mb": MEMORY_MB,
                "max_fds": MAX_DESCRIPTORS,
            }

    async def attack(self, machine, port, data, *, count, **options):
        """Let a crowd at a process, and check that it bears it."""
        process = machine.process
        gauge = Gauge(process.pid)
        sampling = asyncio.create_task(gauge.sample())
        crowd = Crowd(ip=machine.ip, port=port)
        try:
            await crowd.run(data, count=count, **options)
            self.assertIsNone(process.returncode)
            # An ordinary caller is answered while the crowd is there.
            await self.is_answered()
        finally:
            crowd.close()
            sampling.cancel()
        await self.is_answered()
        self.assertIsNone(process.returncode)
        self.assertLess(gauge.memory_mb, MEMORY_MB)
        self.assertLessEqual(
            gauge.descriptors, MAX_DESCRIPTORS - FILE_DESCRIPTORS
        )
        return crowd

    async def is_answered(self):
        """Wait until an ordinary request succeeds at the attacked entry."""

        async def serves():
            return await self.send_request(self.entry) == (200, b"ran")

        await until(serves, ANSWER_SECONDS)


class CallersTest(HostileClientsCase, unittest.IsolatedAsyncioTestCase):
    """Crowds at the listener for callers."""

    async def at_callers(self, data, **options):
        return await self.attack(self.entry, CALLERS_PORT, data, **options)

    async def test_heads_of_many_headers(self):
        """Guards against memory for headers that are counted by bytes."""
        await self.at_callers(many_headers("/p/x", 30_000), count=200)

    async def test_heads_without_end(self):
        """Guards against memory for a head over the limit."""
        await self.at_callers(long_header("/p/x", 3_000_000), count=100)

    async def test_empty_lines_without_end(self):
        """Guards against memory for empty lines before a request."""
        await self.at_callers(b"\r\n" * 500_000, count=100)

    async def test_bodies_short_of_their_end(self):
        """Guards against memory for the sum of incomplete bodies."""
        await self.at_callers(sized_body("/p/x", *IDENTITY), count=60)

    async def test_whole_bodies(self):
        """Guards against memory for the sum of requests that wait."""
        data = sized_body("/p/slow", *IDENTITY, missing=0)
        await self.at_callers(data, count=60)

    async def test_bodies_in_large_chunks(self):
        """Guards against memory for the sum of chunked bodies."""
        data = chunked_body("/p/x", *IDENTITY, chunk_bytes=65536)
        await self.at_callers(data, count=60)

    async def test_bodies_in_small_chunks(self):
        """Guards against memory for an object for each small chunk."""
        data = chunked_body("/p/x", *IDENTITY, chunk_bytes=2)
        await self.at_callers(data, count=5)

    async def test_bodies_in_chunks_of_one_byte(self):
        """Guards against memory for an object for each byte."""
        data = chunked_body("/p/x", *IDENTITY, chunk_bytes=1)
        await self.at_callers(data, count=5)

    async def test_single_body_in_small_chunks_is_served(self):
        """Guards against a legal request that ends or is refused."""
        data = chunked_body(
            "/p/x",
            *IDENTITY,
            "Connection: close",
            chunk_bytes=2,
            is_whole=True,
        )
        reader, writer = await asyncio.open_connection(
            self.entry.ip, CALLERS_PORT
        )
        self.addCleanup(writer.close)
        writer.write(data)
        answer = await reader.readline()
        self.assertIn(b" 200 ", answer)
        self.assertLess(Gauge(self.entry.process.pid).memory_mb, MEMORY_MB)

    async def test_single_body_in_chunks_of_one_byte_is_served(self):
        """Guards against a timeout while the process itself is slow."""
        (route,) = CONFIG["routes"]
        patient = [{**route, "timeout_ms": 120_000}]
        self.assertTrue(await self.put_config(version=5, routes=patient))
        await until(self.is_patient, ANSWER_SECONDS)
        data = chunked_body(
            "/p/x",
            "X-Request-Id: c1",
            "X-Deadline-Ms: 120000",
            "Connection: close",
            chunk_bytes=1,
            is_whole=True,
        )
        reader, writer = await asyncio.open_connection(
            self.entry.ip, CALLERS_PORT
        )
        self.addCleanup(writer.close)
        writer.write(data)
        self.assertIn(b" 200 ", await reader.readline())
        self.assertLess(Gauge(self.entry.process.pid).memory_mb, MEMORY_MB)

    async def is_patient(self):
        """Return whether the attacked entry has the second configuration."""
        await self.send_request(self.entry)
        log = self.entry.log()
        return any(line.get("generation") == 5 for line in log)

    async def test_many_requests_behind_each_other(self):
        """Guards against memory for requests that are not served yet."""
        await self.at_callers(pipelined("/none", 8000), count=60)

    async def test_idle_connections(self):
        """Guards against descriptors that run out."""
        await self.at_callers(b"", count=400)

    async def test_connections_in_the_middle_of_a_head(self):
        """Guards against descriptors that run out."""
        await self.at_callers(b"GET / HTTP/1.1\r\nX: ", count=400)

    async def test_mixed_crowd(self):
        """Guards against budgets that hold only one at a time."""
        data = [
            sized_body("/p/x", *IDENTITY),
            chunked_body("/p/x", *IDENTITY, chunk_bytes=2),
            many_headers("/p/x", 30_000),
            pipelined("/none", 8000),
        ]
        others = [Crowd(ip=self.entry.ip, port=CALLERS_PORT) for _ in data]
        running = asyncio.gather(
            *(
                other.run(part, count=20)
                for other, part in zip(others, data, strict=True)
            )
        )
        try:
            await self.at_callers(b"GET /p/x HTTP/1.1\r\n", count=200)
            await running
        finally:
            for other in others:
                other.close()


class OtherListenersTest(HostileClientsCase, unittest.IsolatedAsyncioTestCase):
    """Crowds at the listeners that callers don't use."""

    async def test_bodies_at_the_listener_for_entries(self):
        """Guards against memory for bodies that other entries forward."""
        data = sized_body("/p/x", *IDENTITY)
        await self.attack(self.entry, VMS_PORT, data, count=60)

    async def test_bodies_at_the_control_address(self):
        """Guards against memory for bodies of operators and endpoints."""
        data = sized_body("/v1/config")
        await self.attack(self.control, CONTROL_PORT, data, count=60)

    async def test_small_chunks_at_the_control_address(self):
        """Guards against memory for an object for each small chunk."""
        data = chunked_body("/v1/config", chunk_bytes=2)
        await self.attack(self.control, CONTROL_PORT, data, count=5)

    async def test_bodies_at_the_directory(self):
        """Guards against memory for bodies that no handler reads."""
        data = sized_body("/v1/resolve")
        await self.attack(self.entry, DIRECTORY_PORT, data, count=60)

    async def test_bodies_at_the_readiness_check(self):
        """Guards against memory for bodies that no handler reads."""
        data = sized_body("/v1/ready")
        await self.attack(self.entry, READY_PORT, data, count=60)

    async def test_bodies_at_the_metrics_address(self):
        """Guards against memory for bodies that no handler reads."""
        data = sized_body("/metrics")
        await self.attack(self.entry, METRICS_PORT, data, count=60)

    async def test_metrics_that_nobody_reads(self):
        """Guards against memory for responses to clients that don't read."""
        data = pipelined("/metrics", 200)
        await self.attack(
            self.entry, METRICS_PORT, data, count=200, reads=False
        )

    async def test_frames_at_the_port_between_vms(self):
        """Guards against memory for frames of those that are no VM."""
        hello = b"\0SP\0\0\x51\0\0"
        frame = FRAME_BYTES.to_bytes(8) + bytes(FRAME_BYTES)
        await self.attack(
            self.entry, INTERNAL_PORT_RANGE[0], hello + frame * 4, count=60
        )

    async def test_idle_connections_at_the_port_between_vms(self):
        """Guards against descriptors that run out by those that are no VM."""
        await self.attack(self.entry, INTERNAL_PORT_RANGE[0], b"", count=400)

    async def test_idle_connections_at_the_control_address(self):
        """Guards against descriptors that run out at a control VM."""
        await self.attack(self.control, CONTROL_PORT, b"", count=400)


class FaultsTest(HostileClientsCase, unittest.IsolatedAsyncioTestCase):
    """Crowds at several processes and listeners beside faults."""

    async def test_crowds_everywhere_while_a_control_vm_restarts(self):
        """Guards against budgets that hold for one listener or in calm."""
        whole = sized_body("/p/slow", *IDENTITY, missing=0)
        small_chunks = chunked_body("/p/x", *IDENTITY, chunk_bytes=2)
        waves = [
            (self.entry, CALLERS_PORT, whole, 30),
            (self.entry, CALLERS_PORT, pipelined("/p/x", 2000), 30),
            (self.entry, VMS_PORT, small_chunks, 5),
            (self.entry, DIRECTORY_PORT, many_headers("/", 30_000), 50),
            (self.control, CONTROL_PORT, sized_body("/v1/config"), 30),
            (self.control, CONTROL_PORT, pipelined("/v1/config", 2000), 30),
            (self.control, DIRECTORY_PORT, b"", 200),
        ]
        gauges = [Gauge(m.process.pid) for m in (self.entry, self.control)]
        sampling = [asyncio.create_task(g.sample()) for g in gauges]
        crowds = [Crowd(ip=m.ip, port=port) for m, port, _, _ in waves]
        running = asyncio.gather(
            *(
                crowd.run(data, count=count)
                for crowd, (_, _, data, count) in zip(
                    crowds, waves, strict=True
                )
            )
        )
        try:
            other = self.deployment.control[1]
            await other.stop()
            await self.is_answered()
            await other.start()
            await running
            await self.is_answered()
        finally:
            for crowd in crowds:
                crowd.close()
            for task in sampling:
                task.cancel()
        self.assertIsNone(self.entry.process.returncode)
        self.assertIsNone(self.control.process.returncode)
        self.assertTrue(await until(self.put_config, ANSWER_SECONDS))
        for gauge in gauges:
            self.assertLess(gauge.memory_mb, MEMORY_MB)
            self.assertLessEqual(
                gauge.descriptors, MAX_DESCRIPTORS - FILE_DESCRIPTORS
            )


async def respond_in_small_chunks(reader, writer):
    """Send a long response in chunks of two bytes."""
    while True:
        head, _ = await read_request(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
            + header(head, b"x-request-id")
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        if b"/large" in head:
            for _ in range(32):
                writer.write(b"2\r\nxx\r\n" * 64 * 1024)
                await writer.drain()
        writer.write(b"3\r\nran\r\n0\r\n\r\n")


class ResponsesTest(HostileClientsCase, unittest.IsolatedAsyncioTestCase):
    """An endpoint whose responses arrive in small chunks."""

    respond = staticmethod(respond_in_small_chunks)

    async def is_served(self):
        answers = [await self.send_request(e) for e in self.deployment.entries]
        return all(b"ran" in body for _, body in answers)

    async def is_answered(self):
        async def serves():
            status, body = await self.send_request(self.entry)
            return status == 200 and b"ran" in body

        await until(serves, ANSWER_SECONDS)

    async def test_responses_in_small_chunks_that_nobody_reads(self):
        """Guards against memory for an object for each small chunk."""
        data = (
            b"POST /p/large HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\n"
            b"X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        )
        await self.attack(
            self.entry, CALLERS_PORT, data % 1, count=4, reads=False
        )


class BigDocumentTest(HostileClientsCase, unittest.IsolatedAsyncioTestCase):
    """Responses of a control VM that are large."""

    async def test_documents_that_nobody_reads(self):
        """Guards against memory for documents that clients don't read."""
        (route,) = CONFIG["routes"]
        routes = [
            {
                **route,
                "name": f"r{n}",
                "path_prefix": f"/many{n}/",
                "kind": "safe",
            }
            for n in range(3000)
        ]
        document = json.dumps(
            {
                **CONFIG,
                "version": 9,
                "routes": [*CONFIG["routes"], *routes],
            }
        ).encode()

        async def put():
            return (
                await call(
                    self.control.ip,
                    CONTROL_PORT,
                    "PUT",
                    "/v1/config",
                    document,
                    seconds=10,
                )
            )[0] == 200

        await until(put, ANSWER_SECONDS)
        await self.attack(
            self.control,
            CONTROL_PORT,
            pipelined("/v1/config", 16),
            count=200,
            reads=False,
        )
