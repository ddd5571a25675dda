"""Tests of the daemon's exit when a service fails."""

import asyncio
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from loguru import logger

from burdockdrum.daemon import __main__ as daemon
from burdockdrum.settings import read_settings

SETTINGS = """
[vm]
id = "first"
region = "north"
data_centre = "north"
[cluster]
secret = "sixteen characters and more"
[listen]
control = "{address}"
[control]
data_folder = "{folder}"
[control.members]
first = "{address}"
"""


class FailureTest(unittest.TestCase):
    """The exit code and the log of a failed daemon."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.output = io.StringIO()
        number = logger.add(self.output, format="{message}")
        self.addCleanup(logger.remove, number)

    def run_daemon(self) -> int:
        text = SETTINGS.format(
            folder=self.folder / "data", address="tcp://127.0.0.1:0"
        )
        settings = read_settings(text)
        arguments = ["burdockdrumd", "--settings", "unused"]
        with (
            mock.patch("sys.argv", arguments),
            mock.patch.object(daemon, "load_settings", lambda _: settings),
            mock.patch.object(daemon, "set_up_log", lambda *_: None),
        ):
            return daemon.main()

    def test_corrupt_file_is_named_and_the_daemon_fails(self):
        # A control VM with corrupt data must not vote. The operator gets one
        # line that names the file, without a traceback.
        data = self.folder / "data"
        data.mkdir()
        (data / "identity").write_bytes(b"not an identity")
        self.assertEqual(daemon.EXIT_FAILED, self.run_daemon())
        self.assertIn("identity", self.output.getvalue())
        self.assertNotIn("Traceback", self.output.getvalue())

    def test_unexpected_error_is_logged_with_its_traceback(self):
        async def fail(settings):
            async with asyncio.TaskGroup() as group:
                group.create_task(asyncio.sleep(10))
                raise ValueError("unforeseen")

        with mock.patch.object(daemon, "_run", fail):
            self.assertEqual(daemon.EXIT_FAILED, self.run_daemon())
        self.assertIn("ValueError: unforeseen", self.output.getvalue())
