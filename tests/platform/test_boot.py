"""Tests of the platform's settings, documents and check-ins."""

import json
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.boot import make_settings  # noqa: E402
from adapter.boot import read_boot  # noqa: E402
from adapter.checkins import CheckInError  # noqa: E402
from adapter.checkins import read_check_in  # noqa: E402
from adapter.documents import DocumentError  # noqa: E402
from adapter.documents import read_document  # noqa: E402
from adapter.documents import write_document  # noqa: E402

from burdockdrum.registrations import RegistrationState  # noqa: E402
from burdockdrum.resources import check_routes  # noqa: E402
from burdockdrum.resources import ResourceError  # noqa: E402

BOOT = """
node = "core-a-1"
ip = "10.0.0.2"
zone = "a"
region = "r"
internal_port_range = [7000, 7009]
seeds = ["10.0.0.2:80", "10.0.0.3:80"]
data_dir = "/data"
unheard_of = 7
[zones]
a = "r"
b = "q"
[listen]
control = "10.0.0.2:80"
[tolerate]
machines = 2
[bounds]
grace_s = 8
budget_burst = 60
"""

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "plan",
            "host": "H",
            "path_prefix": "/p/",
            "kind": "stream",
            "timeout_ms": 3000,
            "slo_ms": 1200,
            "priority": 1,
            "backends": [
                {"service": "m", "weight": 90},
                {"service": "n", "weight": 10},
            ],
            "attempts": 2,
            "sticky": True,
            "can_resume": True,
            "home_regions": ["r"],
        },
        {
            "name": "fetch",
            "host": "H",
            "path_prefix": "/q/",
            "kind": "unsafe",
            "timeout_ms": 2500,
            "service": "n",
        },
    ],
    "services": [
        {
            "name": "m",
            "cold_per_s": 3.3,
            "engine": {"slots": 32, "kv_capacity": 1000},
        },
        {"name": "n", "max_conns": 96},
    ],
    "limits": {"max_header_bytes": 999, "idle_timeout_ms": 7000},
}


