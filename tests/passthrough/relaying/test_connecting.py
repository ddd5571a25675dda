"""Tests of connects whose timeout saw a pause of this process."""

import types
import unittest

from burdockdrum.http1 import NotConnected
from burdockdrum.passthrough.relaying.connecting import connect_awake


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    """Connects that time out."""

    async def count_connects(self, awake_seconds):
        """Return how often a connect is tried that times out after 0.4 s."""
        timeouts = []

        async def connect(timeout):
            timeouts.append(timeout)
            raise NotConnected("hangs") from TimeoutError()

        pauses = types.SimpleNamespace(
            monotonic=lambda: 0.0,
            awake_seconds_since=lambda at: awake_seconds,
        )
        with self.assertRaises(NotConnected):
            await connect_awake(connect, 0.4, pauses)
        return len(timeouts)

    async def test_connect_is_tried_again_only_after_a_pause(self):
        # Guards against callers that wait several times for an endpoint that
        # hangs, as their entry is busy.
        self.assertEqual(2, await self.count_connects(0.1))
        self.assertEqual(1, await self.count_connects(0.3))
