"""Tests that each cut response says why, in the log and in the metrics."""

from unittest import mock

from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import events
from tests.passthrough.streams import StreamCase

BEGIN = events(1, 2, end=False)
PAUSE = events(1, 2, end=None)
CASES = {
    "attempts_used": ({"resumable": True, "attempts": 1}, [BEGIN]),
    "not_resumable": ({"resumable": False}, [BEGIN]),
    "deadline": ({"resumable": True, "timeout_seconds": 0.5}, [PAUSE]),
    "rejected": (
        {"resumable": True},
        [BEGIN, answer(b"", b"422 Unprocessable Entity")],
    ),
}


class CutCauseTest(StreamCase):
    """Streams that break off and can't go on."""

    async def test_cut_response_says_why(self):
        # Guards against a response that ends without a reason for operators.
        for cause, (route, behaviours) in CASES.items():
            with self.subTest(cause):
                endpoints = [Endpoint(None), Endpoint(None)]
                entry = await self.open(*endpoints, streams=True, **route)
                for endpoint in endpoints:
                    endpoint.behaviours = behaviours
                with mock.patch(
                    "burdockdrum.passthrough.relaying.request_log.log_failure"
                ) as log_failure:
                    _, _, _, is_complete = await self.call(entry)
                self.assertFalse(is_complete)
                fields = log_failure.call_args.kwargs
                self.assertEqual(
                    (("request.cut",), cause),
                    (log_failure.call_args.args, fields["cause"]),
                )
                self.assertEqual(2, fields["last_event"])
                self.assertIsNotNone(fields["place"])
                counted = f'cut_responses_total{{cause="{cause}"}} 1'
                self.assertIn(counted, entry.metrics.text())
