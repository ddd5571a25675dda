"""Tests of locating and fetching cached prompt prefixes."""

import unittest

import msgspec

from burdockdrum.holdings import PrefixCacheChange
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.passthrough.state.engines import EngineEstimates
from burdockdrum.passthrough.state.prefix_cache import PrefixCacheView
from burdockdrum.passthrough.state.prefix_cache import SENT_VALID_SECONDS
from burdockdrum.passthrough.state.prefix_cache import SentParts
from burdockdrum.passthrough.state.prefixes import PrefixFetch
from burdockdrum.passthrough.state.prefixes import transfer_seconds
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL
from tests.passthrough.fakes import PLAIN

SHARED = (("head", 500), ("plan-7", 4900))
NEAR = [("a", "a:80", "dc"), ("b", "b:80", "dc")]


def report_cache(
    table, endpoint_id, number=1, *, data_centre="dc", **tokens_by_part
):
    """Record a full cache report of an endpoint."""
    table.apply(
        PrefixCacheChange(
            endpoint_id=endpoint_id,
            address=f"{endpoint_id}:80",
            data_centre=data_centre,
            epoch=1,
            number=number,
            tokens_by_part={
                name.replace("_", "-"): tokens
                for name, tokens in tokens_by_part.items()
            },
            is_snapshot=True,
        ),
        0.0,
    )


class PrefixCacheViewTest(unittest.TestCase):
    """Estimates for endpoints that don't report their cache."""

    def setUp(self):
        self.now = 100.0
        self.view = self.make()

    def make(self, table=None):
        return PrefixCacheView(read_now=lambda: self.now, table=table)

    def find(self, view, prompt, allowed=lambda name: True):
        return view.find_best_holder(prompt, NEAR, allowed)

    def sent(self, memory_tokens, *prompts):
        parts = SentParts(memory_tokens=memory_tokens)
        for prompt in prompts:
            parts.note(prompt.parts, self.now)
        return parts

    def test_cached_prefix_ends_at_the_first_uncached_part(self):
        self.view.record_sent("a", make_prompt(6000, *SHARED), 100_000)
        other = make_prompt(6000, ("head", 500), ("plan-8", 4900))
        self.assertEqual(500, self.view.cached_tokens("a", other))

    def test_least_recently_used_parts_are_evicted(self):
        prompts = [
            make_prompt(5000, (f"plan-{number}", 4900)) for number in range(10)
        ]
        parts = self.sent(20_000, *prompts)
        first, last = prompts[0].parts[0], prompts[-1].parts[0]
        self.assertEqual(0, parts.tokens_of(first, 0.0))
        self.assertEqual(4900, parts.tokens_of(last, 0.0))

    def test_new_parts_are_published_once(self):
        for _ in range(3):
            self.view.record_sent("a", make_prompt(6000, *SHARED), 100_000)
        (notice,) = self.view.pop_notices()
        self.assertEqual([], self.view.pop_notices())
        other = self.make()
        other.record_notices([notice])
        prompt = make_prompt(7000, *SHARED)
        self.assertEqual(5400, other.cached_tokens("a", prompt))
        self.assertEqual("a", self.find(other, prompt).endpoint_id)

    def test_endpoint_that_is_gone_holds_nothing(self):
        self.view.record_sent("a", make_prompt(6000, *SHARED), 100_000)
        self.view.retain_endpoints({"b"})
        prompt = make_prompt(6000, *SHARED)
        self.assertIsNone(self.find(self.view, prompt))


