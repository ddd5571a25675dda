"""Tests of the client for the prefix-cache reports of runners."""

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

from adapter.memories import decode_events  # noqa: E402
from adapter.memories import decode_snapshot  # noqa: E402
from adapter.memories import RunnerCacheClient  # noqa: E402

from burdockdrum.holdings import PrefixCacheUnavailable  # noqa: E402
from burdockdrum.http1 import ConnectionPool  # noqa: E402
from tests.http1.endless import BODY_BY_KIND  # noqa: E402
from tests.http1.endless import EndlessServer  # noqa: E402
from tests.http1.endless import OVERHEAD_BY_KIND  # noqa: E402
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
SNAPSHOT = {
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


def encode(response, **changes):
    """Return a JSON body with some fields changed."""
    return json.dumps({**response, **changes}).encode()


class DecodeTest(unittest.TestCase):
    """Decoding of valid and invalid reports."""

    def test_events_are_decoded(self):
        events = decode_events(encode(EVENTS), 19)
        self.assertEqual((7, 22, False), (events.epoch, events.number, False))
        self.assertFalse(events.has_gap)
        expected = {"cd6f6c6f7c40": 20756, "a9400651fb21": 0}
        self.assertEqual(expected, events.tokens_by_part)

    def test_missing_events_are_a_gap(self):
        # The runner dropped events, one is missing, or the last is missing.
        self.assertTrue(decode_events(encode(EVENTS, lost=True), 19).has_gap)
        self.assertTrue(decode_events(encode(EVENTS), 18).has_gap)
        self.assertTrue(decode_events(encode(EVENTS, next=23), 19).has_gap)
        row = EVENTS["events"]
        body = encode(EVENTS, events=[row[0], row[2]])
        self.assertTrue(decode_events(body, 19).has_gap)

    def test_invalid_entries_are_skipped(self):
        # The valid entries are used; an invalid event counts as a gap.
        rows = [EVENTS["events"][0], ["x"], EVENTS["events"][2]]
        events = decode_events(encode(EVENTS, events=rows), 19)
        self.assertTrue(events.has_gap)
        self.assertEqual(20756, events.tokens_by_part["cd6f6c6f7c40"])
        rows = [["", "", 5, "m"], ["", "p", -1, "m"], 3, *SNAPSHOT["held"]]
        held = decode_snapshot(encode(SNAPSHOT, held=rows))
        self.assertEqual(
            {"cd6f6c6f7c40": 20756, "3e09d33b69e7": 17}, held.tokens_by_part
        )

    def test_invalid_body_is_rejected(self):
        for change in ({"epoch": "7"}, {"next": None}, {"events": {}}):
            with self.assertRaises(PrefixCacheUnavailable):
                decode_events(encode(EVENTS, **change), 19)
        with self.assertRaises(PrefixCacheUnavailable):
            decode_snapshot(b'{"epoch":1}')

    def test_deeply_nested_body_is_rejected(self):
        # RecursionError ended the process of the entry that polled.
        for begin in (b'{"epoch":7,"next":1,"x":', b'{"events":[', b""):
            body = begin + b"[" * 2000
            with self.assertRaises(PrefixCacheUnavailable):
                decode_events(body, 19)
            with self.assertRaises(PrefixCacheUnavailable):
                decode_snapshot(body.replace(b"events", b"held"))

    def test_numbers_that_can_not_be_sent_on_are_rejected(self):
        # OverflowError in the message to other entries ended the process.
        large = 10**25
        for field in ("epoch", "next"):
            with self.assertRaises(PrefixCacheUnavailable):
                decode_events(encode(EVENTS, **{field: large}), 19)
            with self.assertRaises(PrefixCacheUnavailable):
                decode_snapshot(encode(SNAPSHOT, **{field: large}))
        rows = [[20, "+", "", "p", large, "m"]]
        self.assertEqual(
            {}, decode_events(encode(EVENTS, events=rows), 19).tokens_by_part
        )
        rows = [["", "p", large, "m"]]
        self.assertEqual(
            {}, decode_snapshot(encode(SNAPSHOT, held=rows)).tokens_by_part
        )

    @settings(max_examples=300, deadline=None)
    @given(
        strategies.lists(VALUES, max_size=5),
        strategies.integers(0, 200),
    )
    def test_arbitrary_entries_are_decoded_or_rejected(self, rows, cut):
        for read, response, field in (
            (lambda body: decode_events(body, 0), EVENTS, "events"),
            (decode_snapshot, SNAPSHOT, "held"),
        ):
            body = encode(response, **{field: rows})
            for sent in (body, body[:cut]):
                try:
                    held = read(sent)
                except PrefixCacheUnavailable:
                    continue
                for tokens in held.tokens_by_part.values():
                    self.assertGreaterEqual(tokens, 0)

    @settings(max_examples=200, deadline=None)
    @given(strategies.binary(max_size=100))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, body):
        for read in (lambda body: decode_events(body, 0), decode_snapshot):
            try:
                read(body)
            except PrefixCacheUnavailable:
                continue


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Queries over sockets."""

    async def open(self, status, body, *headers):
        self.targets = []
        self.observed = []

        async def answer(reader, writer):
            while True:
                head, _ = await read_request(reader)
                self.targets.append(head.split(b"\r\n")[0])
                writer.write(
                    b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
                    % (status, b"".join(headers), len(body), body)
                )

        server = ScriptedServer(answer)
        address = await server.open()
        self.addAsyncCleanup(server.close)
        pool = ConnectionPool(id_header=b"x-request-id")
        self.addCleanup(pool.close)
        client = RunnerCacheClient(pool=pool, observe=self.observe)
        return client, make_endpoint("e", address=address)

    def observe(self, endpoint, head):
        self.observed.append((endpoint.endpoint_id, head))

    async def test_connection_is_reused(self):
        prefix_caches, endpoint = await self.open(200, encode(EVENTS))
        for _ in range(3):
            events = await prefix_caches.read_events(endpoint, 19)
        self.assertEqual(22, events.number)
        expected = [b"GET /v1/kv-events?since=19 HTTP/1.1"] * 3
        self.assertEqual(expected, self.targets)

    async def test_error_status_raises(self):
        prefix_caches, endpoint = await self.open(429, b"")
        with self.assertRaises(PrefixCacheUnavailable):
            await prefix_caches.read_events(endpoint, 19)

    async def test_every_response_is_observed(self):
        # Guards against a drain or a backoff that only the response to a
        # query announces.
        leaving = b"Server-Leaving: 1\r\n"
        prefix_caches, endpoint = await self.open(503, b"", leaving)
        with self.assertRaises(PrefixCacheUnavailable):
            await prefix_caches.read_events(endpoint, 19)
        [(endpoint_id, head)] = self.observed
        self.assertEqual("e", endpoint_id)
        self.assertEqual(503, head.status)
        self.assertEqual(b"1", head.find(b"server-leaving"))

    async def test_unreachable_endpoint_raises(self):
        prefix_caches, endpoint = await self.open(200, encode(SNAPSHOT))
        unreachable = make_endpoint("e", address="127.0.0.1:1")
        with self.assertRaises(PrefixCacheUnavailable):
            await prefix_caches.read_snapshot(unreachable)
        held = await prefix_caches.read_snapshot(endpoint)
        self.assertEqual(2, len(held.tokens_by_part))
        await asyncio.sleep(0)

    async def test_endless_response_raises_at_once(self):
        # Else each query reads until its timeout. A query names no request,
        # so that a response to another one ends it too.
        pool = ConnectionPool(id_header=b"x-request-id")
        client = RunnerCacheClient(pool=pool)
        for kind, script in (OVERHEAD_BY_KIND | BODY_BY_KIND).items():
            with self.subTest(kind):
                server = EndlessServer(*script)
                address = await server.open()
                self.addAsyncCleanup(server.close)
                endpoint = make_endpoint("e", address=address)
                async with asyncio.timeout(10):
                    with self.assertRaises(PrefixCacheUnavailable) as caught:
                        await client.read_events(endpoint, 19)
                    await server.ended.wait()
                self.assertNotIn("TimeoutError", str(caught.exception))
        self.assertEqual({}, pool.open_by_address)

    async def test_endless_responses_of_many_are_bounded_together(self):
        # Guards against a process whose memory they fill, each below its
        # own limit.
        limit = 1024 * 1024
        client = RunnerCacheClient(
            pool=ConnectionPool(id_header=b"x-request-id"),
            max_held_bytes=limit,
        )
        body = b"x" * 512 * 1024

        async def script(reader, writer):
            await read_request(reader)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                % (len(body) + 1)
                + body
            )
            await asyncio.Event().wait()

        reads = []
        for number in range(8):
            server = ScriptedServer(script)
            self.addAsyncCleanup(server.close)
            endpoint = make_endpoint(f"e{number}", address=await server.open())
            reads.append(asyncio.create_task(client.read_events(endpoint, 19)))
        async with asyncio.timeout(5):
            while sum(read.done() for read in reads) < 6:
                self.assertLessEqual(client._held_bytes, limit + len(body))
                await asyncio.sleep(0.001)
        results = await asyncio.gather(*reads, return_exceptions=True)
        causes = [str(error) for error in results]
        self.assertGreaterEqual(
            causes.count("the responses of all endpoints are too large"), 6
        )
        self.assertEqual(0, client._held_bytes)
