"""A short run of the soak of control VMs whose disks refuse writes."""

import asyncio
import random

from scripts.soak.config_operator import ConfigurationOperator
from scripts.soak.control_disks import ControlDisks
from scripts.soak.refusing_disks import DiskSoak
from tests.soak.cases import SoakCase

SEED = 1


async def run_each_once(soak):
    """Let disks refuse in series, together and beside a kill."""
    async with asyncio.TaskGroup() as group:
        restarting = group.create_task(soak.restart_entries())
        await soak.refuse_in_series()
        await soak.refuse_together()
        await soak.end_while_refusing()
        restarting.cancel()


class RefusingDisksTest(SoakCase):
    """Three control VMs, whose disks accept writes again."""

    def test_disks_that_refuse_writes_in_turn_end_nothing(self):
        # Guards against a control VM that takes no part after its disk has
        # refused writes once, until two are gone and nothing is confirmed.
        soak = DiskSoak(SEED)
        result = self.run_soak(soak, run_each_once, seconds=60)
        self.assertGreater(soak.progress, 5, result.format_result())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)


class ConfigurationOperatorTest(SoakCase):
    """What the operator of the soak reports."""

    def test_old_unknown_and_changed_versions_are_reported(self):
        # Guards against a check that misses a change that was lost.
        operator = ConfigurationOperator(
            rng=random.Random(SEED),
            disks=ControlDisks(machines=[], record=print),
            make_document=lambda version, routes: {},
        )
        operator.record_sent(2, {"a": 1000})
        operator.record_sent(4, {"a": 2000})
        route = {"name": "a", "timeout_ms": 2000}
        for version, newest, is_fault in (
            (4, 4, False),
            (2, 4, True),
            (5, 4, True),
            (2, 2, True),
        ):
            operator.violations.clear()
            document = {"version": version, "routes": [route]}
            operator.check_read("a", document, newest=newest)
            self.assertEqual(is_fault, bool(operator.violations), version)