class ReportedCacheTest(PrefixCacheViewTest):
    """Estimates for endpoints that report their cache."""

    def setUp(self):
        super().setUp()
        self.table = PrefixCacheTable()
        self.reporting = self.make(self.table)
        self.prompt = make_prompt(6000, *SHARED)

    def test_report_overrides_older_sent_prompts(self):
        # Guards against counting a prefix that the endpoint has evicted since
        # it was sent.
        self.reporting.record_sent("a", self.prompt, 400_000)
        self.assertEqual(6000, self.reporting.cached_tokens("a", self.prompt))
        self.now += SENT_VALID_SECONDS + 0.1
        report_cache(self.table, "a", other=700)
        self.assertEqual(0, self.reporting.cached_tokens("a", self.prompt))

    def test_recently_sent_prompt_counts_before_it_is_reported(self):
        # Its prefill is running, and the report follows within seconds.
        report_cache(self.table, "a", head=500)
        self.reporting.record_sent("a", self.prompt, 400_000)
        self.assertEqual(6000, self.reporting.cached_tokens("a", self.prompt))
        self.now += SENT_VALID_SECONDS + 0.1
        self.assertEqual(500, self.reporting.cached_tokens("a", self.prompt))

    def test_missing_last_block_does_not_end_the_prefix(self):
        # Only full blocks are cached: 4,896 of 4,900 tokens count as the
        # whole part, 2,000 as a part that was partly evicted.
        report_cache(self.table, "a", head=496, plan_7=4896)
        self.assertEqual(5392, self.reporting.cached_tokens("a", self.prompt))
        report_cache(self.table, "a", 2, head=496, plan_7=2000)
        self.assertEqual(2496, self.reporting.cached_tokens("a", self.prompt))

    def test_unreported_short_part_counts_with_its_successor(self):
        # 100 tokens of instructions precede a long document.
        prompt = make_prompt(6000, ("rules", 100), ("plan-7", 4900))
        report_cache(self.table, "a", plan_7=4900)
        self.assertEqual(5000, self.reporting.cached_tokens("a", prompt))
        report_cache(self.table, "a", 2, other=4900)
        self.assertEqual(0, self.reporting.cached_tokens("a", prompt))

    def test_holder_in_another_region_is_found(self):
        report_cache(
            self.table, "far", data_centre="there", head=500, plan_7=4900
        )
        holder = self.find(self.reporting, self.prompt)
        self.assertEqual(("far:80", 5400), (holder.address, holder.tokens))

    def test_holder_in_this_region_is_preferred(self):
        report_cache(
            self.table, "far", data_centre="there", head=500, plan_7=4900
        )
        report_cache(self.table, "b", head=496, plan_7=4896)
        holder = self.find(self.reporting, self.prompt)
        self.assertEqual("b", holder.endpoint_id)

    def test_holder_in_an_excluded_region_is_ignored(self):
        # Data residency: the prefix is cached in a region that may not
        # process the request.
        report_cache(
            self.table, "far", data_centre="there", head=500, plan_7=4900
        )
        holder = self.find(
            self.reporting, self.prompt, lambda name: name == "dc"
        )
        self.assertIsNone(holder)


class PrefixHashingTest(unittest.TestCase):
    """The endpoint that computes a prefix that is not cached."""

    def penalties(self, world):
        prompt = make_prompt(7000, *SHARED)
        ids = world.endpoints
        return {
            name: world.choose(prompt, tried=ids.keys() - {name}).wait.penalty
            for name in ids
        }

    def test_no_endpoint_is_preferred_with_fresh_reports(self):
        # No endpoint reports the prefix, so the least loaded one may compute
        # it. Guards against overloading the one chosen by a hash.
        world = FleetHarness("a", "b", "c")
        for name in "abc":
            report_cache(world.prefix_cache_table, name, other=5000)
        self.assertEqual({0.0}, set(self.penalties(world).values()))

    def test_late_reports_keep_a_prefix_to_one_endpoint(self):
        # Guards against computing the same prefix at many endpoints, as
        # concurrent entries learn of each other's choices too late.
        world = FleetHarness("a", "b", "c")
        for name in "abc":
            report_cache(world.prefix_cache_table, name, other=5000)
        prompt = make_prompt(7000, *SHARED)
        for load_age, number in ((0.01, 3), (1.0, 1)):
            world.load_age_seconds = load_age
            chosen = {
                world.choose(prompt).endpoint.endpoint_id for _ in range(30)
            }
            self.assertEqual(number, len(chosen))


