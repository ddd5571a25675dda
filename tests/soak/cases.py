"""A base of tests that run a short soak of real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from scripts.soak.related_logs import list_related
from scripts.soak.retries import run_soak


class SoakCase(unittest.TestCase):
    """Runs a soak, and shows the logs of what was violated."""

    def run_soak(self, soak, faults, *, seconds):
        """Run processes under the faults; return the result if none is bad.

        :param faults: happen instead of random ones; those if None
        """
        with tempfile.TemporaryDirectory() as folder:
            logs = pathlib.Path(folder)
            result = asyncio.run(
                run_soak(soak, seconds=seconds, logs=logs, faults=faults)
            )
            if result.violations:
                lines = list_related(logs, result.violations)
                self.fail("\n".join([result.format_result(), *lines]))
        return result
