"""Quotas that hold over the entry VMs of a data centre."""

import asyncio
import random
import types
import unittest

from burdockdrum.admission import QuotaLedger
from burdockdrum.peers import Peers
from burdockdrum.resources import ClientSpec
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import Quota
from burdockdrum.resources import Resource
from burdockdrum.resources import ResourceKey
from burdockdrum.resources import TeamSpec
from burdockdrum.routing import Demand
from burdockdrum.settings import read_settings
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory

VMS = ("a", "b", "c")
SETTINGS = """
[vm]
id = "{vm}"
region = "north"
data_centre = "north"
[listen]
control = "tcp://127.0.0.1:{port}"
http = "http://127.0.0.1:{http}"
[cluster]
secret = "sixteen characters and more"
join = ["tcp://127.0.0.1:1001"]
[control]
{data}
[control.members]
a = "tcp://127.0.0.1:1001"
[operators]
token_hashes = ["{operator}"]
"""


def make_configuration(quota: Quota) -> Configuration:
    specs = {
        ResourceKey("team", "flooding"): TeamSpec(quota=quota),
        ResourceKey("team", "quiet"): TeamSpec(quota=quota),
    }
    for team in ("flooding", "quiet"):
        specs[ResourceKey("client", team)] = ClientSpec(
            home_region="north",
            residency=["north"],
            token_hashes=[],
            team=team,
        )
    return Configuration(
        revision=1,
        resources_by_key={
            key: Resource(kind=key.kind, name=key.name, version=1, spec=spec)
            for key, spec in specs.items()
        },
    )


def make_demand() -> Demand:
    return Demand(
        service="planner", regions=frozenset({"north"}), deadline=1e6
    )