class FetchTest(unittest.TestCase):
    """The choice of endpoint and fetch for a cached prefix."""

    def setUp(self):
        self.world = FleetHarness("a", "b", "c")
        self.prompt = make_prompt(6600, *SHARED)

    def hold(self, endpoint_id):
        self.world.fleet.prefix_cache_view.record_sent(
            endpoint_id, self.prompt, 400_000
        )

    def test_idle_holder_is_chosen(self):
        self.hold("b")
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertEqual("b", choice.endpoint.endpoint_id)
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(1600, choice.uncached_tokens)

    def test_prefix_is_fetched_from_a_busy_holder(self):
        # The holder has a second of prefill queued; fetching from it is
        # faster than waiting there.
        self.hold("b")
        self.world.others["b"] = Load.from_ranks([RankLoad(0, 4, 85_000)])
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertNotEqual("b", choice.endpoint.endpoint_id)
        self.assertEqual("b:80", choice.fetch_from)
        self.assertEqual(1600, choice.uncached_tokens)

    def test_nothing_is_fetched_from_an_unreachable_endpoint(self):
        # This entry failed to connect to the holder. Guards against a fetch
        # that blocks the request and those behind it.
        self.hold("b")
        state = self.world.fleet._state_of(self.world.endpoints["b"])
        state.health.record_unreachable(self.world.clock.now)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)

    def test_nothing_is_fetched_from_an_unresponsive_endpoint(self):
        # Other entries report that it does not answer cache queries.
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        report_cache(self.world.prefix_cache_table, "far", **far)
        snapshot = self.world.prefix_cache_table.read_snapshot("far")
        unresponsive = msgspec.structs.replace(snapshot, is_unreachable=True)
        self.world.prefix_cache_table.apply(unresponsive, self.world.clock.now)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)

    def test_prefix_is_fetched_from_another_region(self):
        # Fetching takes less time than prefill, also between regions.
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        report_cache(self.world.prefix_cache_table, "far", **far)
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertEqual("far:80", choice.fetch_from)
        self.assertEqual(1600, choice.uncached_tokens)
        self.assertTrue(choice.fetch.is_cross_region)
        near = transfer_seconds(MODEL, 5400)
        self.assertAlmostEqual(2 * near, choice.fetch.transfer_seconds)

    def test_prefix_is_fetched_from_allowed_regions_only(self):
        far = {"data_centre": "there", "head": 500, "plan_7": 4900}
        report_cache(self.world.prefix_cache_table, "far", **far)
        prompt = make_prompt(7000, *SHARED)
        choice = self.world.choose(prompt, rank=1, homes=["here"])
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(7000, choice.uncached_tokens)
        choice = self.world.choose(prompt, rank=1, homes=["here", "over"])
        self.assertEqual("far:80", choice.fetch_from)

    def test_nothing_is_fetched_from_a_removed_endpoint(self):
        self.hold("b")
        del self.world.endpoints["b"]
        choice = self.world.choose(make_prompt(7000, *SHARED), rank=1)
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(7000, choice.uncached_tokens)

    def test_request_without_prompt_fetches_nothing(self):
        choice = self.world.choose(make_prompt(0))
        self.assertIsNone(choice.fetch_from)

    def test_transfer_time_follows_the_bandwidth(self):
        self.assertAlmostEqual(0.04, transfer_seconds(MODEL, 5400), places=3)
        self.assertEqual(0.0, transfer_seconds(PLAIN, 5400))

    def test_fetch_time_is_learned(self):
        # Concurrent transfers queue and take three times as long as the
        # bandwidth allows.
        engines = EngineEstimates()
        fetch = PrefixFetch(address="b:80", tokens=5400, transfer_seconds=0.04)
        before = engines.fetch_seconds("s", fetch)
        for _ in range(60):
            engines.record_fetch("s", fetch, 0.13)
        self.assertLess(before, 0.08)
        self.assertAlmostEqual(
            0.13, engines.fetch_seconds("s", fetch), delta=0.02
        )
        self.assertEqual(0.0, engines.fetch_seconds("s", None))

    def test_fetch_times_are_learned_separately_by_distance(self):
        # Guards against slow fetches from other regions (0.4 s) raising the
        # estimate for fetches within the region (0.05 s).
        engines = EngineEstimates()
        near = PrefixFetch(address="b:80", tokens=5400, transfer_seconds=0.04)
        far = PrefixFetch(
            address="c:80",
            tokens=5400,
            transfer_seconds=0.08,
            is_cross_region=True,
        )
        for _ in range(30):
            engines.record_fetch("s", near, 0.05)
            engines.record_fetch("s", far, 0.4)
        self.assertAlmostEqual(
            0.05, engines.fetch_seconds("s", near), delta=0.01
        )
        self.assertAlmostEqual(
            0.4, engines.fetch_seconds("s", far), delta=0.04
        )
