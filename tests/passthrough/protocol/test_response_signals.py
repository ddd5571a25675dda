"""Tests of the backoffs and drains that endpoints' responses announce."""

import asyncio

from burdockdrum.http1 import ResponseHead
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.entries import RelayCase

BACKOFFS = "burdockdrum_endpoint_backoff_requests_total"
DRAINS = "burdockdrum_endpoint_drain_announcements_total"
UNAVAILABLE = b"503 Service Unavailable"
NOT_RUN = b"X-Not-Started: 1"
UNREADABLE_SECONDS = [
    [b""],
    [b" -1"],
    [b" NaN"],
    [b" inf"],
    [b" 1e9"],
    [b" " + b"9" * 5000],
    [b" Thu, 03 Dec 2026 12:00:00 GMT"],
    [b" 2, 3"],
    [b" 2", b" 3"],
]


def reject(*values, extra=(NOT_RUN,), status=UNAVAILABLE):
    """Return a behaviour that rejects a request and requests backoffs."""
    lines = [b"Retry-After:" + value for value in values]
    return answer(b"", status, *extra, *lines, has_provenance=False)


class BackoffObservationTest(RelayCase):
    """Backoffs as an entry receives them."""

    async def observe(self, behaviour):
        """Let an endpoint respond once; return the backoff in seconds."""
        self.entry = await self.open(Endpoint(behaviour))
        await self.entry.call()
        return self.entry.backoffs.seconds_left("here-0")

    def count(self, result):
        return self.entry.metrics.counter(BACKOFFS, "").value(result=result)

    async def test_rejection_requests_a_backoff(self):
        self.assertAlmostEqual(3.0, await self.observe(reject(b" 3")), 0)
        self.assertEqual(1, self.count("requested"))

    async def test_error_of_the_endpoint_counts_without_not_run(self):
        # Guards against reading only responses that say "not run".
        behaviour = answer(b"x", UNAVAILABLE, b"Retry-After: 3")
        self.assertAlmostEqual(3.0, await self.observe(behaviour), 0)

    async def test_equal_values_count_once(self):
        seconds = await self.observe(reject(b" 3", b" 3"))
        self.assertAlmostEqual(3.0, seconds, 0)

    async def test_other_statuses_and_senders_request_nothing(self):
        # Guards against a backoff that the endpoint did not request.
        for behaviour in (
            answer(b"x", UNAVAILABLE, b"Retry-After: 3", has_provenance=False),
            reject(b" 3", extra=(NOT_RUN, b"X-Verdict: not run")),
            reject(b" 3", status=b"421 Misdirected Request"),
            reject(b" 3", status=b"429 Too Many Requests"),
            answer(b"x", b"200 OK", b"Retry-After: 3"),
        ):
            with self.subTest(behaviour=behaviour):
                self.assertEqual(0.0, await self.observe(behaviour))
                self.assertEqual(0, self.count("requested"))

    async def test_unreadable_value_is_ignored(self):
        # Guards against a backoff of NaN or infinity, which never ends.
        for values in UNREADABLE_SECONDS:
            with self.subTest(values=values):
                self.assertEqual(0.0, await self.observe(reject(*values)))
                self.assertEqual(1, self.count("ignored"))


class DrainObservationTest(RelayCase):
    """Announced drains as an entry receives them."""

    async def observe(self, behaviour):
        """Let an endpoint respond twice; return whether it drains."""
        self.entry = await self.open(Endpoint(behaviour))
        await self.entry.call()
        await self.entry.call()
        endpoint = self.entry.registered.get("here-0")
        return endpoint is not None and endpoint.is_draining

    def count(self, result):
        return self.entry.metrics.counter(DRAINS, "").value(result=result)

    async def test_every_response_of_the_endpoint_can_announce(self):
        drain = b"X-Draining: 1"
        for behaviour in (
            answer(b"ok", b"200 OK", drain),
            answer(b"x", b"404 Not Found", drain),
            answer(b"x", b"500 Internal Server Error", drain),
            reject(extra=(NOT_RUN, drain)),
        ):
            with self.subTest(behaviour=behaviour):
                self.assertTrue(await self.observe(behaviour))
                self.assertEqual(1, self.count("announced"))

    async def test_other_senders_announce_nothing(self):
        drain = b"X-Draining: 1"
        for behaviour in (
            answer(b"x", b"200 OK", drain, has_provenance=False),
            reject(extra=(drain, NOT_RUN, b"X-Verdict: not run")),
            reject(extra=(NOT_RUN, drain), status=b"421 Misdirected Request"),
        ):
            with self.subTest(behaviour=behaviour):
                self.assertFalse(await self.observe(behaviour))

    async def test_other_values_are_ignored(self):
        for value in (b"", b" 0", b" true", b" 2", b" 1, 1"):
            with self.subTest(value=value):
                behaviour = answer(b"ok", b"200 OK", b"X-Draining:" + value)
                self.assertFalse(await self.observe(behaviour))
                self.assertEqual(2, self.count("ignored"))


