"""Tests of beginnings of prompts that endpoints hold.

The pattern: 172 plans share beginnings of 4,900 tokens, each asked for every
25 s; an endpoint reads one in 60 ms and fetches it in 40 ms, and the users
pay for each token that is read twice within ten seconds.
"""

import unittest

import msgspec

from burdockdrum.holdings import HeldChange
from burdockdrum.holdings import HoldingsLedger
from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.beginnings import link_seconds
from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.warmth import SENT_SECONDS
from burdockdrum.passthrough.warmth import SentParts
from burdockdrum.passthrough.warmth import Warmth
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from tests.passthrough.fakes import FleetWorld
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL
from tests.passthrough.fakes import PLAIN

SHARED = (("head", 500), ("plan-7", 4900))
NEAR = [("a", "a:80", "dc"), ("b", "b:80", "dc")]


def tell(ledger, endpoint_id, number=1, *, data_centre="dc", **tokens_by_part):
    """Have an endpoint say what it holds, and nothing else."""
    ledger.take(
        HeldChange(
            endpoint_id=endpoint_id,
            address=f"{endpoint_id}:80",
            data_centre=data_centre,
            epoch=1,
            number=number,
            tokens_by_part={
                name.replace("_", "-"): tokens
                for name, tokens in tokens_by_part.items()
            },
            whole=True,
        ),
        0.0,
    )


class WarmthTest(unittest.TestCase):
    """What an entry believes of endpoints that say nothing."""

    def setUp(self):
        self.now = 100.0
        self.warmth = self.make()

    def make(self, ledger=None):
        return Warmth(read_now=lambda: self.now, ledger=ledger)

    def find(self, warmth, prompt, allowed=lambda name: True):
        return warmth.best_holder(prompt, NEAR, allowed)

    def sent(self, memory_tokens, *prompts):
        parts = SentParts(memory_tokens=memory_tokens)
        for prompt in prompts:
            parts.note(prompt.parts, self.now)
        return parts

    def test_beginning_is_held_up_to_the_first_part_that_is_not(self):
        self.warmth.note_sent("a", make_prompt(6000, *SHARED), 100_000)
        other = make_prompt(6000, ("head", 500), ("plan-8", 4900))
        self.assertEqual(500, self.warmth.held_tokens("a", other))

    def test_what_was_used_last_is_kept(self):
        prompts = [
            make_prompt(5000, (f"plan-{number}", 4900)) for number in range(10)
        ]
        parts = self.sent(20_000, *prompts)
        first, last = prompts[0].parts[0], prompts[-1].parts[0]
        self.assertEqual(0, parts.tokens_of(first, 0.0))
        self.assertEqual(4900, parts.tokens_of(last, 0.0))

    def test_others_are_told_once_of_what_is_new(self):
        for _ in range(3):
            self.warmth.note_sent("a", make_prompt(6000, *SHARED), 100_000)
        (notice,) = self.warmth.take_placed()
        self.assertEqual([], self.warmth.take_placed())
        other = self.make()
        other.hear_placed([notice])
        prompt = make_prompt(7000, *SHARED)
        self.assertEqual(5400, other.held_tokens("a", prompt))
        self.assertEqual("a", self.find(other, prompt).endpoint_id)

    def test_endpoint_that_is_gone_holds_nothing(self):
        self.warmth.note_sent("a", make_prompt(6000, *SHARED), 100_000)
        self.warmth.keep_only({"b"})
        prompt = make_prompt(6000, *SHARED)
        self.assertIsNone(self.find(self.warmth, prompt))


