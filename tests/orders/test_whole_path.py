"""A configured version is loaded by engines, through a complete VM."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import OrderBook
from burdockdrum.endpoints import Announcement
from burdockdrum.testing import run_virtual
from burdockdrum.testing import serve_asgi
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster
from tests.daemon.test_whole_path import make_settings

ENTRY = "http://127.0.0.1:2001"
LIMIT_SECONDS = 120


class WholePathTest(unittest.TestCase):
    """One VM that holds the lease, and two engines with an old version."""

    def setUp(self):
        self.announcing: list[asyncio.Task] = []

    def test_version_is_loaded_on_every_engine(self):
        async def main():
            cluster = FakeCluster(seed=1)
            await cluster.start_vm(make_settings("a", "north", 1))
            books = [await self.start_engine(cluster, n) for n in (1, 2)]
            await asyncio.sleep(5)
            spec = {"regions": ["north"], "version": "v2"}
            for kind, name, body in (
                ("region", "north", {}),
                ("service", "planner", spec),
            ):
                await self.put(cluster, kind, name, body)
            for _ in range(LIMIT_SECONDS):
                await asyncio.sleep(1)
                if all("v2" in book.versions for book in books):
                    break
            for book in books:
                self.assertEqual({"v1", "v2"}, book.versions)
                self.assertEqual(1, len(book.orders))
            await cluster.stop()

        run_virtual(main())

    async def put(self, cluster, kind, name, spec) -> None:
        operator = GatewayClient(
            seeds=[ENTRY],
            token="operator",
            clock=VirtualClock(),
            rng=random.Random(3),
            http=cluster.client("operator"),
        )
        reply = await operator.call(
            "PUT",
            f"/v1/resources/{kind}/{name}",
            body=msgspec.json.encode({"spec": spec}),
        )
        self.assertTrue(reply.ok, reply.body)

    async def start_engine(self, cluster, number: int) -> OrderBook:
        url = f"http://127.0.0.1:300{number}"
        book = OrderBook(versions={"v1"}, adapters=set())
        engine = EmulatedEngine(
            settings=EngineSettings(service="planner"), clock=VirtualClock()
        )
        application = build_engine_application(engine, book)
        await application.start()
        cluster.web.serve(url, f"engine{number}", serve_asgi(application))
        announcer = Announcer(
            http=cluster.client(f"engine{number}"),
            clock=VirtualClock(),
            entries=[ENTRY],
            token="endpoint",
            announcement=Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                url=url,
                service="planner",
                slots=16,
                versions=["v1"],
                checks_fencing=True,
            ),
            read_load=lambda: (engine.running, engine.waiting),
            orders=book,
        )
        self.announcing.append(asyncio.create_task(announcer.run()))
        return book
