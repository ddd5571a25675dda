"""Distribution of revisions to all VMs under faults."""

import asyncio
import unittest

from burdockdrum.configuration.messages import Follow
from burdockdrum.metrics import Metrics
from burdockdrum.resources import Configuration
from burdockdrum.resources import Resource
from burdockdrum.resources import ResourceKey
from burdockdrum.resources.specs import RegionSpec
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "n1.2", "s1.1", "s1.2", "s1.3", "s1.4"]
# Maximum time from accepted to in force on all VMs.
LIMIT_SECONDS = 4.0


def bytes_in(deployment, vm_id):
    """Return the number of bytes that a VM received from others."""
    kernel = deployment.cluster.vms_by_id[vm_id].kernel
    [line] = [
        line
        for line in kernel.find("metrics", Metrics).text().splitlines()
        if line.startswith('burdockdrum_peer_bytes_total{way="in"}')
    ]
    return float(line.rpartition(" ")[2])


class PassingOnTest(unittest.TestCase):
    """One control VM, and a data centre without one."""

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=5, vm_ids=VM_IDS, control_ids=["n1.1"]
            )
            await deployment.start()
            await scenario(deployment)
            await deployment.stop()

        run_virtual(main())

    async def change(self, deployment, number: int) -> float:
        result = await deployment.put("n1.1", "region", f"r{number}", {})
        return await deployment.wait_for(result.revision)

    def test_lost_duplicated_and_reordered_messages(self):
        # With lost, duplicated and reordered messages, revisions are still in
        # force everywhere in time, and no VM returns to an older one.
        async def scenario(deployment):
            revisions_by_vm_id = {vm_id: [] for vm_id in VM_IDS}
            for vm_id, revisions in revisions_by_vm_id.items():
                deployment.configuration(vm_id).add_listener(
                    lambda new, seen=revisions: seen.append(new.revision)
                )
            deployment.cluster.network.set_default(
                loss=0.1, duplicate=0.2, jitter=0.3
            )
            for number in range(20):
                seconds = await self.change(deployment, number)
                self.assertLess(seconds, LIMIT_SECONDS)
            for revisions in revisions_by_vm_id.values():
                self.assertEqual(sorted(set(revisions)), revisions)
                self.assertEqual(20, revisions[-1])

        self.run_deployment(scenario)

    def test_restarted_vm_gets_only_current_versions(self):
        # After many changes of one resource, restarted VMs get the current
        # configuration. All its versions would saturate the relay's link.
        async def scenario(deployment):
            for number in range(40):
                result = await deployment.put(
                    "n1.1",
                    "region",
                    "north",
                    {"description": f"{number:03}" * 400},
                    version=number,
                )
                await deployment.wait_for(result.revision)
            restarted = ["s1.1", "s1.2", "s1.3", "s1.4"]
            for vm_id in restarted:
                await deployment.restart(vm_id)
            await deployment.wait_for(result.revision, *restarted)
            await asyncio.sleep(2)
            for vm_id in restarted:
                self.assertLess(bytes_in(deployment, vm_id), 40_000)

        self.run_deployment(scenario)

    def test_relay_crash(self):
        # If the relay crashes, its followers must get a change elsewhere in
        # time.
        async def scenario(deployment):
            self.assertEqual("s1.1", deployment.relay("s1.3"))
            await deployment.crash("s1.1")
            result = await deployment.put("n1.1", "region", "north", {})
            rest = [vm_id for vm_id in VM_IDS if vm_id != "s1.1"]
            seconds = await deployment.wait_for(result.revision, *rest)
            self.assertLess(seconds, LIMIT_SECONDS)

        self.run_deployment(scenario)

    def test_relay_is_partitioned_from_control_only(self):
        # A relay without a connection to the control VM is still followed by
        # its data centre. All of them must get a change elsewhere in time.
        async def scenario(deployment):
            network = deployment.cluster.network
            network.cut(["s1.1"], ["n1.1", "n1.2"])
            await asyncio.sleep(10)
            result = await deployment.put("n1.1", "region", "north", {})
            seconds = await deployment.wait_for(result.revision)
            self.assertLess(seconds, LIMIT_SECONDS)

        self.run_deployment(scenario)

    def test_divergence_is_detected_and_repaired(self):
        # A VM whose digest differs from its relay's at the same revision, as
        # after memory corruption, fetches the whole configuration.
        async def scenario(deployment):
            await self.change(deployment, 0)
            key = ResourceKey("region", "r0")
            wrong = Resource(
                kind="region",
                name="r0",
                version=1,
                spec=RegionSpec(description="wrong"),
            )
            service = deployment.configuration("s1.3")
            service._local.history.replace(Configuration.of(1, [wrong]))
            await asyncio.sleep(5)
            right = deployment.configuration("n1.1").current
            self.assertEqual(
                right.resources_by_key[key],
                service.current.resources_by_key[key],
            )
            self.assertEqual(right.digest, service.current.digest)

        self.run_deployment(scenario)

    def test_vm_that_missed_too_many_changes_gets_a_snapshot(self):
        # A VM that missed more changes than are kept must get a snapshot.
        async def scenario(deployment):
            deployment.cut(["s1.4"])
            for batch in range(22):
                changes = [
                    deployment.put("n1.1", "region", f"r{batch}-{i}", {})
                    for i in range(50)
                ]
                await asyncio.gather(*changes)
            deployment.heal(["s1.4"])
            await deployment.wait_for(1100)
            digests = {
                deployment.configuration(vm_id).current.digest
                for vm_id in VM_IDS
            }
            self.assertEqual(1, len(digests))

        self.run_deployment(scenario)

    def test_control_vm_is_followed_by_relays_only(self):
        # The load of a control VM must grow with the number of data centres,
        # not with that of VMs.
        async def scenario(deployment):
            followers = set()
            network = deployment.cluster.network
            deliver = network.deliver

            def spy(host, address, payload):
                is_control = address == "tcp://127.0.0.1:1001"
                if is_control and Follow.kind().encode() in payload:
                    followers.add(host)
                deliver(host, address, payload)

            await asyncio.sleep(5)
            network.deliver = spy
            await self.change(deployment, 0)
            await asyncio.sleep(10)
            # n1.2 follows n1.1 as the relay of its own data centre.
            self.assertEqual({"s1.1", "n1.2"}, followers)

        self.run_deployment(scenario)