class ToldTest(WarmthTest):
    """What an entry believes of endpoints that say what they hold."""

    def setUp(self):
        super().setUp()
        self.ledger = HoldingsLedger()
        self.told = self.make(self.ledger)
        self.prompt = make_prompt(6000, *SHARED)

    def test_what_an_endpoint_says_goes_before_what_was_sent(self):
        # The beginning was sent there, and has yielded to something else.
        # By a guess it would be held for as long as others fit.
        self.told.note_sent("a", self.prompt, 400_000)
        self.assertEqual(6000, self.told.held_tokens("a", self.prompt))
        self.now += SENT_SECONDS + 0.1
        tell(self.ledger, "a", other=700)
        self.assertEqual(0, self.told.held_tokens("a", self.prompt))

    def test_what_was_just_sent_counts_before_it_is_told(self):
        # It is being read; the endpoint will say so in a second or two.
        tell(self.ledger, "a", head=500)
        self.told.note_sent("a", self.prompt, 400_000)
        self.assertEqual(6000, self.told.held_tokens("a", self.prompt))
        self.now += SENT_SECONDS + 0.1
        self.assertEqual(500, self.told.held_tokens("a", self.prompt))

    def test_memory_is_given_in_blocks(self):
        # The last block of a part is not kept if it is not full: 4,896 of
        # 4,900 tokens are the part, 2,000 are what is left of it.
        tell(self.ledger, "a", head=496, plan_7=4896)
        self.assertEqual(5392, self.told.held_tokens("a", self.prompt))
        tell(self.ledger, "a", 2, head=496, plan_7=2000)
        self.assertEqual(2496, self.told.held_tokens("a", self.prompt))

    def test_short_parts_are_not_told_of(self):
        # Some 100 tokens of instructions before a long document.
        prompt = make_prompt(6000, ("rules", 100), ("plan-7", 4900))
        tell(self.ledger, "a", plan_7=4900)
        self.assertEqual(5000, self.told.held_tokens("a", prompt))
        tell(self.ledger, "a", 2, other=4900)
        self.assertEqual(0, self.told.held_tokens("a", prompt))

    def test_holder_in_another_region_is_found(self):
        tell(self.ledger, "far", data_centre="there", head=500, plan_7=4900)
        holder = self.find(self.told, self.prompt)
        self.assertEqual(("far:80", 5400), (holder.address, holder.tokens))

    def test_holder_here_goes_first(self):
        tell(self.ledger, "far", data_centre="there", head=500, plan_7=4900)
        tell(self.ledger, "b", head=496, plan_7=4896)
        holder = self.find(self.told, self.prompt)
        self.assertEqual("b", holder.endpoint_id)

    def test_nothing_is_fetched_from_where_it_may_not_be(self):
        # Residency: the beginning lies in a region where the request may
        # not be processed.
        tell(self.ledger, "far", data_centre="there", head=500, plan_7=4900)
        holder = self.find(self.told, self.prompt, lambda name: name == "dc")
        self.assertIsNone(holder)


class HomeTest(unittest.TestCase):
    """Where a beginning goes that nobody holds."""

    def penalties(self, world):
        prompt = make_prompt(7000, *SHARED)
        ids = world.endpoints
        return {
            name: world.choose(prompt, tried=ids.keys() - {name}).wait.penalty
            for name in ids
        }

    def test_endpoints_that_say_what_they_hold_are_all_alike(self):
        # None of them names it: whoever has least to do may read it. Were
        # all entries to prefer one, it would be the busiest in a peak.
        world = FleetWorld("a", "b", "c")
        for name in "abc":
            tell(world.ledger, name, other=5000)
        self.assertEqual({0.0}, set(self.penalties(world).values()))

    def test_beginning_is_kept_to_one_where_news_comes_too_late(self):
        # Dozens of entries are asked for the same beginning in one second,
        # and hear of each other's choices after it. Each would have it read
        # at another endpoint; so all prefer the same one.
        world = FleetWorld("a", "b", "c")
        for name in "abc":
            tell(world.ledger, name, other=5000)
        prompt = make_prompt(7000, *SHARED)
        for lag, number in ((0.01, 3), (1.0, 1)):
            world.lag = lag
            chosen = {
                world.choose(prompt).endpoint.endpoint_id for _ in range(30)
            }
            self.assertEqual(number, len(chosen))


