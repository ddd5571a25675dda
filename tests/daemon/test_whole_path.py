"""The whole path in one process, under virtual time."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import make_answer
from burdockdrum.endpoints import Announcement
from burdockdrum.resources import hash_token
from burdockdrum.settings import read_settings
from burdockdrum.testing import run_virtual
from burdockdrum.testing import serve_asgi
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster

SETTINGS = """
[vm]
id = "{vm}"
region = "{region}"
data_centre = "{region}"
[listen]
control = "tcp://127.0.0.1:{port}"
http = "http://127.0.0.1:{http}"
[cluster]
secret = "sixteen characters and more"
join = ["tcp://127.0.0.1:1001"]
[control]
{data}
[control.members]
a = "tcp://127.0.0.1:1001"
[operators]
token_hashes = ["{operator}"]
[endpoints]
token_hashes = ["{endpoint}"]
"""


def make_settings(vm: str, region: str, number: int):
    data = 'data_folder = "unused"' if number == 1 else ""
    return read_settings(
        SETTINGS.format(
            vm=vm,
            region=region,
            port=1000 + number,
            http=2000 + number,
            data=data,
            operator=hash_token("operator"),
            endpoint=hash_token("endpoint"),
        )
    )


def connect(cluster: FakeCluster, token: str) -> GatewayClient:
    """Return a client that begins at the first VM."""
    return GatewayClient(
        seeds=["http://127.0.0.1:2001"],
        token=token,
        clock=VirtualClock(),
        rng=random.Random(3),
        http=cluster.client("caller"),
    )


class WholePathTest(unittest.TestCase):
    """An operator, an endpoint and a caller, over two VMs of two regions."""

    async def put(self, operator, kind, name, spec):
        body = msgspec.json.encode({"spec": spec})
        path = f"/v1/resources/{kind}/{name}"
        reply = await operator.call("PUT", path, body=body)
        self.assertEqual(200, reply.status, reply.body)

    def test_request_is_answered_through_another_region(self):
        async def main():
            cluster = FakeCluster(seed=1)
            await cluster.start_vm(make_settings("a", "north", 1))
            await cluster.start_vm(make_settings("b", "south", 2))
            engine = EmulatedEngine(
                settings=EngineSettings(service="planner"),
                clock=VirtualClock(),
            )
            application = build_engine_application(engine)
            await application.start()
            cluster.web.serve(
                "http://127.0.0.1:3001", "engine", serve_asgi(application)
            )
            announcer = Announcer(
                http=cluster.client("engine"),
                clock=VirtualClock(),
                entries=["http://127.0.0.1:2002"],
                token="endpoint",
                announcement=Announcement(
                    endpoint_id="e1",
                    incarnation=1,
                    url="http://127.0.0.1:3001",
                    service="planner",
                    slots=4,
                ),
                read_load=lambda: (engine.running, engine.waiting),
            )
            announcing = asyncio.create_task(announcer.run())
            operator = connect(cluster, "operator")
            await asyncio.sleep(5)
            for region in ("north", "south"):
                await self.put(operator, "region", region, {})
            regions = ["north", "south"]
            await self.put(
                operator, "service", "planner", {"regions": regions}
            )
            await self.put(
                operator,
                "client",
                "crew",
                {
                    "home_region": "north",
                    "residency": regions,
                    "token_hashes": [hash_token("caller")],
                },
            )
            await asyncio.sleep(5)
            caller = connect(cluster, "caller")
            messages = [{"role": "user", "content": "hello"}]
            body = msgspec.json.encode(
                {"model": "planner", "messages": messages, "max_tokens": 5}
            )
            reply = await caller.call(
                "POST", "/v1/chat/completions", body=body
            )
            self.assertEqual(200, reply.status, reply.body)
            answer = msgspec.json.decode(reply.body)
            self.assertEqual(
                make_answer(msgspec.json.encode(messages), 5),
                answer["choices"][0]["message"]["content"],
            )
            announcing.cancel()
            await cluster.stop()

        run_virtual(main())
