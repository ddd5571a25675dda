"""What VMs serve and refuse while they are partitioned."""

import asyncio
import unittest

from burdockdrum.configuration.messages import Update
from burdockdrum.resources import hash_token
from burdockdrum.testing import run_virtual
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "n1.2", "s1.1", "s1.2", "s1.3", "e1.1"]
CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
SOUTH = ["s1.1", "s1.2", "s1.3"]
LEASE_SECONDS = 30.0


class CutOffTest(unittest.TestCase):
    """Control VMs in three regions; the region "s" is partitioned."""

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=7,
                vm_ids=VM_IDS,
                control_ids=CONTROL_IDS,
                lease_seconds=LEASE_SECONDS,
            )
            await deployment.start()
            for region in ("n", "s"):
                await deployment.put("n1.1", "region", region, {})
            await deployment.put(
                "n1.1", "service", "planner", {"regions": ["n", "s"]}
            )
            await self.put_client(deployment, "south", "s", ["n", "s"])
            made = await self.put_client(deployment, "north", "n", ["n", "s"])
            await deployment.wait_for(made.revision)
            await asyncio.sleep(3)
            await scenario(deployment)
            await deployment.stop()

        run_virtual(main())

    async def put_client(self, deployment, name, home, residency, version=0):
        fields = {
            "home_region": home,
            "residency": residency,
            "token_hashes": [hash_token(name)],
        }
        result = await deployment.put(
            "n1.1", "client", name, fields, version=version
        )
        self.assertEqual("accepted", result.code)
        return result

    def allowed(self, deployment, vm_id: str, client_id: str) -> set:
        service = deployment.configuration(vm_id)
        return set(service.allowed_regions(client_id, "planner"))

    def assert_refuses(self, deployment, vm_id: str) -> None:
        with self.assertRaises(Refusal) as caught:
            self.allowed(deployment, vm_id, "south")
        self.assertIs(RefusalCode.CONFIGURATION_STALE, caught.exception.code)
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)

    def test_control_vm_cut_off_for_long(self):
        # A partitioned leader steps down within its lease and keeps serving
        # with a growing age. After the partition heals it catches up without
        # causing an election.
        async def scenario(deployment):
            leader = deployment.leader()
            cut = [v for v in VM_IDS if v[0] == leader[0]]
            entry = next(v for v in CONTROL_IDS if v not in cut)
            deployment.cut(cut)
            await asyncio.sleep(2)
            self.assertFalse(deployment.log(leader).is_leader)
            await asyncio.sleep(60)
            for vm_id in cut:
                age = deployment.configuration(vm_id).age
                self.assertAlmostEqual(62, age, delta=5)
                self.assertTrue(deployment.configuration(vm_id).known)
            missed = await deployment.put(entry, "region", "w", {})
            term = deployment.log(entry).term
            deployment.heal(cut)
            seconds = await deployment.wait_for(missed.revision)
            self.assertLess(seconds, 4)
            self.assertEqual(term, deployment.log(entry).term)
            await asyncio.sleep(5)
            for vm_id in VM_IDS:
                self.assertLess(deployment.configuration(vm_id).age, 5)

        self.run_deployment(scenario)

    def test_tightened_residency_while_cut_off(self):
        # A partitioned region can't learn that a residency was tightened.
        # Once the residency lease has expired it must process data only of
        # its own clients, in their home region.
        async def scenario(deployment):
            deployment.cut(SOUTH)
            current = deployment.configuration("n1.1").current
            version = current.resources_by_key["client", "north"].version
            made = await self.put_client(
                deployment, "north", "n", ["n"], version
            )
            seconds = await deployment.wait_for(made.revision, "n1.2")
            self.assertLess(seconds, 4)
            self.assertEqual({"n"}, self.allowed(deployment, "n1.2", "north"))
            await asyncio.sleep(LEASE_SECONDS + 3)
            for vm_id in SOUTH:
                for client_id, regions in (("north", {"n"}), ("south", {"s"})):
                    with self.subTest(vm_id=vm_id, client_id=client_id):
                        self.assertEqual(
                            regions, self.allowed(deployment, vm_id, client_id)
                        )
            deployment.heal(SOUTH)
            await asyncio.sleep(5)
            self.assertEqual(
                {"n", "s"}, self.allowed(deployment, "s1.2", "south")
            )

        self.run_deployment(scenario)

    def test_restarted_vm_synchronizes_from_its_data_centre(self):
        # A VM restarts in a partitioned data centre. The first neighbour that
        # responds has an older revision than the VM has served before, so it
        # must wait for the other neighbour.
        async def scenario(deployment):
            deployment.cut(["s1.1"])
            result = await deployment.put("n1.1", "region", "w", {})
            await deployment.wait_for(result.revision, "s1.2", "s1.3")
            deployment.cut(["s1.2", "s1.3"])
            network = deployment.cluster.network
            network.set_link("s1.1", "s1.3", cut=False)
            network.set_link("s1.2", "s1.3", cut=False, delay=0.4)
            await deployment.restart("s1.3")
            service = deployment.configuration("s1.3")
            revisions = []
            for _ in range(300):
                await asyncio.sleep(0.05)
                if service.known:
                    revisions.append(service.current.revision)
            self.assertEqual({result.revision}, set(revisions))
            self.assertIn("s", self.allowed(deployment, "s1.3", "south"))

        self.run_deployment(scenario)

    def test_isolated_restarted_vm_refuses_requests(self):
        # A restarted VM that reaches no other VM can't know the residency of
        # clients. It must refuse requests until the partition heals.
        async def scenario(deployment):
            deployment.cut(["s1.3"])
            await deployment.restart("s1.3")
            for _ in range(20):
                await asyncio.sleep(3)
                self.assert_refuses(deployment, "s1.3")
            deployment.heal(["s1.3"])
            await asyncio.sleep(4)
            self.assertEqual(
                {"n", "s"}, self.allowed(deployment, "s1.3", "south")
            )

        self.run_deployment(scenario)

    def test_response_from_before_a_restart_is_not_trusted(self):
        # A late response to a request from before a reboot has an echoed time
        # of the previous monotonic clock. Accepting it as current could make
        # the VM serve an older revision than before.
        async def scenario(deployment):
            old = deployment.configuration("s1.3").current
            requested_at = asyncio.get_running_loop().time() + 1000
            deployment.cut(["s1.3"])
            await deployment.restart("s1.3")
            await asyncio.sleep(1)
            late = Update(
                revision=old.revision,
                digest=old.digest,
                echo=requested_at,
                age=0.0,
                synced=True,
                resources=list(old.resources_by_key.values()),
            )
            service = deployment.configuration("s1.3")
            network = deployment.cluster.network
            network.set_link("s1.2", "s1.3", both=False, cut=False)
            deployment.send("s1.2", "s1.3", late)
            await asyncio.sleep(0.1)
            deployment.cut(["s1.3"])
            self.assertEqual(old.revision, service.current.revision)
            self.assertFalse(service.known)
            await asyncio.sleep(10)
            self.assert_refuses(deployment, "s1.3")

        self.run_deployment(scenario)

    def test_restarted_partitioned_data_centre_refuses_requests(self):
        # If all VMs of a partitioned data centre restart, none of them knows
        # which revision was in force: the log on disk doesn't say how far it
        # is committed. All must refuse requests until the partition heals.
        async def scenario(deployment):
            deployment.cut(SOUTH)
            for vm_id in SOUTH:
                await deployment.crash(vm_id, power=True)
            for vm_id in SOUTH:
                await deployment.start_vm(vm_id)
            for _ in range(10):
                await asyncio.sleep(3)
                for vm_id in SOUTH:
                    self.assert_refuses(deployment, vm_id)
            deployment.heal(SOUTH)
            await asyncio.sleep(5)
            for vm_id in SOUTH:
                self.assertTrue(deployment.configuration(vm_id).known)

        self.run_deployment(scenario)
