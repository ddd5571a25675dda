"""Tests of quotas over the entry VMs of a data centre."""

import asyncio
import random
import types
import unittest

from burdockdrum.admission import QuotaEnforcer
from burdockdrum.peers import Peers
from burdockdrum.resources import ClientSpec
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import Quota
from burdockdrum.resources import Resource
from burdockdrum.resources import ResourceKey
from burdockdrum.resources import TeamSpec
from burdockdrum.routing import RoutingRequest
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


def make_request() -> RoutingRequest:
    return RoutingRequest(
        service="planner", regions=frozenset({"north"}), deadline=1e6
    )


class QuotaTest(unittest.TestCase):
    """Three entry VMs of one data centre and one quota."""

    async def start(self, quota: Quota) -> None:
        self.cluster = FakeCluster(seed=1)
        self.enforcers = {}
        configuration_service = types.SimpleNamespace(
            current=make_configuration(quota)
        )
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
            self.enforcers[vm] = QuotaEnforcer(
                clock=VirtualClock(),
                rng=random.Random(number),
                configuration=configuration_service,
                peers=kernel.find("peers", Peers),
                vms=kernel.find("vms", VmDirectory),
            )
        self.tasks = [
            asyncio.create_task(enforcer.run())
            for enforcer in self.enforcers.values()
        ]
        await asyncio.sleep(5)

    async def acquire(self, vm: str, client: str = "flooding"):
        """Return the reservation, or None if the request was refused."""
        try:
            return await self.enforcers[vm].acquire(client, make_request())
        except Refusal as refusal:
            self.assertIs(RefusalCode.QUOTA, refusal.code)
            self.assertIs(Verdict.NOT_RUN, refusal.verdict)
            self.assertGreater(refusal.retry_after, 0)
            return None

    async def flood(self, vms, rounds: int) -> dict[str, list]:
        reservations = {vm: [] for vm in vms}
        for _ in range(rounds):
            for vm in vms:
                reservation = await self.acquire(vm)
                if reservation is not None:
                    reservations[vm].append(reservation)
            await asyncio.sleep(0.6)
        return reservations

    def test_entry_borrows_idle_quota_of_others(self):
        """A team that uses one entry gets only that entry's share.

        Neither may it get more than its quota, or lose what it released.
        """

        async def main():
            await self.start(Quota(concurrent_requests=9))
            reservations = (await self.flood(["a"], 12))["a"]
            self.assertGreater(len(reservations), 5)
            self.assertLessEqual(len(reservations), 9)
            others = await self.flood(["b", "c"], 3)
            total = len(reservations) + sum(map(len, others.values()))
            self.assertLessEqual(total, 9)
            for reservation in reservations:
                reservation.release(tokens=0)
            await asyncio.sleep(10)
            counts = await self.flood(["b"], 12)
            self.assertGreater(len(counts["b"]), 3)
            await self.cluster.stop()

        run_virtual(main())

    def test_partitioned_entries_keep_to_their_shares(self):
        """Entries take over the shares of unreachable ones that still serve.

        They would exceed the quota together.
        """

        async def main():
            await self.start(Quota(concurrent_requests=9))
            for vm in VMS:
                others = [name for name in VMS if name != vm]
                self.cluster.network.cut([vm], others)
            await asyncio.sleep(120)
            reservations = await self.flood(VMS, 8)
            self.assertEqual([3, 3, 3], [len(reservations[vm]) for vm in VMS])
            await self.cluster.stop()

        run_virtual(main())

    def test_loan_is_not_used_twice_after_a_partition(self):
        """The lender reuses a loan that a partitioned borrower still uses."""

        async def main():
            await self.start(Quota(concurrent_requests=9))
            reservations = (await self.flood(["a"], 4))["a"]
            self.cluster.network.cut(["a"], ["b", "c"])
            for reservation in reservations:
                reservation.release(tokens=0)
            for _ in range(20):
                acquired = await self.flood(VMS, 1)
                for _ in range(8):
                    for vm in VMS:
                        reservation = await self.acquire(vm)
                        if reservation is not None:
                            acquired[vm].append(reservation)
                in_flight = [
                    reservation for vm in VMS for reservation in acquired[vm]
                ]
                self.assertLessEqual(len(in_flight), 9)
                for reservation in in_flight:
                    reservation.release(tokens=0)
            self.assertEqual(3, len(acquired["a"]))
            await self.cluster.stop()

        run_virtual(main())

    def test_rate_limit_holds_over_all_entries(self):
        """Demand beyond the rate, at one or all entries, exceeds the limit."""

        async def main(vms):
            await self.start(Quota(requests_per_second=30))
            loop = asyncio.get_running_loop()
            acquired = 0
            started_at = loop.time()
            while loop.time() < started_at + 20:
                for vm in vms:
                    for _ in range(4):
                        acquired += await self.acquire(vm) is not None
                await asyncio.sleep(0.05)
            seconds = loop.time() - started_at
            await self.cluster.stop()
            return acquired, seconds

        for vms in (["a"], list(VMS)):
            acquired, seconds = run_virtual(main(vms))
            # The token buckets start with one second's worth.
            self.assertLessEqual(acquired, 30 * (seconds + 1))
            self.assertGreater(acquired, 30 * seconds * 0.8)

    def test_flood_of_one_team_does_not_use_the_quota_of_another(self):
        async def main():
            await self.start(Quota(concurrent_requests=9))
            await self.flood(VMS, 20)
            self.assertIsNone(await self.acquire("a", "flooding"))
            for vm in VMS:
                for _ in range(3):
                    self.assertIsNotNone(await self.acquire(vm, "quiet"))
            await self.cluster.stop()

        run_virtual(main())

    def test_tokens_that_were_not_generated_are_refunded(self):
        async def main():
            await self.start(Quota(tokens_per_second=300))
            request = RoutingRequest(
                service="planner",
                regions=frozenset({"north"}),
                deadline=1e6,
                max_tokens=1000,
            )
            enforcer = self.enforcers["a"]
            reservation = await enforcer.acquire("quiet", request)
            with self.assertRaises(Refusal):
                await enforcer.acquire("quiet", request)
            reservation.release(tokens=10)
            self.assertIsNotNone(await enforcer.acquire("quiet", request))
            await self.cluster.stop()

        run_virtual(main())
