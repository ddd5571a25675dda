"""Changes through complete VMs: conflicts, retries and durability."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "n1.2", "s1.1", "s1.2", "e1.1", "e1.2"]
CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]


class AgreedTest(unittest.TestCase):
    """Three control VMs in three regions, each with another VM."""

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=11, vm_ids=VM_IDS, control_ids=CONTROL_IDS
            )
            await deployment.start()
            await scenario(deployment)
            await deployment.stop()

        run_virtual(main())

    def test_concurrent_changes_of_one_version_conflict(self):
        # Concurrent changes of one version through two data centres: one is
        # accepted, the other gets a conflict with the current resource.
        async def scenario(deployment):
            made = await deployment.put("n1.2", "region", "north", {})
            changes = [
                deployment.put(
                    vm_id,
                    "region",
                    "north",
                    {"description": vm_id},
                    version=made.revision,
                )
                for vm_id in ("s1.2", "e1.2")
            ]
            results = await asyncio.gather(*changes)
            codes = sorted(result.code for result in results)
            self.assertEqual(["accepted", "conflict"], codes)
            self.assertEqual(results[0].current, results[1].current)

        self.run_deployment(scenario)

    def test_retried_change_gets_the_first_result(self):
        # Retries with the same change id, after a leader crash and after a
        # power loss of all control VMs, get the first result and are not
        # applied again.
        async def scenario(deployment):
            change = ("region", "north", {"description": "first"})
            first = await deployment.put("n1.2", *change, change_id="x")
            await deployment.put(
                "n1.2",
                "region",
                "north",
                {"description": "second"},
                version=first.revision,
            )
            leader = deployment.leader()
            await deployment.crash(leader, power=True)
            again = await deployment.put("s1.2", *change, change_id="x")
            self.assertEqual(first, again)
            await deployment.start_vm(leader)
            for vm_id in CONTROL_IDS:
                await deployment.crash(vm_id, power=True)
            for vm_id in CONTROL_IDS:
                await deployment.start_vm(vm_id)
            await asyncio.sleep(8)
            again = await deployment.put("e1.2", *change, change_id="x")
            self.assertEqual(first, again)
            await deployment.wait_for(2)
            self.assertEqual(
                2, deployment.configuration("n1.2").current.revision
            )

        self.run_deployment(scenario)

    def test_many_changes_then_all_restart(self):
        # All VMs lose power after snapshots have replaced the start of the
        # log. They must restore the last state, including the results of
        # changes from before the snapshot.
        async def scenario(deployment):
            first = await deployment.put(
                "n1.1", "region", "north", {}, change_id="first"
            )
            entry = deployment.leader()
            for batch in range(22):
                changes = [
                    deployment.put(entry, "region", f"r{batch}-{number}", {})
                    for number in range(50)
                ]
                await asyncio.gather(*changes)
            for vm_id in VM_IDS:
                await deployment.crash(vm_id, power=True)
            for vm_id in VM_IDS:
                await deployment.start_vm(vm_id)
            await deployment.wait_for(1101)
            names = list(deployment.cluster.disks_by_vm_id["n1.1"]._seen)
            self.assertTrue([n for n in names if "snapshot" in n], names)
            digests = {
                deployment.configuration(vm_id).current.digest
                for vm_id in VM_IDS
            }
            self.assertEqual(1, len(digests))
            again = await deployment.put(
                "e1.2", "region", "north", {}, change_id="first"
            )
            self.assertEqual(first, again)

        self.run_deployment(scenario)

    def test_status_names_who_has_a_revision_in_force(self):
        # A VM without replicated state, in another region, reports all VMs,
        # including a partitioned one with its old revision.
        async def scenario(deployment):
            await deployment.put("n1.2", "region", "north", {})
            await asyncio.sleep(3)
            found = await deployment.configuration("e1.2").fetch_in_force()
            self.assertEqual(dict.fromkeys(VM_IDS, 1), found)
            deployment.cut(["s1.2"])
            await deployment.put("n1.2", "region", "south", {})
            await asyncio.sleep(1)
            found = await deployment.configuration("e1.2").fetch_in_force()
            self.assertEqual({**dict.fromkeys(VM_IDS, 2), "s1.2": 1}, found)

        self.run_deployment(scenario)

    def test_removed_control_vm_is_no_longer_used(self):
        # After a control VM is removed from the quorum, all other VMs learn
        # it, even after a restart with the old settings. Changes and leases
        # must work without it.
        async def scenario(deployment):
            leader = deployment.leader()
            removed = next(v for v in CONTROL_IDS if v != leader)
            rest = set(CONTROL_IDS) - {removed}
            await deployment.log(leader).remove_member(removed)
            await deployment.restart("e1.2")
            await asyncio.sleep(8)
            for vm_id in ("n1.2", "s1.2", "e1.2"):
                service = deployment.configuration(vm_id)
                self.assertEqual(rest, set(service.control_addresses))
                result = await deployment.put(vm_id, "region", vm_id, {})
                self.assertEqual("accepted", result.code)
                await deployment.leases(vm_id).acquire(vm_id)

        self.run_deployment(scenario)
