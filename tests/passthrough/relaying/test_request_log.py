"""Tests of the log lines about the attempts of a request."""

from dataclasses import replace
import unittest
from unittest import mock

from burdockdrum.http1 import RequestHead
from burdockdrum.http1 import ResponseHead
from burdockdrum.passthrough.protocol.model import Delivered
from burdockdrum.passthrough.protocol.model import ErrorResponse
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import NotStarted
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RegionTarget
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.passthrough.relaying.request_log import log_attempt
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import PLAIN

TARGET = RegionTarget(
    region="there", address="there:80", vm_id="vm-2", wait_seconds=0.1
)
REQUEST = ProxiedRequest(
    request_id="r",
    head=RequestHead(
        method=b"POST",
        target=b"/p/",
        headers=[],
        body=b"",
        keep_alive=True,
        received_at=100.0,
    ),
    route=make_route(),
    backend=PLAIN,
    prompt=make_prompt(100),
    received_at=100.0,
    deadline=103.0,
    attempts=2,
)


class AttemptTest(unittest.TestCase):
    """The log line of an attempt."""

    def log_outcome(self, outcome, request=REQUEST):
        """Log an attempt; return the log function and the logged outcome."""
        with mock.patch.multiple(
            "burdockdrum.passthrough.relaying.request_log",
            log_decision=mock.DEFAULT,
            log_failure=mock.DEFAULT,
            log_record=mock.DEFAULT,
        ) as logs:
            log_attempt(
                TARGET,
                request,
                RequestProgress(),
                outcome,
                started_at=100.0,
                sent_at=100.3,
                first_byte_seconds=None,
                now=101.0,
            )
        ((name, mock_log),) = [item for item in logs.items() if item[1].called]
        mock_log.assert_called_once()
        self.assertEqual(0.3, mock_log.call_args.kwargs["written_after"])
        return name, mock_log.call_args.kwargs["outcome"]

    def test_outcome_names_in_the_log_are_stable(self):
        # Operators search for these names; renaming a class must not
        # change them.
        error_response = ErrorResponse(
            head=ResponseHead(status=500, headers=[]), body=b""
        )
        for outcome, expected in (
            (Delivered(status=200), ("log_decision", "Delivered")),
            (error_response, ("log_failure", "Answered")),
            (
                NotStarted(reason="", reached=True),
                ("log_failure", "NotStarted"),
            ),
            (Lost(reason=""), ("log_failure", "Lost")),
        ):
            self.assertEqual(expected, self.log_outcome(outcome))

    def test_attempts_of_requests_that_may_run_once_are_not_sampled(self):
        # Guards against two runs of a request of which the log, under load,
        # names neither.
        route = make_route(idempotent=False)
        for outcome in (
            Delivered(status=200),
            NotStarted(reason="", reached=True),
        ):
            name, _ = self.log_outcome(outcome, replace(REQUEST, route=route))
            self.assertEqual("log_record", name)
