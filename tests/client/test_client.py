"""Tests of the client's failover between entries."""

import random
import unittest
from unittest import mock

import msgspec

from burdockdrum.client.client import ClientError
from burdockdrum.client.client import GatewayClient
from burdockdrum.client.client import MAX_REFUSAL_BYTES
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing import FakeHttpClient
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import FakeWeb
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock

DRAINING = (
    b'{"error": {"code": "draining", "message": "", "request_id": "r",'
    b' "verdict": "not run"}}'
)


class TwoEntries:
    """Two entries, the first of which to be called fails."""

    def __init__(self, *, fail) -> None:
        self.web = FakeWeb(network=FakeNetwork(rng=random.Random(1)))
        self.calls: list[tuple[str, UpstreamCall]] = []
        self._fail = fail
        for name in ("one", "two"):
            self.web.serve(f"http://{name}:80", name, self._server(name))
        self.client = GatewayClient(
            seeds=["http://one:80"],
            token="t",
            clock=VirtualClock(),
            rng=random.Random(2),
            http=FakeHttpClient(web=self.web, host="caller"),
        )

    def _server(self, name: str):
        async def serve(call: UpstreamCall) -> FakeAnswer:
            if call.url.endswith("/v1/entries"):
                return FakeAnswer(body=self._list())
            self.calls.append((name, call))
            if len(self.calls) == 1:
                return self._fail()
            return FakeAnswer(body=b"done by " + name.encode())

        return serve

    def _list(self) -> bytes:
        entries = [
            {
                "vm_id": name,
                "url": f"http://{name}:80",
                "region": "r",
                "data_centre": "d",
                "weight": 10,
            }
            for name in ("one", "two")
        ]
        return msgspec.json.encode({"entries": entries, "valid_seconds": 5.0})


def lose_response() -> FakeAnswer:
    raise AnswerLost("the entry died")


def refuse_as_draining() -> FakeAnswer:
    return FakeAnswer(status=503, body=DRAINING)


class ClientTest(unittest.TestCase):
    """A call whose first entry fails."""

    def check_each_entry_called_once(self, entries: TwoEntries) -> None:
        names = [name for name, _ in entries.calls]
        self.assertEqual(["one", "two"], sorted(names))

    def test_repeatable_request_is_retried_at_another_entry(self):
        async def main():
            entries = TwoEntries(fail=lose_response)
            reply = await entries.client.call("POST", "/v1/completions")
            self.check_each_entry_called_once(entries)
            self.assertTrue(reply.ok)
            self.assertTrue(reply.may_have_run)

        run_virtual(main())

    def test_unrepeatable_request_is_retried_with_its_key(self):
        # The gateway runs requests with the same key at most once, so the
        # retry at another entry is safe.
        async def main():
            entries = TwoEntries(fail=lose_response)
            headers = {"Idempotency-Key": "k1", "x-unrepeatable": "true"}
            reply = await entries.client.call(
                "POST", "/services/b/", headers=headers, repeatable=False
            )
            self.check_each_entry_called_once(entries)
            self.assertTrue(reply.ok)
            keys = {c.headers["Idempotency-Key"] for _, c in entries.calls}
            self.assertEqual({"k1"}, keys)

        run_virtual(main())

    def test_unrepeatable_request_without_a_key_is_not_retried(self):
        async def main():
            entries = TwoEntries(fail=lose_response)
            with self.assertRaises(ClientError) as caught:
                await entries.client.call(
                    "POST", "/services/b/", repeatable=False
                )
            self.assertTrue(caught.exception.may_have_run)
            self.assertEqual(1, len(entries.calls))

        run_virtual(main())

    def test_any_request_moves_on_from_a_draining_entry(self):
        async def main():
            entries = TwoEntries(fail=refuse_as_draining)
            reply = await entries.client.call(
                "POST", "/services/b/", repeatable=False
            )
            self.check_each_entry_called_once(entries)
            self.assertTrue(reply.ok)
            self.assertFalse(reply.may_have_run)

        run_virtual(main())

    def test_stream_moves_on_before_its_first_chunk(self):
        async def main():
            entries = TwoEntries(fail=refuse_as_draining)
            stream = entries.client.stream("POST", "/v1/completions")
            parts = [part async for part in stream]
            self.check_each_entry_called_once(entries)
            self.assertEqual(1, len(parts))
            self.assertTrue(parts[0].startswith(b"done by"))

        run_virtual(main())

    def test_broken_stream_is_an_error_and_not_retried(self):
        async def broken():
            yield b"part"
            raise AnswerLost("cut")

        async def main():
            entries = TwoEntries(fail=lambda: FakeAnswer(body=broken()))
            parts = []
            with self.assertRaises(ClientError) as caught:
                async for part in entries.client.stream("POST", "/v1/x"):
                    parts.append(part)
            self.assertEqual([b"part"], parts)
            self.assertTrue(caught.exception.may_have_run)
            self.assertEqual(1, len(entries.calls))

        run_virtual(main())

    def test_failed_entry_is_avoided(self):
        async def main():
            entries = TwoEntries(fail=lambda: FakeAnswer(body=b"ok"))
            await entries.client.call("GET", "/v1/models")
            entries.web.stop("http://one:80")
            for _ in range(20):
                reply = await entries.client.call("GET", "/v1/models")
                self.assertEqual("http://two:80", reply.entry)

        run_virtual(main())

    def test_reply_without_end_is_an_error_and_not_retried(self):
        # Guards against a client that fills its memory, once at each entry.
        async def main():
            entries = TwoEntries(fail=lambda: FakeAnswer(body=endless()))
            with self.assertRaises(ClientError) as caught:
                await entries.client.call("POST", "/v1/completions")
            self.assertTrue(caught.exception.may_have_run)
            self.assertEqual(1, len(entries.calls))

        with mock.patch(
            "burdockdrum.ports.http.MAX_WHOLE_BODY_BYTES", 100_000
        ):
            run_virtual(main())

    def test_error_without_end_is_passed_on_in_a_stream(self):
        # Only a short body can be the refusal of an entry that is draining.
        async def main():
            entries = TwoEntries(
                fail=lambda: FakeAnswer(status=503, body=endless())
            )
            size = 0
            async for part in entries.client.stream("POST", "/v1/x"):
                self.assertLess(len(part), 2 * MAX_REFUSAL_BYTES)
                size += len(part)
                if size > 10 * MAX_REFUSAL_BYTES:
                    break
            self.assertEqual(1, len(entries.calls))

        run_virtual(main())


async def endless():
    """Yield parts of a body without end, up to where a test has failed."""
    for _ in range(1_000):
        yield b"x" * 8_000
    raise AssertionError("read 8 MB")
