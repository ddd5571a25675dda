"""Tests that a broken promise is found."""

import unittest

from scripts.soak.promises import Promises
from scripts.soak.promises import Told


def told(request_id, status, *, path="/once/x", answer=b""):
    return Told(
        request_id=request_id,
        path=path,
        body=b"q",
        status=status,
        answer=answer,
        seconds=0.1,
    )


class PromisesTest(unittest.TestCase):
    """Each check, with what breaks it."""

    def setUp(self):
        self.promises = Promises()

    def check(self, runs):
        self.promises.check_runs(runs, settled=True)
        return self.promises.broken

    def test_all_is_well(self):
        self.promises.take_answer(told("a", 200, answer=b"a:q"))
        self.promises.take_answer(told("b", 502))
        self.promises.take_answer(told("c", 503))
        self.promises.take_answer(
            told("d", 200, path="/again/x", answer=b"d:q")
        )
        self.promises.take_acknowledged(4)
        self.promises.take_read(4, 4)
        self.assertEqual([], self.check({"a": 1, "b": 1, "d": 2}))

    def test_second_run(self):
        self.promises.take_answer(told("a", 200, answer=b"a:q"))
        self.assertIn("ran 2 times", self.check({"a": 2})[0])

    def test_run_after_a_promise(self):
        self.promises.take_answer(told("a", 503))
        self.assertIn("was told 503 and has run", self.check({"a": 1})[0])

    def test_answer_of_another(self):
        self.promises.take_answer(told("a", 200, answer=b"b:q"))
        self.assertIn("another answer", self.check({"a": 1})[0])

    def test_answer_without_a_run(self):
        self.promises.take_answer(told("a", 200, answer=b"a:q"))
        self.assertIn("has not run", self.check({})[0])

    def test_older_read(self):
        self.promises.take_read(3, 4)
        self.assertIn("version 3 was read", self.check({})[0])
