"""Tests of the endpoint registry."""

import asyncio
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import CacheEvent
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import LEASE_SECONDS
from burdockdrum.endpoints import MAX_PREFIXES_PER_ENDPOINT
from burdockdrum.endpoints import Report
from burdockdrum.endpoints import REPORT_INTERVAL_SECONDS
from burdockdrum.endpoints import SLOW_REPORT_MIN_ENDPOINTS
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline


def make_registry() -> EndpointRegistry:
    """Return an empty registry under virtual time."""
    clock = VirtualClock()
    timeline = Timeline(
        process="vm", incarnation=1, clock=HybridClock(clock=clock)
    )
    return EndpointRegistry(clock=clock, timeline=timeline)


def announce(
    registry: EndpointRegistry,
    *,
    endpoint_id: str = "e1",
    incarnation: int = 1,
    url: str = "http://e1",
    service: str = "planner",
):
    """Announce an endpoint."""
    return registry.announce(
        Announcement(
            endpoint_id=endpoint_id,
            incarnation=incarnation,
            url=url,
            service=service,
            slots=4,
        )
    )


def find_candidate_ids(registry: EndpointRegistry) -> list[str]:
    """Return the ids of the endpoints that get new requests."""
    return [e.endpoint_id for e in registry.candidates("planner")]


class RegistryTest(unittest.TestCase):
    """Announcements and reports, in order and out of order."""

    def test_many_endpoints_report_less_often_and_within_their_lease(self):
        async def main():
            registry = make_registry()
            grants = [
                announce(registry, endpoint_id=f"e{i}", url=f"http://e{i}")
                for i in range(SLOW_REPORT_MIN_ENDPOINTS)
            ]
            self.assertEqual(REPORT_INTERVAL_SECONDS, grants[0].report_seconds)
            slow = grants[-1].report_seconds
            self.assertGreater(slow, REPORT_INTERVAL_SECONDS)
            self.assertGreater(LEASE_SECONDS, 2 * slow)

        run_virtual(main())

    def test_late_messages_of_an_old_incarnation_are_ignored(self):
        # Delayed messages of the old process arrive after the announcement
        # of the new one at the same address.
        async def main():
            registry = make_registry()
            announce(registry, incarnation=1)
            announce(registry, incarnation=2)
            late = Report(incarnation=1, sequence=9, running=4)
            self.assertFalse(registry.report("e1", late).known)
            registry.start_draining("e1", 1)
            self.assertFalse(announce(registry, incarnation=1).known)
            endpoint = registry.endpoints_by_id["e1"]
            self.assertEqual((2, 0), (endpoint.incarnation, endpoint.running))
            self.assertEqual(["e1"], find_candidate_ids(registry))

        run_virtual(main())

    def test_old_incarnation_is_rejected_after_the_lease_has_expired(self):
        async def main():
            registry = make_registry()
            announce(registry, incarnation=2)
            await asyncio.sleep(60)
            registry.prune()
            self.assertEqual({}, registry.endpoints_by_id)
            self.assertFalse(announce(registry, incarnation=1).known)

        run_virtual(main())

    def test_report_out_of_order_does_not_change_the_load(self):
        async def main():
            registry = make_registry()
            announce(registry)
            registry.report("e1", Report(incarnation=1, sequence=2, running=3))
            registry.report("e1", Report(incarnation=1, sequence=1, running=0))
            self.assertEqual(3, registry.endpoints_by_id["e1"].running)

        run_virtual(main())

    def test_draining_persists_when_the_endpoint_announces_again(self):
        # A reporter that has lost the endpoint requests an announcement; the
        # same incarnation must still get no new requests.
        async def main():
            registry = make_registry()
            announce(registry)
            registry.start_draining("e1", 1)
            announce(registry)
            self.assertEqual([], find_candidate_ids(registry))
            announce(registry, incarnation=2)
            self.assertEqual(["e1"], find_candidate_ids(registry))

        run_virtual(main())

    def test_report_can_start_draining(self):
        async def main():
            registry = make_registry()
            announce(registry)
            report = Report(incarnation=1, sequence=1, leaving=True)
            registry.report("e1", report)
            self.assertEqual([], find_candidate_ids(registry))

        run_virtual(main())

    def test_flapping_endpoint_is_suppressed_longer_each_time(self):
        # An endpoint that crashes after each start loses its requests. It is
        # suppressed from its third return within two minutes on.
        async def main():
            registry = make_registry()
            announce(registry, endpoint_id="e2", url="http://e2")
            suppressed_seconds = []
            for incarnation in range(1, 6):
                announce(registry, incarnation=incarnation)
                start = asyncio.get_running_loop().time()
                while "e1" not in find_candidate_ids(registry):
                    await asyncio.sleep(0.5)
                    announce(registry, incarnation=incarnation)
                    announce(registry, endpoint_id="e2", url="http://e2")
                now = asyncio.get_running_loop().time()
                suppressed_seconds.append(round(now - start))
            self.assertEqual([0, 0, 4, 8, 16], suppressed_seconds)

        run_virtual(main())

    def test_suppressed_endpoint_is_used_if_there_is_no_other(self):
        async def main():
            registry = make_registry()
            for incarnation in range(1, 6):
                announce(registry, incarnation=incarnation)
            self.assertEqual(["e1"], find_candidate_ids(registry))

        run_virtual(main())

    def test_gap_in_cache_events_requests_a_snapshot(self):
        # After lost events, a full resync is requested with each report
        # until it arrives.
        async def main():
            registry = make_registry()
            announce(registry)

            def report(sequence, events, count, complete=False):
                return registry.report(
                    "e1",
                    Report(
                        incarnation=1,
                        sequence=sequence,
                        cache_events=[
                            CacheEvent(prefix=prefix, stored=True)
                            for prefix in events
                        ],
                        cache_sequence=count,
                        cache_complete=complete,
                    ),
                ).resync

            self.assertFalse(report(1, [1, 2], 2))
            self.assertTrue(report(2, [5], 5))
            self.assertTrue(report(3, [6], 6))
            self.assertFalse(report(4, [1, 5, 6], 6, complete=True))
            self.assertFalse(report(5, [7], 7))
            cache = registry.get_cache("e1")
            self.assertEqual(3, cache.count_leading([1, 2, 5]))
            self.assertEqual(0, cache.count_leading([2, 3]))

        run_virtual(main())

    def test_cache_is_bounded(self):
        async def main():
            registry = make_registry()
            announce(registry)
            cache = registry.get_cache("e1")
            cache.add(range(MAX_PREFIXES_PER_ENDPOINT + 10))
            self.assertEqual(MAX_PREFIXES_PER_ENDPOINT, len(cache))
            self.assertEqual(0, cache.count_leading([9]))
            self.assertEqual(1, cache.count_leading([10]))

        run_virtual(main())

    def test_restarted_endpoint_has_an_empty_cache(self):
        async def main():
            registry = make_registry()
            announce(registry)
            registry.get_cache("e1").add([1])
            announce(registry, incarnation=2)
            self.assertEqual(0, len(registry.get_cache("e1")))

        run_virtual(main())
