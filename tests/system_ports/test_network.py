"""Tests of the control network over loopback sockets."""

import asyncio
import contextlib
import socket
import unittest

import pynng

from burdockdrum.ports import SendFailed
from burdockdrum.system_ports import limit_threads
from burdockdrum.system_ports import PynngNetwork

ANY_PORT = "tcp://127.0.0.1:0"


class PynngNetworkTest(unittest.IsolatedAsyncioTestCase):
    """Guarantees that other packages need beyond those of pynng."""

    @classmethod
    def setUpClass(cls):
        limit_threads()

    async def asyncSetUp(self):
        self.first = await PynngNetwork().open(ANY_PORT)
        self.second = await PynngNetwork().open(ANY_PORT)

    async def asyncTearDown(self):
        await self.first.close()
        await self.second.close()

    async def test_port_zero_selects_a_free_port(self):
        port = int(self.first.address.rpartition(":")[2])
        self.assertGreater(port, 0)

    async def test_payload_arrives(self):
        await self.first.send(self.second.address, b"hello")
        self.assertEqual(b"hello", await self.second.receive())

    async def test_cancelled_receive_loses_nothing(self):
        # A cancelled receive must not lose a payload. Half of the receives
        # are cancelled while payloads are in flight.
        wanted = [b"%d" % number for number in range(100)]
        received = []
        for number, payload in enumerate(wanted):
            await self.first.send(self.second.address, payload)
            receiving = asyncio.create_task(self.second.receive())
            if number % 2:
                await asyncio.sleep(0)
                receiving.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                received.append(await receiving)
        while len(received) < len(wanted):
            async with asyncio.timeout(20):
                received.append(await self.second.receive())
        self.assertEqual(sorted(wanted), sorted(received))

    async def test_cancellation_of_a_send_is_propagated(self):
        # pynng swallows a cancellation that arrives as a send completes; the
        # task would go on, and a daemon with a failed service would hang.
        class LatePush:
            """A socket whose send swallows its cancellation."""

            def send(self, payload, *, block):
                raise pynng.TryAgain("full", 8)

            async def asend(self, payload):
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.Event().wait()

            def close(self):
                pass

        self.first._pushes_by_address["there"] = LatePush()
        sending = asyncio.create_task(self.first.send("there", b"x"))
        await asyncio.sleep(0)
        sending.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await sending

    async def test_payload_read_before_the_cancellation_is_kept(self):
        # The waiting task is cancelled after its payload was read from the
        # socket, and before the task runs again.
        receiving = asyncio.create_task(self.second.receive())
        await asyncio.sleep(0)
        self.second._received.append(b"late")
        self.second._has_received.set()
        receiving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await receiving
        self.assertEqual(b"late", await self.second.receive())

    async def test_burst_of_payloads_keeps_its_order(self):
        # A VM that was paused receives hundreds of queued payloads at once.
        wanted = [b"%d" % number for number in range(600)]

        async def send_all():
            for payload in wanted:
                await self.first.send(self.second.address, payload)

        async with asyncio.timeout(20):
            sending = asyncio.create_task(send_all())
            received = [await self.second.receive() for _ in wanted]
            await sending
        self.assertEqual(wanted, received)

    async def test_send_to_an_unreachable_peer_fails(self):
        # Once the send buffer is full, a send must fail; otherwise the task
        # of that peer would hang and its queue grow.
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"tcp://127.0.0.1:{probe.getsockname()[1]}"
        with self.assertRaises(SendFailed):
            for _ in range(20):
                await self.first.send(address, b"x")

    async def test_restarted_peer_is_reconnected(self):
        address = self.second.address
        await self.first.send(address, b"one")
        self.assertEqual(b"one", await self.second.receive())
        await self.second.close()
        self.second = await PynngNetwork().open(address)
        receiving = asyncio.create_task(self.second.receive())
        for _ in range(100):
            with contextlib.suppress(SendFailed):
                await self.first.send(address, b"two")
            await asyncio.sleep(0.05)
            if receiving.done():
                break
        self.assertEqual(b"two", await receiving)
