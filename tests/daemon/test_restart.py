"""Tests of requests to an entry VM that has just restarted."""

import asyncio
import unittest

import msgspec

from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.resources import hash_token
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
ENTRY = "e1.2"


class RestartTest(unittest.TestCase):
    """An entry, which keeps no data on disk, is restarted."""

    async def list_models(self, deployment) -> tuple[int, dict]:
        call = UpstreamCall(
            method="GET",
            url=deployment.url(ENTRY) + "/v1/models",
            headers={"authorization": "Bearer caller"},
        )
        answer = await deployment.cluster.client("caller").open(call)
        return answer.status, msgspec.json.decode(await read_whole(answer))

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=6, vm_ids=[*CONTROL_IDS, ENTRY], control_ids=CONTROL_IDS
            )
            await deployment.start()
            await deployment.put("n1.1", "region", "north", {})
            spec = {
                "home_region": "north",
                "residency": ["north"],
                "token_hashes": [hash_token("caller")],
            }
            await deployment.put("n1.1", "client", "crew", spec)
            await asyncio.sleep(2)
            await scenario(deployment)
            await deployment.stop()

        run_virtual(main())

    def test_valid_token_is_accepted_right_after_a_restart(self):
        # Before it has received the configuration, the VM knows no clients.
        # It must wait for it instead of rejecting a valid token.
        async def scenario(deployment):
            await deployment.restart(ENTRY)
            status, _ = await self.list_models(deployment)
            self.assertEqual(200, status)

        self.run_deployment(scenario)

    def test_vm_without_a_configuration_returns_503(self):
        async def scenario(deployment):
            await deployment.crash(ENTRY)
            deployment.partition([ENTRY])
            await deployment.start_vm(ENTRY)
            deployment.partition([ENTRY])
            call = self.list_models(deployment)
            status, response = await call
            self.assertEqual(503, status)
            error = response["error"]
            self.assertEqual("configuration_stale", error["code"])
            self.assertEqual("not run", error["verdict"])

        self.run_deployment(scenario)
