"""A short run of the soak over real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from scripts.soak.scene import run_seed


class SoakTest(unittest.TestCase):
    """Seeds that are run each time."""

    def test_promises_hold(self):
        # Kills, pauses, stops, emptied disks and spoilt connections come at
        # random and overlap, while callers and an operator go on.
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run_seed(3, seconds=8.0, logs=pathlib.Path(folder))
            )
        self.assertEqual([], result.broken, result.show())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)
