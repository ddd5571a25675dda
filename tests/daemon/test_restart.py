"""An entry VM that has just started, seen by a caller with a good token."""

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
    """An entry without a disk is restarted."""

    async def ask_for_models(self, deployment) -> tuple[int, dict]:
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

    def test_good_token_is_not_called_wrong(self):
        # A caller comes the moment its entry is back. The VM has heard of no
        # client yet and said that the token was wrong, so the caller gave
        # up. It waits for the configuration instead.
        async def scenario(deployment):
            await deployment.restart(ENTRY)
            status, _ = await self.ask_for_models(deployment)
            self.assertEqual(200, status)

        self.run_deployment(scenario)

    def test_vm_that_learns_nothing_says_so(self):
        async def scenario(deployment):
            await deployment.crash(ENTRY)
            deployment.partition([ENTRY])
            await deployment.start_vm(ENTRY)
            deployment.partition([ENTRY])
            call = self.ask_for_models(deployment)
            status, refused = await call
            self.assertEqual(503, status)
            error = refused["error"]
            self.assertEqual("configuration_stale", error["code"])
            self.assertEqual("not run", error["verdict"])

        self.run_deployment(scenario)
