"""Tests of finding errors that processes outlived."""

import unittest

from scripts.soak.task_failures import describe_failures

FAILURE = (
    '{"event":"task.failed","task":"holdings.poll","level":"WARNING",'
    '"reason":"KeyError(1)","raised_in":"polling.py:9 _poll"}'
)
OTHER = '{"event":"request.refused","reason":"task.failed"}'


class DescribeFailuresTest(unittest.TestCase):
    """Lines of a log."""

    def test_failed_task_is_a_violation(self):
        # Guards against a soak that holds while a fault is outlived.
        log = f"Traceback\n{OTHER}\n{FAILURE}\n"
        self.assertEqual(
            ["task holdings.poll failed: KeyError(1) in polling.py:9 _poll"],
            describe_failures(log),
        )


if __name__ == "__main__":
    unittest.main()
