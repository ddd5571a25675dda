"""Tests of verdicts and refusals."""

import unittest

from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst


class VerdictTest(unittest.TestCase):
    """The combined verdict of several attempts, and error statuses."""

    def test_not_run_only_if_no_attempt_reached_an_endpoint(self):
        not_run, may_have_run = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
        self.assertIs(not_run, worst(not_run, not_run))
        self.assertIs(may_have_run, worst(not_run, may_have_run))
        self.assertIs(may_have_run, worst(may_have_run, not_run))
        self.assertIs(Verdict.RAN, worst(Verdict.RAN, may_have_run))

    def test_every_code_has_an_error_status(self):
        for code in RefusalCode:
            refusal = Refusal(code=code, message="m", verdict=Verdict.NOT_RUN)
            self.assertGreaterEqual(refusal.status, 400)
