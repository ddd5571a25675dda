"""Tests of deduplicating requests."""

import unittest

from burdockdrum.consensus.deduplication import RequestDeduplicator
from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.peers import Sender
from burdockdrum.testing import run_virtual


class CopiesTest(unittest.TestCase):
    """The replies to duplicates of a request."""

    def setUp(self):
        self.handled = 0
        self.sender = Sender(vm_id="a", address="x", incarnation=1)

    async def handle(self):
        self.handled += 1
        return ProposeReply(index=self.handled)

    def test_duplicate_gets_the_outcome_of_the_first(self):
        async def main():
            deduplicator = RequestDeduplicator()
            for _ in range(3):
                reply = await deduplicator.run_once(
                    self.sender, 7, self.handle
                )
                self.assertEqual(1, reply.index)
            self.assertEqual(1, self.handled)

        run_virtual(main())

    def test_evicted_duplicate_is_not_rejected(self):
        # The first copy may have been applied.
        async def main():
            deduplicator = RequestDeduplicator()
            for number in range(1, 5000):
                await deduplicator.run_once(self.sender, number, self.handle)
            reply = await deduplicator.run_once(self.sender, 1, self.handle)
            self.assertTrue(reply.unknown)
            self.assertFalse(reply.refused)
            self.assertEqual(4999, self.handled)

        run_virtual(main())

    def test_memory_is_bounded_though_senders_are_replaced(self):
        # Guards against a leader that remembers each VM there ever was.
        async def main():
            deduplicator = RequestDeduplicator()
            last = None
            for number in range(10_000):
                last = Sender(vm_id=f"vm-{number}", address="x", incarnation=1)
                await deduplicator.run_once(last, 1, self.handle)
            for number in range(1, 5000):
                await deduplicator.run_once(last, number, self.handle)
            remembered = deduplicator._evicted_number_by_sender
            self.assertLessEqual(len(remembered), 4096)
            reply = await deduplicator.run_once(last, 2, self.handle)
            self.assertTrue(reply.unknown)

        run_virtual(main())
