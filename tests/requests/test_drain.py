"""Tests of the end of an answer whose content is complete."""

import unittest

from burdockdrum.requests.attempts import DataCentreTarget
from burdockdrum.requests.attempts import MAX_DRAIN_BYTES
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.read_timer import ReadTimer

PART = b"x" * 8_000


class EndlessAnswer:
    """An answer that goes on without end."""

    status = 200

    def __init__(self):
        """Create an answer whose body has not been read."""
        self.headers = {}
        self.read_bytes = 0
        self.is_closed = False

    async def chunks(self):
        """Yield parts, up to where a test has failed."""
        while self.read_bytes < 100 * MAX_DRAIN_BYTES:
            self.read_bytes += len(PART)
            yield PART

    async def close(self):
        """Close the connection."""
        self.is_closed = True


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint that sends more after the end of its content."""

    async def test_answer_that_goes_on_is_closed(self):
        # Else it is read as fast as it comes, for the whole timeout.
        answer = EndlessAnswer()
        upstream = Upstream(
            answer=answer,
            target=DataCentreTarget(data_centre="dc", vm_id="vm"),
            attempt_id="a",
            timer=ReadTimer(report_silence=self.fail),
            idle_timeout=1.0,
        )
        await upstream.drain()
        self.assertTrue(answer.is_closed)
        self.assertLessEqual(answer.read_bytes, MAX_DRAIN_BYTES + len(PART))
