"""The state machine of the log: unknown commands and snapshots."""

import unittest

import msgspec

from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.control_state import decode_change_result
from burdockdrum.configuration.control_state import encode_command
from burdockdrum.configuration.control_state import UnknownSnapshot
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put


class ControlStateTest(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()
        self.command = encode_command(
            Put(
                change_id="x",
                kind="region",
                name="north",
                expected_version=0,
                spec=parse_spec("region", {}),
            )
        )

    def test_unknown_command_changes_nothing(self):
        # An exception on a command of a newer version would crash all control
        # VMs at that log entry after every restart.
        before = self.state.snapshot()
        unknown = msgspec.msgpack.encode({"type": "promote", "change_id": "y"})
        for command in (unknown, b"", b"\xc1garbage"):
            result = decode_change_result(self.state.apply(1, command))
            self.assertEqual("invalid", result.code)
        self.assertEqual(before, self.state.snapshot())

    def test_snapshot_restores_the_state(self):
        first = self.state.apply(1, self.command)
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), other.snapshot())
        self.assertEqual(first, other.apply(2, self.command))

    def test_snapshot_of_a_later_format_is_refused(self):
        fields = msgspec.msgpack.decode(self.state.snapshot())
        fields["format"] = 2
        with self.assertRaises(UnknownSnapshot):
            self.state.restore(msgspec.msgpack.encode(fields))
