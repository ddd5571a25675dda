"""Tests of authentication, teams and rate limits in the proxy."""

import asyncio

from burdockdrum.registrations import ServiceCapacity
from burdockdrum.resources import RateLimit
from tests.callers.fakes import CERTAIN_SECONDS
from tests.callers.fakes import make_team
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase

TOKEN = b"X-Api-Token: t1"


class CallersTest(RelayCase):
    """Requests with and without tokens of teams."""

    async def open_for(self, *teams, **route):
        """Open an entry with one endpoint for some teams."""
        self.endpoint = Endpoint(answer())
        return await self.open(self.endpoint, teams=list(teams), **route)

    def seen_headers(self, number=0):
        """Return the head of a request that the endpoint received."""
        return self.endpoint.seen[number][0].lower()

    async def test_endpoint_receives_team_but_not_token(self):
        entry = await self.open_for(make_team("blue", "t1"))
        for spelling in (b"X-Team", b"x-team", b"X-TEAM"):
            status, _, _ = await entry.call(TOKEN, spelling + b": red")
            self.assertEqual(200, status)
        for number in range(3):
            seen = self.seen_headers(number)
            self.assertEqual(1, seen.count(b"x-team"))
            self.assertIn(b"x-team: blue", seen)
            self.assertNotIn(b"x-api-token", seen)

    async def test_missing_or_invalid_token_is_unauthorized(self):
        entry = await self.open_for(make_team("blue", "t1"))
        refused = (
            (),
            (b"X-Api-Token: t2",),
            (b"X-Api-Token:",),
            (TOKEN, TOKEN),
            (TOKEN, b"X-Api-Token: t2"),
            (b"X-Team: blue",),
            (b"X-Burdockdrum-Team: blue",),
        )
        for headers in refused:
            with self.subTest(headers=headers):
                status, _, _ = await entry.call(*headers)
                self.assertEqual(401, status)
        self.assertEqual([], self.endpoint.seen)

    async def test_unknown_token_is_retryable_with_outdated_configuration(
        self,
    ):
        """Guards against a final rejection of a token it has not received."""
        entry = await self.open_for(make_team("blue", "t1"))
        self.world.configuration.age = CERTAIN_SECONDS + 1
        status, head, _ = await entry.call(b"X-Api-Token: new")
        self.assertEqual(503, status)
        self.assertIsNotNone(header(head + b"\r\n", b"retry-after"))

    async def test_public_route_needs_no_token(self):
        entry = await self.open_for(make_team("blue", "t1"), public=True)
        for headers in ((), (TOKEN, b"X-Team: red")):
            status, _, _ = await entry.call(*headers)
            self.assertEqual(200, status)
            self.assertNotIn(b"x-team", self.seen_headers(-1))
            self.assertNotIn(b"x-api-token", self.seen_headers(-1))

    async def test_revoked_token_is_rejected_on_open_connection(self):
        """Guards against authenticating only once for each connection."""
        entry = await self.open_for(make_team("blue", "t1"))
        host, _, port = entry.callers.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        statuses = []
        for teams in ([make_team("blue", "t1")], [make_team("blue")]):
            self.world.configuration.apply(
                teams=teams, routes=[self.world.route]
            )
            writer.write(b"GET /p/x HTTP/1.1\r\nHost: h\r\n" + TOKEN)
            writer.write(b"\r\nX-Request-Id: r1\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(int(head.split(b" ")[1]))
            length = header(head, b"content-length")
            await reader.readexactly(int(length))
        self.assertEqual([200, 401], statuses)

    async def test_other_region_receives_team_but_not_token(self):
        entry = await self.open_for(
            make_team("blue", "t1", homes=["there"]), idempotent=True
        )
        far = Endpoint(answer())
        await self.world.open_entry("there", [far])
        entry.capacities.append(ServiceCapacity("there", "model", 1, 8, []))
        status, _, _ = await entry.call(TOKEN)
        self.assertEqual(200, status)
        self.assertEqual([], self.endpoint.seen)
        seen = far.seen[0][0].lower()
        self.assertIn(b"x-team: blue", seen)
        self.assertNotIn(b"t1", seen)
        self.assertNotIn(b"x-burdockdrum", seen)

    async def test_request_without_common_region_is_refused(self):
        entry = await self.open_for(
            make_team("blue", "t1", homes=["there"]), homes=["here"]
        )
        status, head, body = await entry.call(TOKEN)
        self.assertEqual(503, status)
        self.assertIsNotNone(header(head + b"\r\n", b"retry-after"))
        self.assertIn(b"kept to", body)
        self.assertEqual([], self.endpoint.seen)

    async def test_rate_limited_team_receives_retry_after(self):
        limit = RateLimit(per_second=1.0, burst=1.0)
        entry = await self.open_for(
            make_team("blue", "t1", limit=limit), make_team("red", "t2")
        )
        answers = [await entry.call(TOKEN) for _ in range(30)]
        refused = [a for a in answers if a[0] == 429]
        self.assertGreater(len(refused), 20)
        for _, head, _ in refused:
            seconds = float(header(head + b"\r\n", b"retry-after"))
            self.assertGreater(seconds, 0.0)
        status, _, _ = await entry.call(b"X-Api-Token: t2")
        self.assertEqual(200, status)

    async def test_refused_request_does_not_use_quota(self):
        """Guards against charging refusals for lack of capacity."""
        limit = RateLimit(per_second=1.0, burst=1.0)
        self.endpoint = Endpoint(answer())
        entry = await self.open(teams=[make_team("blue", "t1", limit=limit)])
        statuses = {(await entry.call(TOKEN))[0] for _ in range(3)}
        self.assertEqual({503}, statuses)
        self.assertEqual(0.0, entry.meter.local_usage()["blue"].used)
