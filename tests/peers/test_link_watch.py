"""Tests of links that take frames and deliver none."""

import unittest

from burdockdrum.peers.link_watch import FIRST_SILENT_SECONDS
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

    def test_peer_that_starts_is_dialled_anew_at_once(self):
        # A region's power returns. This VM is up first and dials another
        # that is not: the kernel tries again after a second. The other one
        # is up, dials for itself and is heard; it has heard nothing.
        self.watch.note_sent("a", 0.0)
        self.watch.note_heard("a", 0.4, None, incarnation=7)
        self.assertTrue(self.watch.must_renew("a", 0.4))
        self.watch.note_sent("a", 0.4)
        self.watch.note_heard("a", 0.5, None, incarnation=7)
        self.assertFalse(self.watch.must_renew("a", 0.5))

    def test_connection_that_comes_about_is_left(self):
        # Both were dialled at the same moment.
        self.watch.note_sent("a", 0.0)
        self.watch.note_heard("a", 0.15, None, incarnation=7)
        self.assertFalse(self.watch.must_renew("a", 0.15))

    def test_peer_that_has_heard_this_vm_is_left(self):
        self.watch.note_sent("a", 0.0)
        self.watch.note_heard("a", 0.4, 0.1, incarnation=7)
        self.assertFalse(self.watch.must_renew("a", 0.4))

    def test_peer_that_was_never_heard_is_tried_sooner(self):
        # A VM's first question to a control VM that is not up yet is lost.
        # Nobody there knows of it, so no word comes that would show it.
        self.watch.note_sent("a", 0.0)
        self.assertTrue(self.watch.must_renew("a", FIRST_SILENT_SECONDS))

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
