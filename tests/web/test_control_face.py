"""Tests of replacing a control VM's disk by the operators' API."""

import asyncio
import unittest

import msgspec

from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
OTHER_ID = "e1.2"
LOST = "e1.1"


class ControlFaceTest(unittest.TestCase):
    """Three control VMs, and one VM that is not one."""

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=4,
                vm_ids=[*CONTROL_IDS, OTHER_ID],
                control_ids=CONTROL_IDS,
            )
            await deployment.start()
            await scenario(deployment)
            await deployment.stop()

        run_virtual(main())

    async def call(self, deployment, vm_id, method, path="", body=b""):
        call = UpstreamCall(
            method=method,
            url=deployment.url(vm_id) + "/v1/control/members" + path,
            headers={"authorization": "Bearer operator"},
            body=body,
        )
        answer = await deployment.cluster.client("operator").open(call)
        return answer.status, msgspec.json.decode(await read_whole(answer))

    def test_lost_disk_is_replaced(self):
        # A control VM that restarts with an empty disk must not vote until
        # it was removed and added again with the id of its new disk.
        async def scenario(deployment):
            await deployment.crash(LOST)
            deployment.cluster.disks_by_vm_id[LOST].wipe()
            await deployment.start_vm(LOST)
            await asyncio.sleep(5)
            _, own = await self.call(deployment, LOST, "GET")
            self.assertEqual("waiting to be added", own["role"])
            _, view = await self.call(deployment, "n1.1", "GET")
            old = {m["vm_id"]: m for m in view["members"]}[LOST]
            self.assertNotEqual(own["disk_id"], old["disk_id"])
            body = msgspec.json.encode(
                {"address": old["address"], "disk_id": own["disk_id"]}
            )
            path = f"/{LOST}"
            status, refused = await self.call(
                deployment, "n1.1", "PUT", path, body
            )
            self.assertEqual(409, status)
            self.assertEqual("not_accepted", refused["error"]["code"])
            await self.call(deployment, "n1.1", "DELETE", path)
            status, _ = await self.call(deployment, "n1.1", "PUT", path, body)
            self.assertEqual(200, status)
            await asyncio.sleep(10)
            _, view = await self.call(deployment, "s1.1", "GET")
            new = {m["vm_id"]: m for m in view["members"]}[LOST]
            self.assertTrue(new["voter"])
            self.assertEqual(own["disk_id"], new["disk_id"])

        self.run_deployment(scenario)

    def test_other_vm_names_the_control_vms(self):
        async def scenario(deployment):
            status, refused = await self.call(deployment, OTHER_ID, "GET")
            self.assertEqual(404, status)
            self.assertIn("e1.1, n1.1, s1.1", refused["error"]["message"])

        self.run_deployment(scenario)
