"""Tests of what the time line's events are in the log."""

import unittest
from unittest import mock

from burdockdrum.gateway import assembly
from burdockdrum.timeline import Event
from burdockdrum.timeline import Stamp


class LogEventTest(unittest.TestCase):
    """An event that names another VM."""

    def test_line_stays_the_writers(self):
        # Seen in an incident: the leader's line on a member that it removed
        # bore that member's name as its writer.
        event = Event(
            stamp=Stamp(1, 0),
            process="vm-1",
            incarnation=1,
            name="member.removed",
            revision=4,
            details={"vm": "vm-2", "reason": "why"},
        )
        with mock.patch.object(assembly, "log_decision") as log:
            assembly._log_event(event)
        log.assert_called_once_with(
            "member.removed", revision=4, about_vm="vm-2", reason="why"
        )
