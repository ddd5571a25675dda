"""Tests of the limit on connections over all listeners."""

import unittest

from burdockdrum.overload import ConnectionLimit
from burdockdrum.overload import EvictionRank


class StubConnection:
    """A connection with a fixed rank."""

    def __init__(self, eviction_rank):
        self.eviction_rank = eviction_rank
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


BUSY = None
UNUSED = (EvictionRank.UNUSED, 3.0)
IDLE = (EvictionRank.IDLE, 1.0)
INCOMPLETE = (EvictionRank.INCOMPLETE, 2.0)


class ConnectionLimitTest(unittest.TestCase):
    """A limit of 64, of which each listener is guaranteed two."""

    def setUp(self):
        self.limit = ConnectionLimit(limit=64)

    def open(self, rank, *, group="callers"):
        """Accept and open a connection; return None if it is refused."""
        connection = StubConnection(rank)
        if not self.limit.accept(connection, group):
            return None
        self.limit.open(connection)
        return connection

    def test_busy_connections_are_kept(self):
        self.assertTrue(all(self.open(BUSY) for _ in range(64)))
        self.assertIsNone(self.open(BUSY))
        self.assertEqual(64, self.limit.count)

    def test_unused_connections_are_closed_first(self):
        ranks = [IDLE] * 16 + [INCOMPLETE] * 16 + [UNUSED] * 16 + [BUSY] * 16
        opened = [self.open(rank) for rank in ranks]
        self.assertIsNotNone(self.open(BUSY))
        evicted = {c.eviction_rank for c in opened if c.is_evicted}
        self.assertEqual({UNUSED}, evicted)

    def test_listener_with_most_connections_gives_way(self):
        operators = [self.open(IDLE, group="operators") for _ in range(4)]
        callers = [self.open(IDLE) for _ in range(60)]
        self.assertIsNotNone(self.open(BUSY, group="operators"))
        self.assertFalse(any(c.is_evicted for c in operators))
        self.assertTrue(any(c.is_evicted for c in callers))

    def test_each_listener_is_guaranteed_some(self):
        for _ in range(64):
            self.open(BUSY)
        probes = [self.open(BUSY, group="readiness") for _ in range(3)]
        self.assertEqual([True, True, False], [p is not None for p in probes])

    def test_closed_connections_make_room(self):
        opened = [self.open(BUSY) for _ in range(64)]
        self.limit.close(opened[0])
        self.assertIsNotNone(self.open(BUSY))

    def test_connections_that_are_being_opened_count(self):
        for _ in range(64):
            self.assertTrue(self.limit.accept(StubConnection(BUSY), "callers"))
        self.assertFalse(self.limit.accept(StubConnection(BUSY), "callers"))