class DrainEffectTest(RelayCase):
    """Requests while endpoints announce to drain."""

    async def test_other_endpoints_serve_instead(self):
        draining = Endpoint(answer(b"first", b"200 OK", b"X-Draining: 1"))
        other = Endpoint(answer(b"other"))
        entry = await self.open(draining, other)
        for _ in range(20):
            self.assertEqual(200, (await entry.call())[0])
        self.assertEqual(1, len(draining.seen))

    async def test_request_is_refused_at_once_if_all_drain(self):
        # Guards against a request that waits for an endpoint to return.
        draining = Endpoint(answer(b"first", b"200 OK", b"X-Draining: 1"))
        entry = await self.open(draining, idempotent=False)
        self.assertEqual(200, (await entry.call(method=b"POST"))[0])
        began = asyncio.get_running_loop().time()
        status, _, body = await entry.call(method=b"POST")
        self.assertLess(asyncio.get_running_loop().time() - began, 0.25)
        self.assertEqual(503, status)
        self.assertIn(b"1 more drain", body)
        self.assertEqual(1, len(draining.seen))

    async def test_running_stream_ends_whole(self):
        async def drain_meanwhile(writer, request_id):
            await events(1, 2, end=False)(NoClose(writer), request_id)
            entry.signals.observe_head(
                entry.registered["here-0"],
                ResponseHead(
                    status=200,
                    headers=[(b"x-endpoint", b"e"), (b"x-draining", b"1")],
                ),
            )
            self.assertTrue(entry.registered["here-0"].is_draining)
            for chunk in (event(3), b""):
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))

        entry = await self.open(Endpoint(drain_meanwhile), streams=True)
        status, _, body = await entry.call()
        self.assertEqual(200, status)
        self.assertIn(b"piece-3", body)


class NoClose:
    """A writer that stays open when a behaviour closes it."""

    def __init__(self, writer):
        """Create it for a writer."""
        self.write = writer.write

    def close(self):
        """Keep the connection open."""


class BrittleObservationTest(RelayCase):
    """Endpoints that can't reject many requests."""

    def observe(self, *values, sent_at=None):
        """Let an endpoint announce values; return what is known then."""
        self.entry.limits.observe(
            self.entry.registered["here-0"], [], values, sent_at=sent_at
        )
        limit = self.entry.limits.limit_of("here-0")
        return limit.max_rejections if limit is not None else None

    async def test_only_a_later_request_withdraws_an_announcement(self):
        # Guards against ending it by a response that was late, or one to
        # another kind of call.
        self.entry = await self.open(Endpoint(answer(b"ok")))
        began = asyncio.get_running_loop().time()
        self.assertEqual(5, self.observe(b"5"))
        self.assertEqual(5, self.observe(sent_at=began))
        self.assertEqual(5, self.observe())
        self.assertIsNone(self.observe(sent_at=began + 60))

    async def test_unreadable_announcement_changes_nothing(self):
        self.entry = await self.open(Endpoint(answer(b"ok")))
        for values in ([b"-1"], [b"x"], [b""], [b"5", b"6"], [b"9" * 5000]):
            with self.subTest(values=values):
                self.assertIsNone(self.observe(*values))
        self.assertEqual(5, self.observe(b" 5"))
        self.assertEqual(5, self.observe(b"x", sent_at=float("inf")))

    async def test_announced_values_fit_into_messages(self):
        self.entry = await self.open(Endpoint(answer(b"ok")))
        self.assertEqual(0, self.observe(b"0"))
        self.assertEqual(1_000_000, self.observe(b"9" * 9))

    async def test_no_more_requests_than_slots_are_sent(self):
        # Guards against an announcement that nobody reads.
        running, most = 0, 0

        async def run(writer, request_id):
            nonlocal running, most
            running += 1
            most = max(most, running)
            await asyncio.sleep(0.1)
            running -= 1
            await answer(b"ok", b"200 OK", b"X-Brittle: 3")(writer, request_id)

        entry = await self.open(Endpoint(run))
        await entry.call()
        calls = [entry.call() for _ in range(30)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertLessEqual(most, 8)
        self.assertIn(200, statuses)
