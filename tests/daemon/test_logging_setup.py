"""Tests of what the daemon writes to its log."""

import contextlib
import io
import unittest

from loguru import logger

from burdockdrum.daemon.logging_setup import set_up_log
from burdockdrum.settings.model import LogSettings


def fail(token):
    """Raise an exception that says nothing of its argument."""
    raise RuntimeError("failed")


class LoggingSetupTest(unittest.TestCase):
    """An unexpected exception is logged with its traceback."""

    def write_exception(self, log_format):
        """Return the log of a failure whose variables hold a token."""
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            set_up_log(LogSettings(format=log_format), "v1")
            token = b"secret"
            try:
                fail(token)
            except RuntimeError:
                logger.exception("a request failed")
        logger.remove()
        return output.getvalue()

    def test_values_of_variables_are_not_written(self):
        """Guards against tokens and bodies of callers in the log."""
        for log_format in ("text", "json"):
            with self.subTest(log_format):
                written = self.write_exception(log_format)
                self.assertIn("write_exception", written)
                self.assertNotIn("b'secret'", written)
