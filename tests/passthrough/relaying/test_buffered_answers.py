"""Tests of whole answers that break off before the caller has a part."""

import asyncio

from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase
from tests.passthrough.relaying import test_silent_endpoints as silent

LATER_SECONDS = 0.2


async def break_off(writer, request_id):
    """Close the connection in the middle of the body, after a while."""
    await answer(b"part", length=100)(writer, request_id)
    await asyncio.sleep(LATER_SECONDS)
    writer.close()


async def pause_and_break_off(writer, request_id):
    """Send the begin of an answer after a while, and close then."""
    await asyncio.sleep(silent.PAUSE_SECONDS)
    await break_off(writer, request_id)


async def answer_slowly(writer, request_id):
    """Send an answer that outlasts the pause of the other endpoint."""
    await asyncio.sleep(silent.PAUSE_SECONDS)
    await answer(b"slow")(writer, request_id)


class BufferedAnswerTest(RelayCase):
    """Two endpoints, of which one is sound, and a caller without a part."""

    async def call(self, *behaviours):
        """Send a request; return the status and the body."""
        endpoints = [Endpoint(None), Endpoint(None)]
        entry = await self.open(*endpoints, timeout_seconds=6.0)
        silent.share(endpoints, *behaviours)
        status, _, body = await entry.call()
        return status, body

    async def test_answer_is_kept_until_its_successor_is_whole(self):
        # Guards against giving up a sound attempt for the head of another
        # one, of which the caller has nothing yet.
        self.assertEqual(
            (200, b"late"),
            await self.call(silent.pause_before_answer, break_off),
        )

    async def test_successor_is_kept_until_the_stalled_answer_is_whole(self):
        # Guards against giving up a sound successor for the head of the
        # attempt that had stalled.
        self.assertEqual(
            (200, b"slow"),
            await self.call(pause_and_break_off, answer_slowly),
        )
