"""Tests of a rolling replacement of entry VMs under load."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.client import ClientError
from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import make_answer
from burdockdrum.endpoints import Announcement
from burdockdrum.resources import hash_token
from burdockdrum.testing import run_virtual
from burdockdrum.testing import serve_asgi
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster
from burdockdrum.vms import Drain
from tests.daemon.test_whole_path import make_settings

ENTRIES = ("b", "c", "d")
URLS = [f"http://127.0.0.1:200{number}" for number in (2, 3, 4)]
TOKENS = 150
TOKEN_SECONDS = 0.02
CALLERS = 6


class StreamingLoad:
    """Callers that stream answers continuously and check each of them."""

    def __init__(self, *, cluster: FakeCluster) -> None:
        self.failures: list[str] = []
        self.complete_answers = 0
        self._cluster = cluster
        self._stopping = False
        self._messages = [{"role": "user", "content": "plan"}]

    def stop(self) -> None:
        self._stopping = True

    async def run(self, number: int) -> None:
        client = GatewayClient(
            seeds=URLS,
            token="caller",
            clock=VirtualClock(),
            rng=random.Random(number),
            http=self._cluster.client(f"caller{number}"),
            data_centre="north",
        )
        await asyncio.sleep(number * 0.37)
        while not self._stopping:
            try:
                await self._check_one(client)
            except ClientError as error:
                self.failures.append(str(error))

    async def _check_one(self, client: GatewayClient) -> None:
        body = msgspec.json.encode(
            {
                "model": "planner",
                "messages": self._messages,
                "max_tokens": TOKENS,
                "stream": True,
            }
        )
        text = ""
        lines = b""
        stream = client.stream("POST", "/v1/chat/completions", body=body)
        async for part in stream:
            lines += part
        for line in lines.splitlines():
            if line.startswith(b"data: {"):
                event = msgspec.json.decode(line[6:])
                choices = event.get("choices", [{}])
                text += choices[0].get("delta", {}).get("content", "")
        prompt = msgspec.json.encode(self._messages)
        if text == make_answer(prompt, TOKENS) and b"[DONE]" in lines:
            self.complete_answers += 1
        else:
            self.failures.append(lines[-200:].decode())


class RollingReplacementTest(unittest.TestCase):
    """A control VM in one data centre, three entries in another."""

    def test_rolling_replacement_truncates_no_answer(self):
        # Each entry is drained and replaced while six callers stream answers
        # of three seconds. No answer may be truncated or finally refused.
        async def main():
            cluster = FakeCluster(seed=5)
            await cluster.start_vm(make_settings("a", "control", 1))
            for number, name in enumerate(ENTRIES, start=2):
                await cluster.start_vm(make_settings(name, "north", number))
            engines = [
                await self.start_engine(cluster, number) for number in (1, 2)
            ]
            await asyncio.sleep(5)
            await self.configure(cluster)
            await asyncio.sleep(5)
            load = StreamingLoad(cluster=cluster)
            calling = [
                asyncio.create_task(load.run(number))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(4)
            for number, name in enumerate(ENTRIES, start=2):
                await self.replace(cluster, name, number)
            load.stop()
            await asyncio.gather(*calling)
            for engine in engines:
                engine.cancel()
            await cluster.stop()
            self.assertEqual([], load.failures)
            self.assertGreater(load.complete_answers, 3 * CALLERS)

        run_virtual(main())

    async def replace(self, cluster, name, number) -> None:
        kernel = cluster.vms_by_id[name].kernel
        drain = kernel.find("drain", Drain)
        drain.begin()
        await asyncio.wait_for(drain.done.wait(), 60)
        await cluster.crash_vm(name)
        await asyncio.sleep(1)
        await cluster.start_vm(make_settings(name, "north", number))
        await asyncio.sleep(6)

    async def start_engine(self, cluster, number: int) -> asyncio.Task:
        url = f"http://127.0.0.1:300{number}"
        engine = EmulatedEngine(
            settings=EngineSettings(
                service="planner", slots=16, token_seconds=TOKEN_SECONDS
            ),
            clock=VirtualClock(),
        )
        application = build_engine_application(engine)
        await application.start()
        cluster.web.serve(url, f"engine{number}", serve_asgi(application))
        announcer = Announcer(
            http=cluster.client(f"engine{number}"),
            clock=VirtualClock(),
            entries=URLS,
            token="endpoint",
            announcement=Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                url=url,
                service="planner",
                slots=16,
            ),
            read_load=lambda: (engine.running, engine.waiting),
        )
        return asyncio.create_task(announcer.run())

    async def configure(self, cluster) -> None:
        operator = GatewayClient(
            seeds=["http://127.0.0.1:2001"],
            token="operator",
            clock=VirtualClock(),
            rng=random.Random(3),
            http=cluster.client("operator"),
        )
        specs = [
            ("region", "north", {}),
            ("service", "planner", {"regions": ["north"]}),
            (
                "client",
                "crew",
                {
                    "home_region": "north",
                    "residency": ["north"],
                    "token_hashes": [hash_token("caller")],
                },
            ),
        ]
        for kind, name, spec in specs:
            reply = await operator.call(
                "PUT",
                f"/v1/resources/{kind}/{name}",
                body=msgspec.json.encode({"spec": spec}),
            )
            self.assertTrue(reply.ok, reply.body)
