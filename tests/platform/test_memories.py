"""Tests of what runners say that they hold, as the platform writes it."""

import asyncio
import json
import pathlib
import sys
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

ROOT = pathlib.Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.memories import read_events  # noqa: E402
from adapter.memories import read_list  # noqa: E402
from adapter.memories import RunnerMemories  # noqa: E402

from burdockdrum.holdings import PrefixCacheUnavailable  # noqa: E402
from burdockdrum.http1 import ConnectionPool  # noqa: E402
from tests.http1.wire import read_request  # noqa: E402
from tests.http1.wire import ScriptedServer  # noqa: E402
from tests.passthrough.fakes import make_endpoint  # noqa: E402

EVENTS = {
    "epoch": 7,
    "next": 22,
    "lost": False,
    "events": [
        [20, "+", "", "cd6f6c6f7c40", 20756, "m"],
        [21, "-", "", "a9400651fb21", 1124, "m"],
        [22, "-", "", "a9400651fb21", 0, "m"],
    ],
}
LIST = {
    "epoch": 7,
    "next": 22,
    "held": [["", "cd6f6c6f7c40", 20756, "m"], ["", "3e09d33b69e7", 17, "m"]],
}
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=7),
    max_leaves=12,
)


def encode(said, **changes):
    """Return a body with fields changed."""
    return json.dumps({**said, **changes}).encode()


class DecodeTest(unittest.TestCase):
    """Lists that are whole, and lists of other writers."""

    def test_events(self):
        events = read_events(encode(EVENTS), 19)
        self.assertEqual((7, 22, False), (events.epoch, events.number, False))
        self.assertFalse(events.has_gap)
        expected = {"cd6f6c6f7c40": 20756, "a9400651fb21": 0}
        self.assertEqual(expected, events.tokens_by_part)

    def test_gaps(self):
        # Some were dropped, one never came, or the last one is late.
        self.assertTrue(read_events(encode(EVENTS, lost=True), 19).has_gap)
        self.assertTrue(read_events(encode(EVENTS), 18).has_gap)
        self.assertTrue(read_events(encode(EVENTS, next=23), 19).has_gap)
        row = EVENTS["events"]
        body = encode(EVENTS, events=[row[0], row[2]])
        self.assertTrue(read_events(body, 19).has_gap)

    def test_entry_that_can_not_be_read_names_nothing(self):
        # The others of the list hold; the event itself is missing.
        rows = [EVENTS["events"][0], ["x"], EVENTS["events"][2]]
        events = read_events(encode(EVENTS, events=rows), 19)
        self.assertTrue(events.has_gap)
        self.assertEqual(20756, events.tokens_by_part["cd6f6c6f7c40"])
        rows = [["", "", 5, "m"], ["", "p", -1, "m"], 3, *LIST["held"]]
        held = read_list(encode(LIST, held=rows))
        self.assertEqual(
            {"cd6f6c6f7c40": 20756, "3e09d33b69e7": 17}, held.tokens_by_part
        )

    def test_what_is_no_such_list_is_refused(self):
        for change in ({"epoch": "7"}, {"next": None}, {"events": {}}):
            with self.assertRaises(PrefixCacheUnavailable):
                read_events(encode(EVENTS, **change), 19)
        with self.assertRaises(PrefixCacheUnavailable):
            read_list(b'{"epoch":1}')

    @settings(max_examples=300, deadline=None)
    @given(
        strategies.lists(VALUES, max_size=5),
        strategies.integers(0, 200),
    )
    def test_any_entries(self, rows, cut):
        for read, said, field in (
            (lambda body: read_events(body, 0), EVENTS, "events"),
            (read_list, LIST, "held"),
        ):
            body = encode(said, **{field: rows})
            for sent in (body, body[:cut]):
                try:
                    held = read(sent)
                except PrefixCacheUnavailable:
                    continue
                for tokens in held.tokens_by_part.values():
                    self.assertGreaterEqual(tokens, 0)

    @settings(max_examples=200, deadline=None)
    @given(strategies.binary(max_size=100))
    def test_any_bytes(self, body):
        for read in (lambda body: read_events(body, 0), read_list):
            try:
                read(body)
            except PrefixCacheUnavailable:
                continue


class CallTest(unittest.IsolatedAsyncioTestCase):
    """The calls, over sockets."""

    async def open(self, status, body):
        self.targets = []

        async def answer(reader, writer):
            while True:
                head, _ = await read_request(reader)
                self.targets.append(head.split(b"\r\n")[0])
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, len(body), body)
                )

        server = ScriptedServer(answer)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        pool = ConnectionPool(id_header=b"x-request-id")
        self.addCleanup(pool.close)
        return RunnerMemories(pool=pool), make_endpoint("e", address=address)

    async def test_calls_go_over_one_connection(self):
        memories, endpoint = await self.open(200, encode(EVENTS))
        for _ in range(3):
            events = await memories.read_events(endpoint, 19)
        self.assertEqual(22, events.number)
        expected = [b"GET /v1/kv-events?since=19 HTTP/1.1"] * 3
        self.assertEqual(expected, self.targets)

    async def test_refusal_is_no_knowledge(self):
        memories, endpoint = await self.open(429, b"")
        with self.assertRaises(PrefixCacheUnavailable):
            await memories.read_events(endpoint, 19)

    async def test_endpoint_that_is_down_is_no_knowledge(self):
        memories, endpoint = await self.open(200, encode(LIST))
        gone = make_endpoint("e", address="127.0.0.1:1")
        with self.assertRaises(PrefixCacheUnavailable):
            await memories.read_snapshot(gone)
        held = await memories.read_snapshot(endpoint)
        self.assertEqual(2, len(held.tokens_by_part))
        await asyncio.sleep(0)
