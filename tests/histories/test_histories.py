"""Checks the nine invariants over simulated runs with random faults."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.histories import check_all
from burdockdrum.testing import run_virtual
from tests.drawing import draw
from tests.histories.faults import CrashEndpoint
from tests.histories.faults import CrashVm
from tests.histories.faults import CutOneWay
from tests.histories.faults import decode_plan
from tests.histories.faults import DrainVm
from tests.histories.faults import encode_plan
from tests.histories.faults import Isolate
from tests.histories.faults import LeaveEndpoint
from tests.histories.faults import LosePower
from tests.histories.faults import Lossy
from tests.histories.faults import Planned
from tests.histories.world import REGIONS
from tests.histories.world import World

SEED = 1
REGION = strategies.sampled_from(REGIONS)
VM = strategies.sampled_from([f"{r}-{i}" for r in REGIONS for i in (1, 2)])
ENGINE = strategies.sampled_from(
    [f"{r}-engine{i}" for r in REGIONS for i in (1, 2)]
)
FAULTS = strategies.one_of(
    strategies.builds(Isolate, region=REGION),
    strategies.builds(CutOneWay, source=REGION, target=REGION),
    strategies.builds(Lossy, loss=strategies.sampled_from((0.05, 0.2))),
    strategies.builds(CrashVm, vm_id=VM),
    strategies.builds(LosePower, region=REGION),
    strategies.builds(CrashEndpoint, endpoint_id=ENGINE),
    strategies.builds(LeaveEndpoint, endpoint_id=ENGINE),
    strategies.builds(DrainVm, vm_id=VM),
)
PLANS = strategies.lists(
    strategies.builds(
        Planned,
        start=strategies.integers(0, 28).map(lambda half: half / 2),
        seconds=strategies.integers(1, 16).map(lambda half: half / 2),
        fault=FAULTS,
    ),
    min_size=2,
    max_size=4,
)


class HistoryTest(unittest.TestCase):
    """Callers, operators and endpoints while VMs, links and power fail."""

    def check(self, seed: int, plan: list[Planned]) -> None:
        history = run_virtual(World(seed=seed, plan=plan).run())
        violations = check_all(history)
        command = f"python -m scripts.histories --seed {seed} --plan '"
        command += encode_plan(plan) + "'"
        self.assertEqual({}, violations, f"replay with: {command}")
        self.assertTrue(history.ended)

    def test_without_faults_every_request_is_answered(self):
        history = run_virtual(World(seed=SEED, plan=[]).run())
        self.assertEqual({}, check_all(history))
        endings = {ended.ending.value for ended in history.ended}
        self.assertEqual({"answered"}, endings)

    def test_leaving_endpoint_is_left_alone_by_restarted_vms(self):
        # Guards against new requests for a draining endpoint that announces
        # itself again after its region's VMs lost power and their registry.
        text = (
            '[{"start": 5.4, "seconds": 2.6, "fault": "LosePower", '
            '"region": "dunantul"}, '
            '{"start": 11.2, "seconds": 7.8, "fault": "LeaveEndpoint", '
            '"endpoint_id": "alfold-engine2"}, '
            '{"start": 3.5, "seconds": 7.3, "fault": "DrainVm", '
            '"vm_id": "alfold-1"}, '
            '{"start": 3.8, "seconds": 4.1, "fault": "LeaveEndpoint", '
            '"endpoint_id": "dunantul-engine2"}]'
        )
        plan = decode_plan(text)
        self.check(1001, plan)

    def test_vm_crash_while_draining(self):
        # Guards against a run that waits forever for the drain of a VM that
        # has crashed.
        plan = [
            Planned(start=5.3, seconds=4.7, fault=DrainVm(vm_id="alfold-1")),
            Planned(start=9.0, seconds=5.6, fault=CrashVm(vm_id="alfold-1")),
        ]
        self.check(5211, plan)

    def test_change_after_a_control_vm_drained(self):
        # Guards against a late configuration change: a VM that follows a
        # drained control VM must not wait for the idle timeout to switch.
        plan = [
            Planned(
                start=11.0,
                seconds=6.1,
                fault=DrainVm(vm_id="dunantul-1"),
            ),
            Planned(
                start=2.0,
                seconds=4.2,
                fault=LeaveEndpoint(endpoint_id="dunantul-engine1"),
            ),
            Planned(start=3.0, seconds=5.4, fault=DrainVm(vm_id="eszak-1")),
        ]
        self.check(8006, plan)

    @draw(14)
    @given(PLANS)
    def test_drawn_faults(self, plan):
        self.check(SEED, plan)
