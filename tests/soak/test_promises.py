"""Tests that the checker detects violated invariants."""

import unittest

from scripts.soak.endpoint import AnnouncedPeriod
from scripts.soak.invariants import count_in_window
from scripts.soak.invariants import InvariantChecker
from scripts.soak.invariants import RequestRecord


def make_record(request_id, status, *, path="/once/x", answer=b""):
    return RequestRecord(
        request_id=request_id,
        path=path,
        body=b"q",
        status=status,
        answer=answer,
        seconds=0.1,
    )


class PromisesTest(unittest.TestCase):
    """Each invariant, with records that violate it."""

    def setUp(self):
        self.invariants = InvariantChecker()

    def check(self, runs):
        self.invariants.check_runs(runs, settled=True)
        return self.invariants.violations

    def test_valid_records_give_no_violation(self):
        self.invariants.record_answer(make_record("a", 200, answer=b"a:q"))
        self.invariants.record_answer(make_record("b", 502))
        self.invariants.record_answer(make_record("c", 503))
        self.invariants.record_answer(
            make_record("d", 200, path="/again/x", answer=b"d:q")
        )
        self.invariants.record_acknowledged(4)
        self.invariants.record_read(4, 4)
        self.assertEqual([], self.check({"a": 1, "b": 1, "d": 2}))

    def test_request_that_ran_twice_is_a_violation(self):
        self.invariants.record_answer(make_record("a", 200, answer=b"a:q"))
        self.assertIn("ran 2 times", self.check({"a": 2})[0])

    def test_run_of_a_request_refused_as_not_run_is_a_violation(self):
        self.invariants.record_answer(make_record("a", 503))
        self.assertIn("got status 503 but ran", self.check({"a": 1})[0])

    def test_response_of_another_request_is_a_violation(self):
        self.invariants.record_answer(make_record("a", 200, answer=b"b:q"))
        self.assertIn("got the wrong response", self.check({"a": 1})[0])

    def test_response_without_a_run_is_a_violation(self):
        self.invariants.record_answer(make_record("a", 200, answer=b"a:q"))
        self.assertIn("did not run", self.check({})[0])

    def check_arrivals(self, count, *, at=6.0, **period):
        """Check arrivals at an endpoint that announced 1 a second at 0 s."""
        announced = AnnouncedPeriod(limit=1.0, heard_at=0.0, **period)
        self.invariants.check_limits("e", [announced], [at] * count)
        return self.invariants.violations

    def test_arrivals_within_a_limit_give_no_violation(self):
        self.assertEqual([], self.check_arrivals(11))
        # Before every entry must have learned the limit, and after its end.
        self.assertEqual([], self.check_arrivals(50, at=4.0))
        self.assertEqual([], self.check_arrivals(50, ended_at=5.5))

    def test_arrivals_beyond_a_limit_are_a_violation(self):
        self.assertIn("got 12 in 4 s", self.check_arrivals(12)[0])

    def test_busiest_window_is_found(self):
        times = [0.0, 3.0, 3.5, 4.0, 6.9, 7.5, 20.0]
        self.assertEqual(4, count_in_window(times, 4.0))

    def test_read_older_than_an_acknowledged_version_is_a_violation(self):
        self.invariants.record_read(3, 4)
        self.assertIn("version 3 was read", self.check({})[0])