class FetchTest(unittest.TestCase):
    """Where prompts go whose beginning is held somewhere."""

    def setUp(self):
        self.world = FleetWorld("a", "b", "c")
        self.prompt = make_prompt(6600, *SHARED)

    def hold(self, endpoint_id):
        self.world.fleet.warmth.note_sent(endpoint_id, self.prompt, 400_000)

    def test_idle_holder_is_chosen(self):
        self.hold("b")
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertEqual("b", choice.endpoint.endpoint_id)
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(1600, choice.unread_tokens)

    def test_beginning_is_fetched_from_a_busy_holder(self):
        # The holder has a second to read first. Another endpoint answers
        # sooner, and takes the beginning from the holder.
        self.hold("b")
        self.world.others["b"] = Load.of([RankLoad(0, 4, 85_000)])
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertNotEqual("b", choice.endpoint.endpoint_id)
        self.assertEqual("b:80", choice.fetch_from)
        self.assertEqual(1600, choice.unread_tokens)

    def test_nothing_is_fetched_from_an_endpoint_that_is_gone(self):
        # The holder has crashed; this entry has just failed to connect. A
        # fetch from it would wait, and what is sent to the same endpoint
        # after it as well.
        self.hold("b")
        track = self.world.fleet._track(self.world.endpoints["b"])
        track.health.note_unreachable(self.world.clock.now)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)

    def test_nothing_is_fetched_from_an_endpoint_that_gives_no_answer(self):
        # Others have asked it what it holds, and have told that it is mute.
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        tell(self.world.ledger, "far", **far)
        whole = self.world.ledger.read_whole("far")
        silent = msgspec.structs.replace(whole, is_silent=True)
        self.world.ledger.take(silent, self.world.clock.now)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)

    def test_beginning_is_fetched_from_another_region(self):
        # Peaks move from region to region: what was asked for there comes
        # here now, and a fetch takes a fifth of the time of reading it.
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        tell(self.world.ledger, "far", **far)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertEqual("far:80", choice.fetch_from)
        self.assertEqual(1600, choice.unread_tokens)
        self.assertTrue(choice.fetch.is_far)
        near = link_seconds(MODEL, 5400)
        self.assertAlmostEqual(2 * near, choice.fetch.link_seconds)

    def test_homes_bind_what_is_fetched(self):
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        tell(self.world.ledger, "far", **far)
        prompt = make_prompt(7000, *SHARED)
        choice = self.world.choose(prompt, rank=1, homes=["here"])
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(7000, choice.unread_tokens)
        choice = self.world.choose(prompt, rank=1, homes=["here", "over"])
        self.assertEqual("far:80", choice.fetch_from)

    def test_nothing_is_fetched_from_who_is_gone(self):
        self.hold("b")
        del self.world.endpoints["b"]
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(7000, choice.unread_tokens)

    def test_plain_requests_fetch_nothing(self):
        choice = self.world.choose(make_prompt(0))
        self.assertIsNone(choice.fetch_from)

    def test_fetching_takes_its_bytes_over_the_link(self):
        self.assertAlmostEqual(0.04, link_seconds(MODEL, 5400), places=3)
        self.assertEqual(0.0, link_seconds(PLAIN, 5400))

    def test_time_of_a_fetch_is_learned(self):
        # Transfers wait for each other: they take three times as long as
        # the link's speed says.
        engines = Engines()
        fetch = Fetch(address="b:80", tokens=5400, link_seconds=0.04)
        before = engines.fetch_seconds("s", fetch)
        for _ in range(60):
            engines.note_fetch("s", fetch, 0.13)
        self.assertLess(before, 0.08)
        self.assertAlmostEqual(
            0.13, engines.fetch_seconds("s", fetch), delta=0.02
        )
        self.assertEqual(0.0, engines.fetch_seconds("s", None))

    def test_fetches_from_far_do_not_make_near_ones_look_slow(self):
        # Half of the beginnings come from other regions, 0.4 s later; those
        # of a neighbour are there after 0.05 s, and are expected then.
        engines = Engines()
        near = Fetch(address="b:80", tokens=5400, link_seconds=0.04)
        far = Fetch(
            address="c:80", tokens=5400, link_seconds=0.08, is_far=True
        )
        for _ in range(30):
            engines.note_fetch("s", near, 0.05)
            engines.note_fetch("s", far, 0.4)
        self.assertAlmostEqual(
            0.05, engines.fetch_seconds("s", near), delta=0.01
        )
        self.assertAlmostEqual(
            0.4, engines.fetch_seconds("s", far), delta=0.04
        )
