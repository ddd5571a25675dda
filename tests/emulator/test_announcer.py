"""Announcements and reports go to one entry VM at a time."""

import asyncio
import collections
import random
import unittest

import msgspec

from burdockdrum.emulator import Announcer
from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import LeaseGrant
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing import FakeHttpClient
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import FakeWeb
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock

FIRST = "http://127.0.0.1:1"
SECOND = "http://127.0.0.1:2"


class AnnouncerTest(unittest.TestCase):
    """Two entry VMs, one of which the endpoint is configured with."""

    async def start(self):
        network = FakeNetwork(rng=random.Random(1))
        web = FakeWeb(network=network)
        calls: collections.Counter[tuple[str, str]] = collections.Counter()

        def serve(url: str) -> None:
            async def answer(call):
                action = call.url.rsplit("/", 1)[1]
                calls[(url, action)] += 1
                grant = LeaseGrant(
                    lease_seconds=3.0,
                    report_seconds=0.5,
                    entries=[FIRST, SECOND],
                )
                return FakeAnswer(body=msgspec.json.encode(grant))

            web.serve(url, url, answer)

        serve(FIRST)
        serve(SECOND)
        announcer = Announcer(
            http=FakeHttpClient(web=web, host="endpoint"),
            clock=VirtualClock(),
            entries=[FIRST],
            token="token",
            announcement=Announcement(
                endpoint_id="e",
                incarnation=1,
                url="http://127.0.0.1:9",
                service="planner",
                slots=4,
            ),
            read_load=lambda: (0, 0),
        )
        task = asyncio.create_task(announcer.run())
        return web, calls, task

    def test_reports_to_one_entry_while_it_responds(self):
        async def main():
            _, calls, task = await self.start()
            await asyncio.sleep(5)
            task.cancel()
            self.assertEqual(1, calls[(FIRST, "announce")])
            self.assertGreater(calls[(FIRST, "report")], 5)
            self.assertEqual(0, calls[(SECOND, "announce")])

        run_virtual(main())

    def test_switches_entry_when_the_first_is_unreachable(self):
        # Guards against an expired lease when the entry VM is replaced: the
        # endpoint knows the other entry VMs from its responses.
        async def main():
            web, calls, task = await self.start()
            await asyncio.sleep(2)
            web.stop(FIRST)
            await asyncio.sleep(2)
            task.cancel()
            self.assertEqual(1, calls[(SECOND, "announce")])
            self.assertGreater(calls[(SECOND, "report")], 0)

        run_virtual(main())
