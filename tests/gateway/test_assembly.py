"""Tests of how timeline events are logged."""

import unittest
from unittest import mock

from burdockdrum.gateway import assembly
from burdockdrum.timeline import Event
from burdockdrum.timeline import Stamp


class LogEventTest(unittest.TestCase):
    """An event whose details name another VM."""

    def test_reserved_fields_of_details_are_renamed(self):
        # Otherwise the leader's log line on a removed member would name that
        # member as the VM that wrote it.
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
