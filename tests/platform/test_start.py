"""Tests of a process that has just started."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from scripts.local_deployment import VM_PROGRAM

EXIT_SETTINGS = 78
START_SECONDS = 20.0


class StartTest(unittest.TestCase):
    """A process that waits for its settings, which come through a pipe."""

    def open_pipe(self, path):
        """Open the pipe for writing once the process reads it."""
        deadline = time.monotonic() + START_SECONDS
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.02)

    def test_reload_ends_no_process_that_starts(self):
        # Guards against the default action of the signal.
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, str(VM_PROGRAM)],
                env={**os.environ, "BURDOCKDRUM_BOOT": str(path)},
                stderr=subprocess.DEVNULL,
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            pipe = self.open_pipe(path)
            process.send_signal(signal.SIGHUP)
            os.write(pipe, b"no settings")
            os.close(pipe)
            self.assertEqual(EXIT_SETTINGS, process.wait(START_SECONDS))