class QuotaTest(unittest.TestCase):
    """Three entry VMs of one data centre and one quota."""

    async def start(self, quota: Quota) -> None:
        self.cluster = FakeCluster(seed=1)
        self.ledgers = {}
        stub = types.SimpleNamespace(current=make_configuration(quota))
        for number, vm in enumerate(VMS, start=1):
            data = 'data_folder = "unused"' if vm == "a" else ""
            settings = read_settings(
                SETTINGS.format(
                    vm=vm,
                    port=1000 + number,
                    http=2000 + number,
                    data=data,
                    operator=hash_token("operator"),
                )
            )
            kernel = (await self.cluster.start_vm(settings)).kernel
            self.ledgers[vm] = QuotaLedger(
                clock=VirtualClock(),
                rng=random.Random(number),
                configuration=stub,
                peers=kernel.find("peers", Peers),
                vms=kernel.find("vms", VmDirectory),
            )
        self.tending = [
            asyncio.create_task(ledger.run())
            for ledger in self.ledgers.values()
        ]
        await asyncio.sleep(5)

    async def take(self, vm: str, client: str = "flooding"):
        """Return what was taken, or None after a refusal."""
        try:
            return await self.ledgers[vm].take(client, make_demand())
        except Refusal as refusal:
            self.assertIs(RefusalCode.QUOTA, refusal.code)
            self.assertIs(Verdict.NOT_RUN, refusal.verdict)
            self.assertGreater(refusal.retry_after, 0)
            return None

    async def flood(self, vms, rounds: int) -> dict[str, list]:
        holds = {vm: [] for vm in vms}
        for _ in range(rounds):
            for vm in vms:
                hold = await self.take(vm)
                if hold is not None:
                    holds[vm].append(hold)
            await asyncio.sleep(0.6)
        return holds

    def test_one_entry_borrows_what_lies_idle_at_the_others(self):
        """A team's callers all use entry a, whose part is three of nine.

        The others lend what is idle, so that the team gets most of its
        quota and never more; what was given back can be taken again.
        """

        async def main():
            await self.start(Quota(concurrent_requests=9))
            holds = (await self.flood(["a"], 12))["a"]
            self.assertGreater(len(holds), 5)
            self.assertLessEqual(len(holds), 9)
            others = await self.flood(["b", "c"], 3)
            total = len(holds) + sum(map(len, others.values()))
            self.assertLessEqual(total, 9)
            for hold in holds:
                hold.release(tokens=0)
            await asyncio.sleep(10)
            counts = await self.flood(["b"], 12)
            self.assertGreater(len(counts["b"]), 3)
            await self.cluster.stop()

        run_virtual(main())

    def test_entries_that_are_cut_off_keep_to_their_parts(self):
        """The entries lose sight of each other while callers use them all.

        Each falls back to its own part. None takes over the parts of those
        that fell silent, which may be alive and serving: the sum stays
        within the quota, for as long as the cut lasts.
        """

        async def main():
            await self.start(Quota(concurrent_requests=9))
            for vm in VMS:
                others = [name for name in VMS if name != vm]
                self.cluster.network.cut([vm], others)
            await asyncio.sleep(120)
            holds = await self.flood(VMS, 8)
            self.assertEqual([3, 3, 3], [len(holds[vm]) for vm in VMS])
            await self.cluster.stop()

        run_virtual(main())

    def test_cut_after_a_loan_never_counts_it_twice(self):
        """Entry a borrows, then is cut off, then the loan ends.

        The lender takes its part back only after the borrower has stopped
        using it: new requests in flight never pass the quota.
        """

        async def main():
            await self.start(Quota(concurrent_requests=9))
            holds = (await self.flood(["a"], 4))["a"]
            self.cluster.network.cut(["a"], ["b", "c"])
            for hold in holds:
                hold.release(tokens=0)
            for _ in range(20):
                taken = await self.flood(VMS, 1)
                for _ in range(8):
                    for vm in VMS:
                        hold = await self.take(vm)
                        if hold is not None:
                            taken[vm].append(hold)
                held = [hold for vm in VMS for hold in taken[vm]]
                self.assertLessEqual(len(held), 9)
                for hold in held:
                    hold.release(tokens=0)
            self.assertEqual(3, len(taken["a"]))
            await self.cluster.stop()

        run_virtual(main())

    def test_rate_holds_over_all_entries(self):
        """Callers ask for far more than the rate, at one entry or at all."""

        async def main(vms):
            await self.start(Quota(requests_per_second=30))
            loop = asyncio.get_running_loop()
            taken = 0
            began = loop.time()
            while loop.time() < began + 20:
                for vm in vms:
                    for _ in range(4):
                        taken += await self.take(vm) is not None
                await asyncio.sleep(0.05)
            seconds = loop.time() - began
            await self.cluster.stop()
            return taken, seconds

        for vms in (["a"], list(VMS)):
            taken, seconds = run_virtual(main(vms))
            # A second's worth may have been saved up at the start.
            self.assertLessEqual(taken, 30 * (seconds + 1))
            self.assertGreater(taken, 30 * seconds * 0.8)

    def test_flood_of_one_team_leaves_the_quota_of_another(self):
        async def main():
            await self.start(Quota(concurrent_requests=9))
            await self.flood(VMS, 20)
            self.assertIsNone(await self.take("a", "flooding"))
            for vm in VMS:
                for _ in range(3):
                    self.assertIsNotNone(await self.take(vm, "quiet"))
            await self.cluster.stop()

        run_virtual(main())

    def test_tokens_that_were_not_generated_are_given_back(self):
        async def main():
            await self.start(Quota(tokens_per_second=300))
            demand = Demand(
                service="planner",
                regions=frozenset({"north"}),
                deadline=1e6,
                max_tokens=1000,
            )
            ledger = self.ledgers["a"]
            hold = await ledger.take("quiet", demand)
            with self.assertRaises(Refusal):
                await ledger.take("quiet", demand)
            hold.release(tokens=10)
            self.assertIsNotNone(await ledger.take("quiet", demand))
            await self.cluster.stop()

        run_virtual(main())
