"""Tests of the upkeep of an entry's listeners and state."""

import types
import unittest
from unittest import mock

from burdockdrum.passthrough.relaying.server import PassThroughServer


class EntryCountTest(unittest.TestCase):
    """The number of entries by which shares are computed."""

    def test_entries_are_counted_before_endpoints_are_used(self):
        # Guards against a restarted entry that uses its first endpoints as if
        # it were the only one.
        registrations = types.SimpleNamespace(listeners=[], region_entries=1)
        fleet = types.SimpleNamespace(entries=1)
        PassThroughServer(
            clock=mock.Mock(),
            supervisor=mock.Mock(),
            callers=mock.Mock(),
            vms=mock.Mock(),
            pools=[],
            fleet=fleet,
            limits=mock.Mock(),
            backoffs=mock.Mock(),
            places=mock.Mock(),
            budget=mock.Mock(),
            registrations=registrations,
            drain=mock.Mock(),
            holder=mock.Mock(),
            crashes=mock.Mock(),
            prober=mock.Mock(),
            stop_requests=mock.Mock(),
        )
        registrations.region_entries = 7
        for listener in registrations.listeners:
            listener()
        self.assertEqual(7, fleet.entries)
