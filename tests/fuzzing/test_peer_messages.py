"""Fuzzes the control port with invalid and corrupted frames."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Message
from burdockdrum.peers import Seal
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import make_peers
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.drawing import draw

SECRET = b"secret of the test"
FUZZ = draw(60)


class Note(Message, frozen=True, kw_only=True):
    """A test message."""

    number: int
    text: str = ""


async def receive_all(payloads: list[bytes]) -> tuple[list[int], float]:
    """Deliver payloads, then a valid message.

    :returns: the numbers of handled messages and the count of dropped frames
    """
    network = FakeNetwork(rng=random.Random(1))
    mailbox = await network.host("vm").open("mem://vm:1")
    metrics = Metrics()
    peers = make_peers(
        vm_id="vm",
        mailbox=mailbox,
        clock=VirtualClock(),
        secret=SECRET,
        metrics=metrics,
    )
    handled: list[int] = []

    async def handle(sender: object, note: Note) -> None:
        handled.append(note.number)

    peers.register(Note, handle)
    task = asyncio.create_task(peers.run())
    for payload in payloads:
        network.deliver("stranger", mailbox.address, payload)
        await asyncio.sleep(0.01)
    network.deliver("stranger", mailbox.address, make_frame(Note(number=7)))
    await asyncio.sleep(1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    dropped = metrics.counter("burdockdrum_peer_dropped_total", "")
    reasons = ("bad_seal", "bad_frame", "bad_body", "unknown_kind")
    return handled, sum(dropped.value(reason=r) for r in reasons)


def make_frame(note: Note) -> bytes:
    """Return a signed frame with one message."""
    body = msgspec.Raw(msgspec.msgpack.encode(note))
    envelope = (Note.kind(), 0, False, body)
    frame = ("other", "mem://other:1", 1, (0, 0), [envelope])
    return Seal(secret=SECRET).close(msgspec.msgpack.encode(frame))


class PeerMessageTest(unittest.TestCase):
    """A VM drops invalid frames and handles the next valid message."""

    @FUZZ
    @given(strategies.lists(strategies.binary(max_size=200), max_size=5))
    def test_garbage(self, payloads):
        handled, dropped = run_virtual(receive_all(payloads))
        self.assertEqual([7], handled)
        self.assertEqual(len(payloads), dropped)

    @FUZZ
    @given(strategies.binary(max_size=200))
    def test_sealed_garbage(self, content):
        # A VM of another version, or a faulty one, has the secret: its
        # signature is valid, but the payload does not decode.
        payload = Seal(secret=SECRET).close(content)
        handled, _ = run_virtual(receive_all([payload]))
        self.assertEqual([7], handled)

    @FUZZ
    @given(
        strategies.integers(min_value=0, max_value=10_000),
        strategies.integers(min_value=1, max_value=255),
    )
    def test_one_damaged_byte_breaks_the_seal(self, position, mask):
        frame = bytearray(make_frame(Note(number=9, text="damaged")))
        frame[position % len(frame)] ^= mask
        handled, dropped = run_virtual(receive_all([bytes(frame)]))
        self.assertEqual([7], handled)
        self.assertEqual(1, dropped)
