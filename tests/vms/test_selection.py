"""Tests of the selection of entry VMs for a caller."""

import collections
import random
import unittest

from burdockdrum.peers import VmIdentity
from burdockdrum.vms import select_entries
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmView


def make_view(vm_id: str, data_centre: str, **changes) -> VmView:
    """Return a healthy view; the region is the data centre's first letter."""
    room = changes.pop("room", 4)
    return VmView(
        identity=VmIdentity(
            vm_id=vm_id,
            incarnation=1,
            region=data_centre[0],
            data_centre=data_centre,
            control_address=f"tcp://{vm_id}",
            http_address=f"http://{vm_id}",
        ),
        draining=changes.pop("draining", False),
        revision=1,
        services=(
            ServiceSummary(
                service="planner",
                endpoints=1,
                slots=4,
                room=room,
                queue_seconds=0.0,
            ),
        ),
        heard_at=0.0,
        **changes,
    )


class SelectionTest(unittest.TestCase):
    """Lists for a caller near data centre a1 of region a."""

    def select(self, views: list[VmView], seed: int = 1):
        return select_entries(
            views=views, region="a", data_centre="a1", rng=random.Random(seed)
        ).entries

    def test_vm_that_reaches_no_endpoint_is_a_backup(self):
        # Guards against callers sent to an entry whose links are cut.
        views = [
            make_view("cut", "a1", is_cut_off=True),
            make_view("own", "a1"),
        ]
        entries = self.select(views)
        self.assertEqual(["own", "cut"], [entry.vm_id for entry in entries])
        self.assertEqual(0, entries[1].weight)

    def test_vms_that_all_reach_no_endpoint_are_still_listed(self):
        views = [make_view(n, "a1", is_cut_off=True) for n in ("x", "y")]
        entries = self.select(views)
        self.assertEqual({"x", "y"}, {entry.vm_id for entry in entries})

    def test_near_region_replaces_a_cut_off_data_centre(self):
        views = [
            make_view("cut", "a1", is_cut_off=True),
            make_view("near", "a2"),
            make_view("far", "b1"),
        ]
        weighted = [e.vm_id for e in self.select(views) if e.weight]
        self.assertEqual(["near"], weighted)

    def test_own_data_centre_then_own_region_then_elsewhere(self):
        views = [
            make_view("far", "b1"),
            make_view("near", "a2"),
            make_view("own", "a1"),
        ]
        entries = self.select(views)
        self.assertEqual(
            ["own", "near", "far"], [entry.vm_id for entry in entries]
        )
        self.assertGreater(entries[0].weight, 0)
        self.assertEqual([0, 0], [entry.weight for entry in entries[1:]])

    def test_first_entries_are_spread_by_weight(self):
        # Callers that only use the first entry of a list must be spread over
        # all VMs, with fewer for a busy one.
        views = [make_view(f"vm{n}", "a1") for n in range(4)]
        views.append(make_view("busy", "a1", in_flight=96))
        counts = collections.Counter(
            self.select(views, seed)[0].vm_id for seed in range(2000)
        )
        for number in range(4):
            share = counts[f"vm{number}"] / 2000
            self.assertAlmostEqual(0.235, share, delta=0.04)
        self.assertAlmostEqual(0.06, counts["busy"] / 2000, delta=0.03)

    def test_draining_vm_is_excluded_and_suspected_one_comes_last(self):
        views = [
            make_view("suspected", "a1", suspected=True),
            make_view("draining", "a1", draining=True),
            make_view("far", "b1"),
        ]
        self.assertEqual(
            ["far", "suspected"], [e.vm_id for e in self.select(views)]
        )

    def test_region_with_free_capacity_gets_more_callers(self):
        views = [
            make_view("full", "b1", room=0),
            make_view("free", "c1", room=4),
        ]
        weights = {e.vm_id: e.weight for e in self.select(views)}
        self.assertEqual({"full": 25, "free": 100}, weights)

    def test_list_is_bounded_for_many_vms(self):
        views = [make_view(f"own{n}", "a1") for n in range(17)]
        views += [make_view(f"far{n}", f"b{n}") for n in range(225)]
        self.assertEqual(29, len(self.select(views)))
