"""Tests that deployments of concurrent runs don't meet."""

import unittest
from unittest import mock

from scripts.local_deployment import Deployment


class ReservationTest(unittest.IsolatedAsyncioTestCase):
    """Deployments of processes whose ids lead to the same network."""

    async def test_concurrent_runs_use_separate_networks(self):
        # Guards against two runs whose processes bind the same addresses.
        with mock.patch("os.getpid", return_value=7):
            first, second = Deployment(), Deployment()
            self.addAsyncCleanup(second.stop)
            self.assertNotEqual(first.seeds, second.seeds)
            await first.stop()
            third = Deployment()
            self.addAsyncCleanup(third.stop)
            self.assertEqual(first.seeds, third.seeds)
