"""Tests of the detection of connections that deliver no frames."""

import unittest

from burdockdrum.peers.link_monitor import CONFIRM_TIMEOUT_SECONDS
from burdockdrum.peers.link_monitor import INITIAL_TIMEOUT_SECONDS
from burdockdrum.peers.link_monitor import LinkMonitor


class LinkMonitorTest(unittest.TestCase):
    """One connection, seen from the sender."""

    def setUp(self):
        self.monitor = LinkMonitor()

    def test_confirmed_link_is_kept(self):
        for tick in range(20):
            now = tick * 0.5
            self.monitor.record_sent("a", now)
            self.monitor.record_received("a", now + 0.1, 0.05)
            self.assertFalse(self.monitor.must_reconnect("a", now + 0.2))

    def test_reconnects_to_a_peer_that_sends_but_receives_nothing(self):
        # The peer's frames arrive on a connection of their own and report
        # that it received nothing.
        for tick in range(5):
            now = tick * 0.5
            self.monitor.record_sent("a", now)
            self.monitor.record_received("a", now, 60.0 + now)
        self.assertTrue(self.monitor.must_reconnect("a", now))

    def test_reconnects_to_an_unreachable_peer_back_off(self):
        renewed = 0
        for tick in range(240):
            now = tick * 0.5
            renewed += self.monitor.must_reconnect("a", now)
            self.monitor.record_sent("a", now)
        self.assertGreater(renewed, 8)
        self.assertLess(renewed, 20)

    def test_reconnects_at_once_to_a_peer_that_started_later(self):
        # A connection attempt made before the peer listened would hang until
        # the kernel retries after a second.
        self.monitor.record_sent("a", 0.0)
        self.monitor.record_received("a", 0.4, None, incarnation=7)
        self.assertTrue(self.monitor.must_reconnect("a", 0.4))
        self.monitor.record_sent("a", 0.4)
        self.monitor.record_received("a", 0.5, None, incarnation=7)
        self.assertFalse(self.monitor.must_reconnect("a", 0.5))

    def test_keeps_a_connection_that_is_being_established(self):
        # Both VMs connect at the same moment.
        self.monitor.record_sent("a", 0.0)
        self.monitor.record_received("a", 0.15, None, incarnation=7)
        self.assertFalse(self.monitor.must_reconnect("a", 0.15))

    def test_keeps_a_connection_on_which_the_peer_received(self):
        self.monitor.record_sent("a", 0.0)
        self.monitor.record_received("a", 0.4, 0.1, incarnation=7)
        self.assertFalse(self.monitor.must_reconnect("a", 0.4))

    def test_first_connection_has_a_shorter_timeout(self):
        # A first query to a control VM that does not listen yet is lost, and
        # no frame comes back that would show it.
        self.monitor.record_sent("a", 0.0)
        self.assertTrue(
            self.monitor.must_reconnect("a", INITIAL_TIMEOUT_SECONDS)
        )

    def test_time_without_sent_frames_does_not_count(self):
        # The peer received nothing for long as nothing was sent.
        self.monitor.record_sent("a", 0.0)
        self.monitor.record_received("a", 0.2, 0.1)
        now = 10.0
        self.monitor.record_received("a", now, 9.9)
        self.assertFalse(self.monitor.must_reconnect("a", now))
        self.monitor.record_sent("a", now)
        self.assertFalse(
            self.monitor.must_reconnect(
                "a", now + CONFIRM_TIMEOUT_SECONDS - 0.1
            )
        )