class BootTest(unittest.TestCase):
    """Decoding of a machine's settings file."""

    def read(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return read_boot(file.name)

    def test_machine_with_a_data_folder_is_a_control_vm(self):
        settings = make_settings(self.read(BOOT))
        self.assertEqual("vm-10.0.0.2", settings.vm.id)
        self.assertEqual("tcp://10.0.0.2:7000", settings.listen.control)
        self.assertEqual(
            {
                "vm-10.0.0.2": "tcp://10.0.0.2:7000",
                "vm-10.0.0.3": "tcp://10.0.0.3:7000",
            },
            settings.control.members,
        )
        self.assertEqual(5, settings.control.voters)
        self.assertEqual("/data/log", settings.control.data_folder)
        self.assertEqual(
            {"a": "r", "b": "q"}, settings.topology.regions_by_data_centre
        )
        self.assertEqual(60, settings.passthrough.retry_burst)
        drain = settings.drain
        self.assertLess(drain.lists_seconds + drain.limit_seconds, 8)

    def test_machine_without_a_data_folder_is_an_entry(self):
        text = BOOT.replace('data_dir = "/data"', "").replace(
            'control = "10.0.0.2:80"', 'front = "10.0.0.2:81"'
        )
        settings = make_settings(self.read(text))
        self.assertIsNone(settings.control.data_folder)
        self.assertEqual("10.0.0.2:81", settings.passthrough.callers)
        self.assertEqual("10.0.0.2:7001", settings.passthrough.vms)

    def test_limits_of_the_machine_are_those_of_the_process(self):
        text = BOOT + "[limits]\nmemory_limit_mb = 300\nmax_fds = 4100\n"
        limits = make_settings(self.read(text)).limits
        self.assertEqual(300, limits.memory_mb)
        self.assertEqual(3900, limits.descriptors)
        unlimited = make_settings(self.read(BOOT)).limits
        self.assertEqual((0, 0), (unlimited.memory_mb, unlimited.descriptors))
        few = make_settings(self.read(text.replace("4100", "150"))).limits
        self.assertEqual(1, few.descriptors)

    def test_invalid_settings_file_is_rejected(self):
        for text in ("", "node = ", BOOT.replace('zone = "a"', "zone = 3")):
            with self.assertRaises(ValueError):
                self.read(text)


class DocumentTest(unittest.TestCase):
    """Decoding of the operators' document."""

    def read(self, **changes):
        return read_document(json.dumps({**DOCUMENT, **changes}).encode())

    def test_document_is_decoded(self):
        table = self.read()
        check_routes(table)
        plan, fetch = table.routes
        self.assertEqual(7, table.generation)
        self.assertEqual(3.0, plan.timeout_seconds)
        self.assertEqual(1.2, plan.objective_seconds)
        self.assertTrue(plan.idempotent and plan.streams and plan.resumable)
        self.assertEqual([90, 10], [s.weight for s in plan.services])
        self.assertFalse(fetch.idempotent or fetch.streams)
        self.assertEqual(["n"], [s.service for s in fetch.services])
        self.assertEqual(32, table.backends[0].engine.slots)
        self.assertEqual(999, table.limits.header_bytes)
        self.assertEqual(7.0, table.limits.idle_seconds)

    def test_document_round_trips_unchanged(self):
        body = json.dumps({**DOCUMENT, "later_field": [1]}).encode()
        self.assertEqual(body, write_document(read_document(body)))

    def test_stream_that_can_not_resume_is_not_idempotent(self):
        route = {**DOCUMENT["routes"][0], "can_resume": False}
        table = self.read(routes=[route])
        self.assertFalse(table.routes[0].idempotent)

    def test_invalid_document_is_rejected_with_the_field(self):
        plan, fetch = DOCUMENT["routes"]
        invalid_routes = {
            "service": [{**fetch, "service": "unknown"}],
            "host and prefix": [fetch, {**fetch, "name": "twin"}],
            "weights": [{**plan, "backends": [{"service": "m", "weight": 0}]}],
            "timeout": [{**fetch, "timeout_ms": 0}],
        }
        for word, routes in invalid_routes.items():
            with self.subTest(word=word):
                with self.assertRaises(ResourceError) as caught:
                    check_routes(self.read(routes=routes))
                self.assertIn(word, str(caught.exception))

    def test_truncated_document_is_rejected(self):
        body = json.dumps(DOCUMENT).encode()
        for size in (0, 1, len(body) // 2, len(body) - 1):
            with self.assertRaises(DocumentError):
                read_document(body[:size])


class CheckInTest(unittest.TestCase):
    """Decoding of runners' check-ins."""

    SAID = {
        "service": "m",
        "addr": "10.1.0.1:80",
        "zone": "a",
        "slots": 32,
        "state": "ready",
        "cold_left_ms": 1500,
        "seq": 4,
    }

    def read(self, **changes):
        return read_check_in(
            "i", json.dumps({**self.SAID, **changes}).encode()
        )

    def test_check_in_is_decoded(self):
        registration = self.read()
        self.assertEqual(RegistrationState.READY, registration.state)
        self.assertEqual(1.5, registration.slow_start_seconds)
        self.assertIsNone(registration.seconds_left)
        registration = self.read(state="draining", shutdown_in_ms=2000)
        self.assertEqual(RegistrationState.DRAINING, registration.state)
        self.assertEqual(2.0, registration.seconds_left)

    def test_invalid_check_in_is_rejected_with_the_field(self):
        with self.assertRaises(CheckInError) as caught:
            self.read(slots="many")
        self.assertIn("slots", str(caught.exception))


class DrainTest(unittest.TestCase):
    """The phases of an entry's drain."""

    def test_requests_accepted_while_draining_can_complete(self):
        # Requests accepted in the first three seconds after the stop signal
        # may be truncated in the last sixth of the grace period; a request
        # accepted later must complete.
        boot = BootTest().read(BOOT)
        drain = make_settings(boot).drain
        grace = boot.bounds.grace_s
        self.assertLess(drain.lists_seconds, 3.0)
        end = drain.lists_seconds + drain.limit_seconds
        self.assertGreater(end, grace * 5 / 6)
        self.assertLess(end, grace - 0.8)
