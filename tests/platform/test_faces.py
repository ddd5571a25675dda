"""Tests of the platform's HTTP API over sockets."""

import asyncio
import json
import pathlib
import random
import sys
import types
import unittest

from loguru import logger

ROOT = pathlib.Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.faces import DirectoryHandlers  # noqa: E402
from adapter.faces import OperatorHandlers  # noqa: E402
from adapter.faces import QuarantineHandlers  # noqa: E402
from adapter.faces import Router  # noqa: E402
from adapter.faces import RunnerHandlers  # noqa: E402

from burdockdrum.configuration import ChangeOutcomeUnknown  # noqa: E402
from burdockdrum.configuration import evacuations  # noqa: E402
from burdockdrum.consensus import NotCurrent  # noqa: E402
from burdockdrum.crashes import CrashLedger  # noqa: E402
from burdockdrum.peers import VmIdentity  # noqa: E402
from burdockdrum.registrations import RegistrationTable  # noqa: E402
from burdockdrum.resources import ChangeResult  # noqa: E402
from burdockdrum.resources import ResourceStore  # noqa: E402
from burdockdrum.resources import SetEvacuation  # noqa: E402
from burdockdrum.system_ports import SystemClock  # noqa: E402
from burdockdrum.vms import VmView  # noqa: E402
from tests.http1.wire import ListenerCase  # noqa: E402
from tests.passthrough.fakes import ManualClock  # noqa: E402
from tests.platform.test_boot import CheckInTest  # noqa: E402
from tests.platform.test_boot import DOCUMENT  # noqa: E402


class FakeConfigurationService:
    """A configuration service over a local store."""

    def __init__(self):
        """Create an empty store."""
        self.store = ResourceStore()
        self.orderer = None
        self.error = None

    async def change(self, change) -> ChangeResult:
        """Apply a change, or raise the error that a test has set."""
        if self.error is not None:
            raise self.error
        return self.store.apply(change)

    async def order_evacuation(self, order) -> ChangeResult:
        """Apply an order at once, or as its number says if it has one."""
        change = SetEvacuation(
            data_centre=order.data_centre, evacuated=order.evacuated
        )
        if self.orderer is not None:
            change = await self.orderer.make_change(order)
        return await self.change(change)

    async def read_committed(self, timeout):
        """Return the configuration, or raise the error that is set."""
        if self.error is not None:
            raise self.error
        return self.store.configuration


