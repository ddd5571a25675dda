"""Tests of links that take frames and deliver none."""

import unittest

from burdockdrum.peers.link_watch import LinkWatch
from burdockdrum.peers.link_watch import SILENT_SECONDS


class LinkWatchTest(unittest.TestCase):
    """One link, seen from the sender."""

    def setUp(self):
        self.watch = LinkWatch()

    def test_confirmed_link_is_kept(self):
        for tick in range(20):
            now = tick * 0.5
            self.watch.note_sent("a", now)
            self.watch.note_heard("a", now + 0.1, 0.05)
            self.assertFalse(self.watch.must_renew("a", now + 0.2))

    def test_peer_that_is_heard_but_does_not_hear_is_dialled_anew(self):
        # What the peer sends comes on another connection: it arrives, and
        # says that nothing of this VM's does.
        for tick in range(5):
            now = tick * 0.5
            self.watch.note_sent("a", now)
            self.watch.note_heard("a", now, 60.0 + now)
        self.assertTrue(self.watch.must_renew("a", now))

    def test_silent_peer_is_dialled_less_and_less(self):
        renewed = 0
        for tick in range(240):
            now = tick * 0.5
            renewed += self.watch.must_renew("a", now)
            self.watch.note_sent("a", now)
        self.assertGreater(renewed, 8)
        self.assertLess(renewed, 20)

    def test_pause_without_frames_proves_nothing(self):
        # Nothing was sent for long, so the peer heard nothing for long.
        self.watch.note_sent("a", 0.0)
        self.watch.note_heard("a", 0.2, 0.1)
        now = 10.0
        self.watch.note_heard("a", now, 9.9)
        self.assertFalse(self.watch.must_renew("a", now))
        self.watch.note_sent("a", now)
        self.assertFalse(
            self.watch.must_renew("a", now + SILENT_SECONDS - 0.1)
        )
