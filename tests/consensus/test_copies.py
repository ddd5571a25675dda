"""Tests of requests that the network doubled."""

import unittest

from burdockdrum.consensus.copies import Copies
from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.peers import Sender
from burdockdrum.testing import run_virtual


class CopiesTest(unittest.TestCase):
    """What later copies of a request are answered."""

    def setUp(self):
        self.handled = 0
        self.sender = Sender(vm_id="a", address="x", incarnation=1)

    async def handle(self):
        self.handled += 1
        return ProposeReply(index=self.handled)

    def test_copy_gets_the_outcome_of_the_first(self):
        async def main():
            copies = Copies()
            for _ in range(3):
                reply = await copies.answer(self.sender, 7, self.handle)
                self.assertEqual(1, reply.index)
            self.assertEqual(1, self.handled)

        run_virtual(main())

    def test_copy_that_is_too_old_is_not_refused(self):
        # Its first copy is forgotten, and may have been applied.
        async def main():
            copies = Copies()
            for number in range(1, 5000):
                await copies.answer(self.sender, number, self.handle)
            reply = await copies.answer(self.sender, 1, self.handle)
            self.assertTrue(reply.unknown)
            self.assertFalse(reply.refused)
            self.assertEqual(4999, self.handled)

        run_virtual(main())
