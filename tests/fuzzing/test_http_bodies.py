"""Fuzzes request bodies and headers through the whole HTTP API."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing import run_virtual
from burdockdrum.testing.vms import FakeCluster
from tests.daemon.test_whole_path import make_settings
from tests.drawing import draw

FUZZ = draw(15)
PATHS = [
    "/v1/chat/completions",
    "/v1/completions",
    "/services/none/path",
    "/v1/forward",
    "/v1/endpoints/announce",
    "/v1/endpoints/x/report",
    "/v1/entries",
    "/no/such/path",
]
BODIES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(PATHS),
        strategies.sampled_from(["operator", "endpoint", "nobody"]),
        strategies.binary(max_size=60)
        | strategies.sampled_from(
            [
                b"{}",
                b"[]",
                b'{"model": 3}',
                b'{"model": "m", "messages": []}',
                b'{"model": "m", "messages": [{"role": "user"}]',
                b'{"model": "m", "prompt": "\xff"}',
            ]
        ),
        strategies.sampled_from(
            ["1", "-1", "nan", "inf", "soon", "1e400", "\x80"]
        ),
    ),
    min_size=4,
    max_size=12,
)


async def send_all(cases: list) -> list[tuple[int, bytes]]:
    """Send each case to one VM and return the statuses and bodies."""
    cluster = FakeCluster(seed=1)
    await cluster.start_vm(make_settings("a", "north", 1))
    await asyncio.sleep(4)
    http = cluster.client("caller")
    replies = []
    for path, token, body, deadline in cases:
        call = UpstreamCall(
            method="POST",
            url="http://127.0.0.1:2001" + path,
            headers={
                "authorization": f"Bearer {token}",
                "x-deadline-seconds": deadline,
                "content-type": "application/json",
            },
            body=body,
        )
        answer = await http.open(call)
        body = await read_whole(answer)
        replies.append((answer.status, body))
    await cluster.stop()
    return replies


class HttpBodyTest(unittest.TestCase):
    """Invalid input is refused as not run, and the VM keeps serving."""

    @FUZZ
    @given(BODIES)
    def test_any_body_is_refused_clearly(self, cases):
        for status, body in run_virtual(send_all(cases)):
            self.assertIn(status, range(400, 500), body)
            error = msgspec.json.decode(body)["error"]
            self.assertEqual("not run", error["verdict"])
            self.assertTrue(error["message"])
            self.assertTrue(error["request_id"].startswith("req-"))
