"""Tests of the operators' API: changes, watches and status."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from burdockdrum.configuration import ConfigurationService
from burdockdrum.configuration import history
from burdockdrum.daemon import assemble
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import UpstreamCall
from burdockdrum.settings import read_settings
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import run_virtual
from burdockdrum.web import bind
from burdockdrum.web import WebServer
from tests.configuration.deployment import Deployment
from tests.configuration.deployment import OPERATOR_TOKEN

VM_IDS = ["n1.1", "s1.1"]


class Operator:
    """An operator who uses one entry VM."""

    def __init__(self, deployment: Deployment, vm_id: str) -> None:
        self._http = deployment.cluster.client("operator")
        self._url = deployment.url(vm_id)

    async def open(self, method, path, body=b"", **headers):
        """Send a request and return the unread response."""
        headers["authorization"] = f"Bearer {OPERATOR_TOKEN}"
        return await self._http.open(
            UpstreamCall(
                method=method,
                url=self._url + path,
                headers={k.replace("_", "-"): v for k, v in headers.items()},
                body=body,
            )
        )

    async def call(self, method, path, fields=None):
        """Send a request and return the status and the decoded body."""
        body = msgspec.json.encode(fields) if fields is not None else b""
        answer = await self.open(method, path, body)
        parts = [part async for part in answer.chunks()]
        return answer.status, msgspec.json.decode(b"".join(parts))

    async def put(self, name, description="", version=0):
        """Put a region."""
        return await self.call(
            "PUT",
            f"/v1/resources/region/{name}",
            {
                "spec": {"description": description},
                "resource_version": version,
            },
        )


class OperatorTest(unittest.TestCase):
    def run_operator(self, scenario):
        async def main():
            deployment = Deployment(
                seed=4, vm_ids=VM_IDS, control_ids=["n1.1"]
            )
            await deployment.start()
            # Operators are served by a VM that is not a control VM.
            await scenario(deployment, Operator(deployment, "s1.1"))
            await deployment.stop()

        run_virtual(main())

    async def read_events(self, answer, count: int) -> list[dict]:
        """Read events of a watch with their ids, and disconnect."""
        buffer = b""
        async for chunk in answer.chunks():
            buffer += chunk
            if buffer.count(b"\n\n") >= count:
                break
        await answer.close()
        events = []
        for block in buffer.decode().split("\n\n")[:count]:
            fields = dict(line.split(": ", 1) for line in block.split("\n"))
            events.append(
                {**fields, "data": msgspec.json.decode(fields["data"])}
            )
        return events

    def test_conflict_shows_the_current_resource(self):
        async def scenario(deployment, operator):
            status, made = await operator.put("north")
            self.assertEqual((200, 1), (status, made["revision"]))
            status, conflict = await operator.put("north", "late")
            self.assertEqual(409, status)
            self.assertEqual(made["current"], conflict["current"])

        self.run_operator(scenario)

    def test_value_that_is_no_number_is_rejected_by_name(self):
        # Guards against input that int() reads in another way, or fails on.
        async def scenario(deployment, operator):
            for value in ("x", "%C2%B2", "%D9%A3", "1_0", "9" * 5000):
                for path in ("/v1/timeline", "/v1/watch"):
                    with self.subTest(path=path, value=value[:8]):
                        status, found = await operator.call(
                            "GET", f"{path}?revision={value}"
                        )
                        self.assertEqual(400, status)
                        self.assertIn("revision", found["error"]["message"])

        self.run_operator(scenario)

    def test_bad_changes_name_the_field(self):
        async def scenario(deployment, operator):
            path = "/v1/resources/region/x"
            for fields, status, word in (
                ({"spec": {"descriptoin": ""}}, 400, "descriptoin"),
                ({"spec": {}, "change_id": "x" * 129}, 400, "change_id"),
                ({"spec": {}, "versoin": 1}, 400, "versoin"),
                ({"spec": {"description": 7}}, 400, "description"),
            ):
                with self.subTest(word=word):
                    found = await operator.call("PUT", path, fields)
                    self.assertEqual(status, found[0])
                    self.assertIn(word, found[1]["error"]["message"])
            status, found = await operator.call("GET", path)
            self.assertEqual(404, status)

        self.run_operator(scenario)

    def test_change_may_have_run_if_the_control_vm_is_unreachable(self):
        # The change may have been applied and only its response lost.
        async def scenario(deployment, operator):
            deployment.partition(["s1.1"])
            status, found = await operator.put("north")
            self.assertEqual(503, status)
            self.assertEqual("may have run", found["error"]["verdict"])
            self.assertIn("change_id", found["error"]["message"])

        self.run_operator(scenario)

    def test_interrupted_watch_resumes_without_a_gap(self):
        # A watch resumed after the first event must also receive the later
        # changes, including deletions.
        async def scenario(deployment, operator):
            await operator.put("north")
            await operator.put("south")
            answer = await operator.open("GET", "/v1/watch")
            first = await self.read_events(answer, 1)
            self.assertEqual("1", first[0]["id"])
            await operator.call(
                "DELETE", "/v1/resources/region/north", {"resource_version": 1}
            )
            answer = await operator.open(
                "GET", "/v1/watch", last_event_id=first[0]["id"]
            )
            reading = asyncio.create_task(self.read_events(answer, 3))
            await asyncio.sleep(1)
            await operator.put("east")
            events = await reading
            self.assertEqual(["2", "3", "4"], [e["id"] for e in events])
            names = [event["data"]["name"] for event in events]
            self.assertEqual(["south", "north", "east"], names)
            self.assertIsNone(events[1]["data"]["resource"])

        self.run_operator(scenario)

    def test_watch_from_a_discarded_revision_is_rejected(self):
        # Resuming would silently skip the discarded changes.
        async def scenario(deployment, operator):
            for number in range(6):
                await operator.put(f"r{number}")
            status, found = await operator.call("GET", "/v1/watch?revision=2")
            self.assertEqual(410, status)
            self.assertEqual("revision_gone", found["error"]["code"])
            self.assertEqual(3, found["error"]["oldest_revision"])
            status, found = await operator.call("GET", "/v1/watch?revision=x")
            self.assertEqual(400, status)

        with mock.patch.object(history, "MAX_KEPT_REVISIONS", 3):
            self.run_operator(scenario)

    def test_status_shows_configuration_age_and_revisions_in_force(self):
        async def scenario(deployment, operator):
            await operator.put("north")
            await asyncio.sleep(3)
            _, found = await operator.call("GET", "/v1/status")
            self.assertEqual(
                {"n1.1": 1, "s1.1": 1}, found["in_force_by_vm_id"]
            )
            self.assertTrue(found["configuration"]["known"])
            self.assertLess(found["configuration"]["age_seconds"], 5)
            deployment.partition(["s1.1"])
            await asyncio.sleep(60)
            _, found = await operator.call("GET", "/v1/status")
            self.assertGreater(found["configuration"]["age_seconds"], 55)
            control = await Operator(deployment, "n1.1").call(
                "GET", "/v1/status"
            )
            role = control[1]["configuration"]["control"]["role"]
            self.assertEqual("leader", role)

        self.run_operator(scenario)


class WatchSocketTest(unittest.IsolatedAsyncioTestCase):
    """A watch over a real socket, where streams aren't notified of its end."""

    async def test_watch_ends_when_the_operator_disconnects(self):
        # Otherwise abandoned watches would accumulate until a change.
        settings = read_settings(
            Deployment(seed=1, vm_ids=["n1.1"], control_ids=["n1.1"]).settings(
                "n1.1"
            )
        )
        network = FakeNetwork(rng=random.Random(1))
        mailbox = await network.host("n1.1").open(settings.listen.control)
        listener = bind("127.0.0.1", 0)
        kernel = assemble(
            settings=settings,
            identity=VmIdentity(
                vm_id="n1.1",
                incarnation=1,
                region="n",
                data_centre="n1",
                control_address=mailbox.address,
                http_address="http://127.0.0.1:1",
            ),
            mailbox=mailbox,
            clock=SystemClock(),
            http=PooledHttpClient(),
            rng=random.Random(1),
        )
        configuration = kernel.find("configuration", ConfigurationService)
        began, ended = asyncio.Event(), asyncio.Event()

        async def changes(revision):
            began.set()
            try:
                await asyncio.Event().wait()
                yield None
            finally:
                ended.set()

        configuration.watch = changes
        web = WebServer(
            application=kernel.find("application", object), listener=listener
        )
        running = asyncio.create_task(web.run())
        async with asyncio.timeout(10):
            writer = await self.connect(*listener.getsockname()[:2])
        head = f"authorization: Bearer {OPERATOR_TOKEN}\r\nhost: x\r\n\r\n"
        writer.write(b"GET /v1/watch HTTP/1.1\r\n" + head.encode())
        async with asyncio.timeout(10):
            await began.wait()
            writer.close()
            await ended.wait()
        web.stop()
        await running

    async def connect(self, host, port):
        """Connect once the server listens."""
        while True:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
            else:
                return writer
