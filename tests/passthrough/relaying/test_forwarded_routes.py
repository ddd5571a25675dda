"""Tests of requests between entries of different configurations."""

import asyncio

from burdockdrum.resources import Backend
from burdockdrum.resources import ListenerLimits
from burdockdrum.resources import WeightedService
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_team
from tests.http1.wire import header
from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import EntryDeployment
from tests.passthrough.entries import event
from tests.passthrough.entries import events
from tests.passthrough.fakes import make_route
from tests.passthrough.streams import StreamCase

OLD, NEW = 4, 5
TOKEN = b"X-Api-Token: secret"
# Longer than the news of a change takes from entry to entry.
STALE_SECONDS = 0.5


def split(*names):
    """Return the services of a route."""
    return [WeightedService(service=name) for name in names]


# What a request was read with, and what the other entry knows.
WITH = {"routes": [make_route(**StreamCase.ROUTE)]}
OTHERS = {
    "nothing": {},
    "route": {"routes": [make_route(path_prefix="/q/")]},
    "team": {"teams": [make_team("others", "x")]},
    "service of the route": {
        "routes": [make_route(services=split("other"), **StreamCase.ROUTE)]
    },
    "service": {
        "routes": [make_route(services=split("other"), **StreamCase.ROUTE)],
        "backends": [Backend(name="other")],
    },
    "timeout": {
        "routes": [make_route(timeout_seconds=0.1, **StreamCase.ROUTE)]
    },
    "kind": {"routes": [make_route()]},
}


class ForwardedRouteTest(StreamCase):
    """Requests that another entry would read in another way."""

    async def open_two(
        self, read_with, known_there, *, here, there, first_there=None
    ):
        """Open two entries; the one there changes once ``change`` is called.

        :param read_with: the table with which requests are read here
        :param known_there: the other table there
        :param first_there: the table there before, if not the one here
        """
        teams = [make_team("callers", "secret")]
        read_with = {"teams": teams, **WITH, **read_with}
        known_there = {**read_with, **known_there}
        self.world = EntryDeployment()
        self.addAsyncCleanup(self.world.close)
        configurations = [FakeConfiguration(age=0.1) for _ in "ab"]
        configurations[0].apply(**read_with)
        self.change = lambda: configurations[1].apply(**known_there)
        entry = await self.world.open_entry(
            "here", here, capacities=["there"], configuration=configurations[0]
        )
        configurations[1].apply(
            **{**read_with, **(first_there or {}), "generation": OLD - 1}
        )
        await self.world.open_entry(
            "there", there, configuration=configurations[1]
        )
        return entry

    async def break_off(self, writer, request_id):
        """Send two events, change the configuration there and end."""
        await events(1, 2, end=None)(writer, request_id)
        self.change()
        writer.transport.abort()

    async def resume_slowly(self, writer, request_id):
        """Go on with a stream after a while."""
        await asyncio.sleep(0.3)
        await events(3, 4)(writer, request_id)

    async def call(self, entry):
        """Send a request of a team."""
        call = entry.call
        entry.call = lambda **fields: call(TOKEN, **fields)
        try:
            return await super().call(entry)
        finally:
            entry.call = call

    async def test_stream_goes_on_where_its_route_has_changed(self):
        # Guards against cutting a stream that goes on over an entry which
        # knows its route, team or service no more, or not as it was read.
        for name, known in OTHERS.items():
            for read, other in ((OLD, NEW), (NEW, OLD)):
                with self.subTest(name, is_older=read == OLD):
                    there = Endpoint(self.resume_slowly)
                    entry = await self.open_two(
                        {"generation": read},
                        {**known, "generation": other},
                        here=[Endpoint(self.break_off)],
                        there=[there],
                    )
                    _, _, data, is_complete = await self.call(entry)
                    self.assertEqual(
                        (b"".join(map(event, range(1, 5))), True),
                        (data, is_complete),
                    )
                    ((sent, _),) = there.seen
                    self.assertEqual(b"callers", header(sent, b"x-team"))
                    self.assertIsNone(header(sent, b"x-burdockdrum-route"))
                    await self.world.close()

    async def test_answer_comes_from_where_its_route_has_changed(self):
        # Guards against refusing a request that was read, as only the entry
        # with its endpoints has heard of a change.
        for name in ("route", "team", "service"):
            for read, other in ((OLD, NEW), (NEW, OLD)):
                with self.subTest(name, is_older=read == OLD):
                    entry = await self.open_two(
                        {"generation": read, "routes": [make_route()]},
                        {**OTHERS[name], "generation": other},
                        here=[],
                        there=[Endpoint(answer(b"far"))],
                    )
                    self.change()
                    status, _, body = await entry.call(TOKEN)
                    self.assertEqual((200, b"far"), (status, body))
                    await self.world.close()

    async def test_request_is_not_too_large_for_another_entry(self):
        # Guards against losing a request that was read, as the entry with
        # its endpoints has a lower limit by then, or not yet a higher one.
        low = ListenerLimits(header_bytes=400, body_bytes=1000)
        high = ListenerLimits(header_bytes=800, body_bytes=2000)
        for read, other, old, here, there in (
            (OLD, NEW, high, high, low),
            (NEW, OLD, low, high, low),
        ):
            with self.subTest(is_older=read == OLD):
                route = make_route(idempotent=False)
                entry = await self.open_two(
                    {"generation": read, "routes": [route], "limits": here},
                    {"generation": other, "limits": there},
                    here=[],
                    there=[Endpoint(answer(b"far"))],
                    first_there={"limits": old},
                )
                self.change()
                status, _, _ = await entry.call(
                    TOKEN,
                    b"X-Long: " + b"x" * 600,
                    method=b"POST",
                    body=b"x" * 1900,
                )
                self.assertEqual(200, status)
                await self.world.close()

    async def test_stale_entry_does_not_bring_back_a_route(self):
        # Guards against running requests that the configuration has not
        # allowed for long, for an entry that has not heard of it.
        there = Endpoint(answer(b"far"))
        entry = await self.open_two(
            {"generation": OLD, "routes": [make_route()]},
            {**OTHERS["route"], "generation": NEW},
            here=[],
            there=[there],
        )
        self.change()
        await asyncio.sleep(STALE_SECONDS)
        self.assertEqual(503, (await entry.call(TOKEN))[0])
        self.assertEqual([], there.seen)

    async def test_homes_of_both_configurations_bind(self):
        # Guards against running a request where only one of the two
        # configurations allows it, whichever is newer.
        narrow = {"routes": [make_route(homes=["here", "over"])]}
        wide = {"routes": [make_route(homes=["here", "there"])]}
        team = {"teams": [make_team("callers", "secret", homes=["here"])]}
        for known in (narrow, team):
            for read, other in ((OLD, NEW), (NEW, OLD)):
                with self.subTest(known, is_older=read == OLD):
                    there = Endpoint(answer(b"far"))
                    entry = await self.open_two(
                        {"generation": read, **wide},
                        {**known, "generation": other},
                        here=[],
                        there=[there],
                    )
                    self.change()
                    status, _, _ = await entry.call(TOKEN)
                    self.assertEqual(503, status)
                    self.assertEqual([], there.seen)
                    await self.world.close()
