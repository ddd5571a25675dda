"""End-to-end tests in one process under virtual time."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from burdockdrum.admission import AdmissionControl
from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import make_answer
from burdockdrum.endpoints import Announcement
from burdockdrum.ports import read_whole
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
[policy]
max_wait_seconds = 30.0
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
    """Return a client whose seed is the first VM."""
    return GatewayClient(
        seeds=["http://127.0.0.1:2001"],
        token=token,
        clock=VirtualClock(),
        rng=random.Random(3),
        http=cluster.client("caller"),
    )


REGIONS = ["north", "south"]
SLOTS = 4
TOKENS = 5


async def put(operator: GatewayClient, kind: str, name: str, spec: dict):
    """Put a resource and check that it was accepted."""
    body = msgspec.json.encode({"spec": spec})
    reply = await operator.call(
        "PUT", f"/v1/resources/{kind}/{name}", body=body
    )
    assert reply.status == 200, reply.body


async def start_engine(
    cluster: FakeCluster, number: int, engine: EmulatedEngine
) -> asyncio.Task:
    """Start an engine that announces itself to one entry VM."""
    application = build_engine_application(engine)
    await application.start()
    url = f"http://127.0.0.1:{3000 + number}"
    cluster.web.serve(url, "engine", serve_asgi(application))
    announcer = Announcer(
        http=cluster.client("engine"),
        clock=VirtualClock(),
        entries=[f"http://127.0.0.1:{2000 + number}"],
        token="endpoint",
        announcement=Announcement(
            endpoint_id=f"e{number}",
            incarnation=1,
            url=url,
            service="planner",
            slots=SLOTS,
        ),
        read_load=lambda: (engine.running, engine.waiting),
    )
    return asyncio.create_task(announcer.run())


def make_engine(token_seconds: float = 0.01) -> EmulatedEngine:
    """Return an idle engine."""
    return EmulatedEngine(
        settings=EngineSettings(
            service="planner", slots=SLOTS, token_seconds=token_seconds
        ),
        clock=VirtualClock(),
    )


async def run_with_engines(
    engines: dict[int, EmulatedEngine], scenario
) -> None:
    """Run a scenario with a caller at the entry VM of the north.

    :param engines: by entry VM: 1 in the north, 2 in the south
    """
    cluster = FakeCluster(seed=1)
    await cluster.start_vm(make_settings("a", "north", 1))
    await cluster.start_vm(make_settings("b", "south", 2))
    announcing = [
        await start_engine(cluster, number, engine)
        for number, engine in engines.items()
    ]
    operator = connect(cluster, "operator")
    await asyncio.sleep(5)
    for region in REGIONS:
        await put(operator, "region", region, {})
    await put(operator, "service", "planner", {"regions": REGIONS})
    client = {
        "home_region": "north",
        "residency": REGIONS,
        "token_hashes": [hash_token("caller")],
    }
    await put(operator, "client", "crew", client)
    await asyncio.sleep(5)
    try:
        await scenario(connect(cluster, "caller"))
    finally:
        for task in announcing:
            task.cancel()
        await cluster.stop()


async def complete(
    caller: GatewayClient, content: str, entry: str = "http://127.0.0.1:2001"
) -> tuple[int, str]:
    """Send a completion request; return the status and the text."""
    messages = [{"role": "user", "content": content}]
    body = {"model": "planner", "messages": messages, "max_tokens": TOKENS}
    path = "/v1/chat/completions"
    reply = await caller.open(entry, "POST", path, msgspec.json.encode(body))
    content = (await read_whole(reply)).decode()
    if reply.status != 200:
        return reply.status, content
    answer = msgspec.json.decode(content)
    text = answer["choices"][0]["message"]["content"]
    expected = make_answer(msgspec.json.encode(messages), TOKENS)
    return reply.status, "whole" if text == expected else text


class WholePathTest(unittest.TestCase):
    """An operator, engines and a caller with two VMs in two regions."""

    def test_request_is_forwarded_to_another_region(self):
        async def scenario(caller):
            self.assertEqual((200, "whole"), await complete(caller, "hello"))

        run_virtual(run_with_engines({2: make_engine()}, scenario))

    def test_burst_for_a_service_of_another_region_is_queued(self):
        # Callers in the north send five times what the only engine, in the
        # south, runs at once. The north has no endpoint, so this is no
        # overflow: the requests must be queued and not refused as overload.
        async def scenario(caller):
            calls = [complete(caller, f"plan {i}") for i in range(5 * SLOTS)]
            answers = await asyncio.gather(*calls)
            self.assertEqual({(200, "whole")}, set(answers))

        run_virtual(run_with_engines({2: make_engine()}, scenario))

    def test_request_refused_by_a_full_region_is_queued_again(self):
        # The south's summary still shows free capacity when its own callers
        # have used it, so it refuses requests from the north. These must be
        # queued again, or they would overtake the waiting requests.
        engines = {1: make_engine(0.2), 2: make_engine(0.2)}
        requeued_client_ids = []
        wait_again = AdmissionControl.wait_again

        async def record_wait(admission, client_id, request):
            requeued_client_ids.append(client_id)
            await wait_again(admission, client_id, request)

        async def scenario(caller):
            calls = [complete(caller, f"plan {i}") for i in range(8 * SLOTS)]
            calls += [
                complete(caller, f"own {i}", entry="http://127.0.0.1:2002")
                for i in range(2 * SLOTS)
            ]
            answers = await asyncio.gather(*calls)
            self.assertEqual({(200, "whole")}, set(answers))

        with mock.patch.object(AdmissionControl, "wait_again", record_wait):
            run_virtual(run_with_engines(engines, scenario))
        self.assertTrue(requeued_client_ids)
