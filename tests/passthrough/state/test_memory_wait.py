"""Tests of the wait for memory: long prompts that fill engines.

An engine with 64 slots has memory for 38 requests of 12,000 tokens.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockdrum.passthrough.state import memory_wait_seconds
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad

MEMORY_TOKENS = 475_000
HELD_SECONDS = 4.0
tokens = st.integers(0, 2 * MEMORY_TOKENS)


def wait(load, *, rank, request_tokens=12_000):
    """Return the wait of a request at an engine."""
    return memory_wait_seconds(
        load,
        rank=rank,
        request_tokens=request_tokens,
        memory_tokens=MEMORY_TOKENS,
        held_seconds=HELD_SECONDS,
    )


def held(rank, number):
    """Return the load of some requests of 12,000 tokens each."""
    return RankLoad(rank, number, 0, held_tokens=number * 12_000)


class MemoryWaitTest(unittest.TestCase):
    """``memory_wait_seconds``."""

    def test_engine_with_free_slots_has_no_memory(self):
        # Guards against sending long prompts to engines where they wait for
        # memory although slots are free.
        load = Load.from_ranks([held(0, 45)])
        excess = 46 * 12_000 - MEMORY_TOKENS
        self.assertAlmostEqual(
            excess / MEMORY_TOKENS * HELD_SECONDS, wait(load, rank=0)
        )

    def test_less_urgent_requests_are_preempted(self):
        load = Load.from_ranks([held(2, 45)])
        self.assertEqual(0.0, wait(load, rank=0))

    def test_unknown_memory_is_not_waited_for(self):
        seconds = memory_wait_seconds(
            Load.from_ranks([held(0, 45)]),
            rank=0,
            request_tokens=12_000,
            memory_tokens=0,
            held_seconds=HELD_SECONDS,
        )
        self.assertEqual(0.0, seconds)

    @given(tokens, tokens, tokens)
    def test_wait_never_decreases_with_what_is_held(self, held, more, own):
        less = Load.from_ranks([RankLoad(0, 1, 0, held_tokens=held)])
        full = Load.from_ranks([RankLoad(0, 1, 0, held_tokens=held + more)])
        self.assertLessEqual(
            wait(less, rank=0, request_tokens=own),
            wait(full, rank=0, request_tokens=own),
        )
