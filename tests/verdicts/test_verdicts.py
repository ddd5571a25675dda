"""Tests of verdicts and refusals."""

import unittest

from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst


class VerdictTest(unittest.TestCase):
    """What several attempts say together."""

    def test_not_run_only_if_no_attempt_reached_an_endpoint(self):
        not_run, may = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
        self.assertIs(not_run, worst(not_run, not_run))
        self.assertIs(may, worst(not_run, may))
        self.assertIs(may, worst(may, not_run))
        self.assertIs(Verdict.RAN, worst(Verdict.RAN, may))

    def test_every_code_has_a_status_of_failure(self):
        for code in RefusalCode:
            refusal = Refusal(code=code, message="m", verdict=Verdict.NOT_RUN)
            self.assertGreaterEqual(refusal.status, 400)
