"""Tests of sending and receiving messages between VMs."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.metrics import Metrics
from burdockdrum.peers.authentication import PayloadAuthenticator
from burdockdrum.peers.messages import Envelope
from burdockdrum.peers.messages import Frame
from burdockdrum.peers.messages import Message
from burdockdrum.peers.peers import CallFailed
from burdockdrum.peers.peers import Peers
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import make_peers
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock


class Ping(Message):
    """A message with a number."""

    number: int


class Load(Message):
    """A message of variable size."""

    content: bytes


class Fixture:
    """Two hosts, each with a Peers service, on one network."""

    def __init__(self) -> None:
        self.network = FakeNetwork(rng=random.Random(1))
        self.metrics = Metrics()
        self.seen: list[int] = []

    async def start(self, name: str, secret: bytes = b"s") -> Peers:
        return make_peers(
            vm_id=name,
            mailbox=await self.network.host(name).open(f"mem://{name}:0"),
            clock=VirtualClock(),
            secret=secret,
            metrics=self.metrics,
        )

    async def answer(self, sender, message):
        self.seen.append(message.number)
        return Ping(number=message.number + 1)


async def _run_both(first: Peers, second: Peers, use) -> None:
    tasks = [asyncio.create_task(p.run()) for p in (first, second)]
    try:
        await use()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class PeersTest(unittest.TestCase):
    """Messages between two VMs."""

    def test_large_messages_are_split_over_several_frames(self):
        # In one frame they would exceed the receiver's limit, and all would
        # be dropped silently at each attempt.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            sizes = []
            send = a._mailbox.send

            async def measure(address, payload):
                sizes.append(len(payload))
                await send(address, payload)

            a._mailbox.send = measure
            received = []

            async def receive(sender, message):
                received.append(len(message.content))

            b.register(Load, receive)

            async def use():
                for _ in range(16):
                    target = b.identity.control_address
                    a.send(target, Load(content=bytes(300_000)))
                await asyncio.sleep(1)

            await _run_both(a, b, use)
            self.assertEqual([300_000] * 16, received)
            self.assertLess(max(sizes), 1_100_000)

        run_virtual(main())

    def test_tasks_of_idle_peers_end_and_start_again(self):
        # Guards against a task for each peer that was ever known, and against
        # a message to one whose task is just being ended.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            b.register(Ping, fixture.answer)
            target = b.identity.control_address
            counts = []

            async def use():
                a.send(target, Ping(number=1))
                for pause in (1.0, 119.0, 200.0):
                    await asyncio.sleep(pause)
                    counts.append(len(asyncio.all_tasks()))
                for number in range(2, 5):
                    a.send(target, Ping(number=number))
                    await asyncio.sleep(119.99)

            await _run_both(a, b, use)
            self.assertEqual([1, 2, 3, 4], fixture.seen)
            # One task that sends, and one that handles what arrives.
            self.assertEqual([2, 2, 0], [n - counts[-1] for n in counts])

        run_virtual(main())

    def test_call_is_answered(self):
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            b.register(Ping, fixture.answer)

            async def use():
                reply = await a.call(
                    b.identity.control_address,
                    Ping(number=1),
                    Ping,
                    timeout=1,
                )
                self.assertEqual(2, reply.number)

            await _run_both(a, b, use)

        run_virtual(main())

    def test_messages_of_one_interval_share_a_frame(self):
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            b.register(Ping, fixture.answer)

            async def use():
                for number in range(50):
                    a.send(b.identity.control_address, Ping(number=number))
                await asyncio.sleep(1)
                self.assertEqual(list(range(50)), fixture.seen)
                self.assertEqual(1, fixture.network.delivered)

            await _run_both(a, b, use)

        run_virtual(main())

    def test_call_over_a_partition_fails_after_its_timeout(self):
        # A link that drops the call silently must not hang the caller.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            fixture.network.cut(["a"], ["b"])

            async def use():
                started = asyncio.get_running_loop().time()
                with self.assertRaises(CallFailed):
                    await a.call(
                        b.identity.control_address,
                        Ping(number=1),
                        Ping,
                        timeout=0.5,
                    )
                now = asyncio.get_running_loop().time()
                self.assertAlmostEqual(0.5, now - started, places=3)

            await _run_both(a, b, use)

        run_virtual(main())

    def test_payloads_without_a_valid_tag_are_dropped(self):
        # Anyone can send to the control port. Random bytes and a frame with
        # another secret are counted and dropped; the next valid one is
        # handled.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            b.register(Ping, fixture.answer)
            stranger = await fixture.start("c", secret=b"other")

            async def use():
                target = b.identity.control_address
                for size in (0, 1, 17, 18, 400):
                    fixture.network.deliver("c", target, b"\x01" * size)
                stranger.send(target, Ping(number=7))
                task = asyncio.create_task(stranger.run())
                await asyncio.sleep(1)
                task.cancel()
                self.assertEqual([], fixture.seen)
                a.send(target, Ping(number=8))
                await asyncio.sleep(1)
                self.assertEqual([8], fixture.seen)
                dropped = fixture.metrics.counter(
                    "burdockdrum_peer_dropped_total", ""
                )
                self.assertEqual(6, dropped.value(reason="bad_seal"))

            await _run_both(a, b, use)

        run_virtual(main())

    def test_deeply_nested_payloads_are_dropped(self):
        # RecursionError ended the task that serves all peers.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")
            b.register(Ping, fixture.answer)
            nested = msgspec.Raw(b"\x91" * 5000 + b"\xc0")
            frame = Frame(
                a.identity.vm_id,
                a.identity.control_address,
                a.identity.incarnation,
                HybridClock(clock=VirtualClock()).tick(),
                [Envelope(Ping.kind(), 0, False, nested)],
            )
            payload = PayloadAuthenticator(secret=b"s").sign(
                msgspec.msgpack.encode(frame)
            )

            async def use():
                target = b.identity.control_address
                fixture.network.deliver("a", target, payload)
                await asyncio.sleep(1)
                a.send(target, Ping(number=8))
                await asyncio.sleep(1)
                self.assertEqual([8], fixture.seen)

            await _run_both(a, b, use)

        run_virtual(main())

    def test_reply_that_can_not_be_encoded_ends_no_task(self):
        # OverflowError ended the task that serves all peers.
        async def main():
            fixture = Fixture()
            a = await fixture.start("a")
            b = await fixture.start("b")

            async def answer(sender, message):
                return Ping(number=message.number * 10**25)

            b.register(Ping, answer)

            async def use():
                target = b.identity.control_address
                with self.assertRaises(CallFailed):
                    await a.call(target, Ping(number=8), Ping, timeout=1.0)
                reply = await a.call(target, Ping(number=0), Ping, timeout=1.0)
                self.assertEqual(0, reply.number)
                dropped = fixture.metrics.counter(
                    "burdockdrum_peer_dropped_total", ""
                )
                self.assertEqual(1, dropped.value(reason="failed"))

            await _run_both(a, b, use)

        run_virtual(main())
