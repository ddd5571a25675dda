"""Tests of how in-flight calls are aborted."""

import asyncio
import unittest

from burdockdrum.passthrough.relaying.in_flight_calls import Call


class CallTest(unittest.IsolatedAsyncioTestCase):
    """A call that is waiting for its response."""

    async def test_call_whose_timeout_just_expires_can_be_aborted(self):
        # Guards against an error in what aborts the calls to an endpoint,
        # which leaves the others to wait.
        call = Call(
            pool=None,
            address="a:1",
            encode=bytes,
            connect_timeout_seconds=1.0,
            target=None,
        )
        errors = []

        def abort():
            try:
                call.abort("reason")
            except RuntimeError as error:
                errors.append(error)

        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01) as call.timeout:
                expires_at = call.timeout.when()
                asyncio.get_running_loop().call_at(expires_at, abort)
                await asyncio.sleep(1.0)
        self.assertEqual([], errors)
        self.assertIsNone(call.abort_reason)

    async def test_call_that_has_ended_can_be_aborted(self):
        # Guards against a response that fails with 500 since the attempt
        # beside it ended in the same moment.
        call = Call(
            pool=None,
            address="a:1",
            encode=bytes,
            connect_timeout_seconds=1.0,
            target=None,
        )
        async with asyncio.timeout(1.0) as call.timeout:
            pass
        call.abort("reason")
        self.assertIsNone(call.abort_reason)