class FacesTest(ListenerCase, unittest.IsolatedAsyncioTestCase):
    """The API for operators, runners and callers."""

    async def asyncSetUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        logger.disable("adapter")
        self.configuration = FakeConfigurationService()
        operators = OperatorHandlers(configuration=self.configuration)
        self.table = RegistrationTable(clock=ManualClock())
        runners = RunnerHandlers(table=self.table)
        self.views = []
        directory = DirectoryHandlers(
            vms=types.SimpleNamespace(live_vms=lambda: self.views),
            routes=types.SimpleNamespace(
                home_regions_of=lambda host: {"home"}
            ),
            rng=random.Random(1),
        )
        self.ledger = CrashLedger(clock=ManualClock())
        quarantine = QuarantineHandlers(ledger=self.ledger)
        router = Router(
            handlers={
                "GET /quarantine": quarantine.list,
                "DELETE /quarantine/": quarantine.lift,
                "PUT /v1/config": operators.put_config,
                "GET /v1/config": operators.get_config,
                "POST /v1/evac/": operators.start_evacuation,
                "DELETE /v1/evac/": operators.end_evacuation,
                "PUT /v1/instances/": runners.check_in,
                "DELETE /v1/instances/": runners.leave,
                "GET /v1/resolve": directory.resolve,
            }
        )
        await self.open(router.serve)
        self.addAsyncCleanup(self.listener.close)

    async def call(self, method, path, body=""):
        data = body.encode() if isinstance(body, str) else body
        answer = await self.send(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        parent, _, rest = answer.partition(b"\r\n\r\n")
        return int(parent.split(b" ")[1]), rest

    def document(self, **changes):
        return json.dumps({**DOCUMENT, **changes})

    async def test_document_is_stored_and_read_back(self):
        self.assertEqual(503, (await self.call("GET", "/v1/config"))[0])
        body = self.document()
        self.assertEqual(200, (await self.call("PUT", "/v1/config", body))[0])
        status, read = await self.call("GET", "/v1/config")
        self.assertEqual((200, body.encode()), (status, read))

    async def test_older_document_is_acknowledged_without_effect(self):
        # HARD CASE 16: a document is delivered again after a newer one, or
        # other content is sent under the active version.
        newest = self.document(version=9)
        await self.call("PUT", "/v1/config", newest)
        for version in (7, 9):
            older = self.document(version=version, limits={})
            status, _ = await self.call("PUT", "/v1/config", older)
            self.assertEqual(200, status)
        _, read = await self.call("GET", "/v1/config")
        self.assertEqual(newest.encode(), read)

    async def test_invalid_document_changes_nothing(self):
        await self.call("PUT", "/v1/config", self.document())
        wrong = self.document(version=8, services=[])
        status, reason = await self.call("PUT", "/v1/config", wrong)
        self.assertEqual(400, status)
        self.assertIn(b"service", reason)
        status, _ = await self.call("PUT", "/v1/config", wrong[:50])
        self.assertEqual(400, status)
        _, read = await self.call("GET", "/v1/config")
        self.assertEqual(self.document().encode(), read)

    async def test_deeply_nested_bodies_are_invalid(self):
        # They were answered 500, after which a caller tries again.
        nested = f'"unknown": {"[" * 3000}'
        for method, path in (
            ("PUT", "/v1/config"),
            ("PUT", "/v1/instances/i-1"),
            ("DELETE", "/v1/instances/i-1"),
        ):
            status, reason = await self.call(method, path, f"{{{nested}")
            self.assertEqual(400, status, f"{method} {path}")
            self.assertIn(b"nested", reason)

    async def test_numbers_that_can_not_be_stored_are_invalid(self):
        # They were answered 500, after which an operator tries again.
        large = 10**25
        for change in (
            {"version": large},
            {"limits": {"max_body_bytes": large}},
            {"services": [{**DOCUMENT["services"][0], "max_conns": large}]},
        ):
            status, _ = await self.call(
                "PUT", "/v1/config", self.document(**change)
            )
            self.assertEqual(400, status, f"{change}")

    async def test_without_a_quorum_reads_and_changes_fail(self):
        await self.call("PUT", "/v1/config", self.document())
        self.configuration.error = NotCurrent("no quorum")
        self.assertEqual(503, (await self.call("GET", "/v1/config"))[0])
        self.configuration.error = ChangeOutcomeUnknown("no answer")
        body = self.document(version=8)
        self.assertEqual(503, (await self.call("PUT", "/v1/config", body))[0])

    async def test_evacuation_starts_and_ends(self):
        for _ in range(2):
            status, _ = await self.call("POST", "/v1/evac/zone-a")
            self.assertEqual(200, status)
        current = self.configuration.store.configuration
        self.assertEqual({"zone-a"}, set(current.evacuated_data_centres))
        for _ in range(2):
            status, _ = await self.call("DELETE", "/v1/evac/zone-a")
            self.assertEqual(200, status)
        current = self.configuration.store.configuration
        self.assertEqual(set(), set(current.evacuated_data_centres))
        status, _ = await self.call("POST", "/v1/evac/")
        self.assertEqual(404, status)

    async def test_order_that_was_read_late_undoes_no_later_one(self):
        # Guards against an order that waited while its sender moved on.
        self.order_with_numbers()
        await self.call("POST", "/v1/evac/zone-a")
        reader, writer = await self.connect()
        self.addCleanup(writer.close)
        await asyncio.sleep(2 * evacuations.ACCEPT_SECONDS)
        for method in ("DELETE", "POST"):
            status, _ = await self.call(method, "/v1/evac/zone-a")
            self.assertEqual(200, status)
            await asyncio.sleep(2 * evacuations.ACCEPT_SECONDS)
        writer.write(b"DELETE /v1/evac/zone-a HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(5):
            answer = await reader.read()
        self.assertEqual({"zone-a"}, self.read_evacuated())
        # It is never refused: a sender that is still there asks again.
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"retry-after: 0.5", answer.lower())
        self.assertIn(b"connection: close", answer.lower())

    async def test_order_whose_sender_has_left_is_not_applied(self):
        # Guards against an order that a link held up, with its end behind.
        self.order_with_numbers()
        await self.call("POST", "/v1/evac/zone-a")
        await asyncio.sleep(2 * evacuations.ACCEPT_SECONDS)
        _, writer = await self.connect()
        writer.write(b"DELETE /v1/evac/zone-a HTTP/1.1\r\nHost: x\r\n\r\n")
        writer.close()
        await asyncio.sleep(2 * evacuations.PRESENCE_SECONDS)
        self.assertEqual({"zone-a"}, self.read_evacuated())

    def order_with_numbers(self):
        """Give each order the number of the one before."""
        self.configuration.orderer = evacuations.EvacuationOrderer(
            clock=SystemClock(), store=self.configuration.store
        )

    def read_evacuated(self):
        """Return the data centres that are evacuated."""
        current = self.configuration.store.configuration
        return set(current.evacuated_data_centres)

    async def test_quarantine_is_shown_and_lifted(self):
        for endpoint_id in ("i-1", "i-2", "i-3"):
            self.ledger.add("f", endpoint_id, "vm-1")
        status, body = await self.call("GET", "/quarantine")
        (shown,) = json.loads(body)
        self.assertEqual(
            (200, "f", "quarantined"),
            (status, shown["fingerprint"], shown["standing"]),
        )
        self.assertEqual("vm-1", shown["crashes"][0]["observer"])
        self.assertEqual(200, (await self.call("DELETE", "/quarantine/f"))[0])
        self.assertTrue(self.ledger.is_empty)
        self.assertEqual(404, (await self.call("DELETE", "/quarantine/f"))[0])

    async def test_runner_registers_and_deregisters(self):
        body = json.dumps(CheckInTest.SAID)
        status, _ = await self.call("PUT", "/v1/instances/i-1", body)
        self.assertEqual(200, status)
        self.assertEqual(["i-1"], [r.endpoint_id for r in self.table.ready()])
        await self.call("DELETE", "/v1/instances/i-1")
        self.assertTrue(self.table.has_ended("i-1"))
        status, reason = await self.call("PUT", "/v1/instances/i-1", "{}")
        self.assertEqual(400, status)
        self.assertIn(b"service", reason)

    async def test_directory_prefers_near_entries_then_home_regions(self):
        def add(region, zone, ip, **fields):
            self.views.append(
                VmView(
                    identity=VmIdentity(
                        vm_id=ip,
                        incarnation=1,
                        region=region,
                        data_centre=zone,
                        control_address="",
                        http_address=f"http://{ip}:80" if ip else "",
                    ),
                    draining=fields.get("draining", False),
                    revision=1,
                    services=(),
                    heard_at=0.0,
                )
            )

        async def resolve():
            path = "/v1/resolve?name=h&region=r&zone=a"
            return await self.call("GET", path)

        self.assertEqual(503, (await resolve())[0])
        add("r", "a", "")
        add("far", "f", "10.9.0.1")
        self.assertIn(b"10.9.0.1:80", (await resolve())[1])
        add("home", "h", "10.8.0.1")
        self.assertNotIn(b"10.9.0.1", (await resolve())[1])
        add("r", "b", "10.0.1.1")
        self.assertNotIn(b"10.8.0.1", (await resolve())[1])
        add("r", "a", "10.0.0.1", draining=True)
        self.assertIn(b"10.0.1.1", (await resolve())[1])
        add("r", "a", "10.0.0.2")
        self.assertEqual(
            b'{"addrs":["10.0.0.2:80"],"ttl_s":2}', (await resolve())[1]
        )
