"""Fuzzes the platform adapter's decoders: input is valid or rejected."""

import json
import pathlib
import sys
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

ROOT = pathlib.Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.checkins import CheckInError  # noqa: E402
from adapter.checkins import read_check_in  # noqa: E402
from adapter.checkins import read_end  # noqa: E402
from adapter.documents import DocumentError  # noqa: E402
from adapter.documents import read_document  # noqa: E402

from burdockdrum.registrations import RegistrationState  # noqa: E402
from burdockdrum.registrations import RegistrationTable  # noqa: E402
from tests.platform.test_boot import CheckInTest  # noqa: E402
from tests.platform.test_boot import DOCUMENT  # noqa: E402
from tests.registrations.test_book import HERE  # noqa: E402
from tests.registrations.test_book import SteppedClock  # noqa: E402

SAID = {**CheckInTest.SAID, "born": 1_790_000_000_000}
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)


@strategies.composite
def changed(draw, message):
    """Draw a message with missing or mistyped fields, or truncated."""
    fields = dict(message)
    for name in draw(strategies.lists(strategies.sampled_from(list(message)))):
        if draw(strategies.booleans()):
            fields.pop(name, None)
        else:
            fields[name] = draw(VALUES)
    body = json.dumps(fields).encode()
    if draw(strategies.booleans()):
        body = body[: draw(strategies.integers(0, len(body)))]
    return body


class CheckInFuzzTest(unittest.TestCase):
    """Check-ins that endpoints write."""

    @settings(max_examples=400, deadline=None)
    @given(strategies.text(max_size=12), changed(SAID))
    def test_it_is_read_whole_or_refused(self, name, body):
        try:
            said = read_check_in(name, body)
        except CheckInError as error:
            self.assertTrue(str(error))
            return
        self.assertIn(
            said.state, (RegistrationState.READY, RegistrationState.DRAINING)
        )
        self.assertTrue(name and said.service and said.address)
        self.assertGreaterEqual(said.sequence, 0)
        self.assertTrue(0 <= said.slow_start_seconds < float("inf"))

    @settings(max_examples=300, deadline=None)
    @given(strategies.binary(max_size=200))
    def test_any_bytes(self, body):
        for read in (read_check_in, read_end):
            try:
                read("i", body)
            except CheckInError:
                continue

    @settings(max_examples=100, deadline=None)
    @given(changed(SAID))
    def test_what_is_refused_leaves_the_others_as_they_were(self, body):
        table = RegistrationTable(clock=SteppedClock())
        for name in ("e1", "e2"):
            table.apply(read_check_in(name, json.dumps(SAID).encode()))
        before = table.changes_after(0, HERE)
        try:
            read_check_in("e1", body)
        except CheckInError:
            self.assertEqual(before, table.changes_after(0, HERE))

    def test_invalid_check_ins_are_rejected(self):
        for change in (
            {"state": "resting"},
            {"state": 1},
            {"seq": "4"},
            {"seq": -1},
            {"seq": 2**70},
            {"seq": True},
            {"slots": 1.5},
            {"born": 1.5},
            {"born": "1790000000000"},
            {"born": -5},
            {"addr": "10.1.0.1"},
            {"addr": "runner:80"},
            {"addr": "10.1.0.1:99999"},
            {"addr": ""},
            {"zone": ""},
            {"service": ""},
            {"cold_left_ms": -1},
            {"cold_left_ms": 1e300},
            {"shutdown_in_ms": "soon"},
        ):
            with self.subTest(change), self.assertRaises(CheckInError):
                read_check_in("i", json.dumps({**SAID, **change}).encode())
        for name in ("", "x" * 5000, "a\nb", "é"):
            with self.subTest(name), self.assertRaises(CheckInError):
                read_check_in(name, json.dumps(SAID).encode())


class DocumentFuzzTest(unittest.TestCase):
    """Documents that operators write."""

    @settings(max_examples=200, deadline=None)
    @given(changed(DOCUMENT))
    def test_it_is_read_or_refused(self, body):
        try:
            read_document(body)
        except DocumentError as error:
            self.assertTrue(str(error))

    @settings(max_examples=200, deadline=None)
    @given(strategies.binary(max_size=200))
    def test_any_bytes(self, body):
        try:
            read_document(body)
        except DocumentError as error:
            self.assertTrue(str(error))
