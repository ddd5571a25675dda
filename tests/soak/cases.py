"""A base of tests that run a short soak of real processes."""

import asyncio
from collections.abc import Iterable
import pathlib
import re
import tempfile
import unittest

from scripts.soak.retries import run_soak

MAX_LINES = 200
MAX_LINE_CHARACTERS = 600
# Decisions of a process that are about more than one request.
BELIEFS = ("request.quarantined", "request.cleared", "endpoint.crashed")


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


def list_related(folder: pathlib.Path, violations: Iterable[str]) -> list[str]:
    """Return log lines of the requests in violations, in order of time."""
    ids = set(re.findall(r"\br[0-9]+\b", " ".join(violations)))
    words = [f'"{word}"' for word in (*ids, *BELIEFS)]
    related = [
        line[:MAX_LINE_CHARACTERS]
        for path in folder.glob("*.log")
        for line in path.read_text(errors="replace").splitlines()
        if any(word in line for word in words)
    ]
    return sorted(related)[:MAX_LINES]
