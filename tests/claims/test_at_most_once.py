"""Tests of whole VMs: a request with an idempotency key runs at most once."""

import asyncio
import random
import unittest

from burdockdrum.testing import run_virtual
from tests.claims.histories import run_history
from tests.requests.stack import Endpoint
from tests.requests.stack import Stack

REPLICAS = ("a1", "a2", "a3")
VMS = (*REPLICAS, "b1")
SEEDS = range(8)


def run_with_service(
    scenario, *, seed=1, vms=VMS, replica_ids=REPLICAS, seconds=0.5
):
    async def main():
        stack = Stack(seed=seed, keepers=replica_ids)
        await stack.start(*vms)
        await stack.configure()
        service = Endpoint(name="e1", seconds=seconds, body=b'{"booked":1}')
        await stack.add_endpoint(service, *vms[:3], service="booking")
        await asyncio.sleep(2)
        try:
            await scenario(stack, service)
        finally:
            await stack.stop()

    run_virtual(main())


class ResendTest(unittest.TestCase):
    """HARD CASE 1: a request is resent to other entries, at once or later."""

    def test_concurrent_resends_to_three_entries_run_once(self):
        # Entries that are refused the claim must not answer "not run" while
        # another one runs the request.
        async def scenario(stack, service):
            booked = await asyncio.gather(
                *(stack.book(vm, "key") for vm in ("a1", "a2", "b1"))
            )
            self.assertLessEqual(service.runs_by_key["key"], 1)
            for one in booked:
                if one.status != 200:
                    self.assertEqual("may have run", one.verdict)
                    self.assertEqual("claim_in_progress", one.code)

        run_with_service(scenario)

    def test_later_resend_gets_the_first_answer(self):
        async def scenario(stack, service):
            first = await stack.book("a1", "key")
            await asyncio.sleep(120)
            for vm in VMS:
                again = await stack.book(vm, "key")
                self.assertEqual((200, first.body), (again.status, again.body))
                self.assertEqual('"7"', again.headers["etag"])
                self.assertEqual("true", again.headers["idempotent-replay"])
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)

    def test_resend_after_an_entry_crash_does_not_run(self):
        # The entry crashes during the run. A resend must be refused, also
        # after the deadline.
        async def scenario(stack, service):
            first = asyncio.create_task(stack.book("a2", "key"))
            await asyncio.sleep(1)
            await stack.cluster.crash_vm("a2")
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            for pause in (0, 120):
                await asyncio.sleep(pause)
                again = await stack.book("b1", "key")
                self.assertEqual("may have run", again.verdict)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario, seconds=5)

    def test_resend_after_a_disconnect_gets_the_answer(self):
        # The run must go on after its caller disconnected, so that a resend
        # gets its answer.
        async def scenario(stack, service):
            first = asyncio.create_task(stack.book("a1", "key"))
            await asyncio.sleep(1)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            await asyncio.sleep(5)
            again = await stack.book("a2", "key")
            self.assertEqual((200, service.body), (again.status, again.body))
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario, seconds=3)

    def test_key_with_different_content_is_refused(self):
        async def scenario(stack, service):
            await stack.book("a1", "key")
            other = await stack.book("a2", "key", content=b'{"other":1}')
            self.assertEqual(422, other.status)
            self.assertEqual("claim_mismatch", other.code)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)

    def test_error_response_is_stored_and_replayed(self):
        # A service that answered 500 may have acted, so a resend must not
        # reach it.
        async def scenario(stack, service):
            service.status = 500
            first = await stack.book("a1", "key")
            again = await stack.book("a2", "key")
            self.assertEqual(first.status, again.status)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)


class CutTest(unittest.TestCase):
    """HARD CASE 2: a network partition separates an entry from replicas."""

    def test_partitioned_region_refuses_and_home_region_accepts(self):
        # An entry without a connection to the client's home region can't
        # know which keys ran; the home region serves its own callers.
        async def scenario(stack, service):
            await stack.book("a1", "old")
            stack.cluster.network.cut(["b1"], list(REPLICAS))
            refused = await stack.book("b1", "old")
            self.assertEqual("may have run", refused.verdict)
            accepted = await stack.book("a2", "new")
            self.assertEqual(200, accepted.status)
            self.assertEqual(1, service.runs_by_key["old"])

        run_with_service(scenario)

    def test_only_the_majority_side_grants_within_the_home_region(self):
        # The same key is sent on both sides of a partition inside the home
        # region: a single replica must not grant it.
        async def scenario(stack, service):
            stack.cluster.network.cut(["a1"], ["a2", "a3"])
            alone, together = await asyncio.gather(
                stack.book("a1", "key"), stack.book("a2", "key")
            )
            self.assertEqual("may have run", alone.verdict)
            self.assertEqual(200, together.status)
            stack.cluster.network.heal(["a1"], ["a2", "a3"])
            again = await stack.book("a1", "key")
            self.assertEqual(200, again.status)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)

    def test_unreachable_replica_does_not_delay_requests(self):
        # Two of three votes suffice; a request must not wait for the third
        # until its call times out.
        async def scenario(stack, service):
            stack.cluster.network.cut(["a3"], ["a1", "a2"])
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            booked = await stack.book("a1", "key")
            self.assertEqual(200, booked.status)
            self.assertLess(loop.time() - began_at, 0.5 + 0.2)

        run_with_service(scenario)


class RestartTest(unittest.TestCase):
    """HARD CASE 3: replicas without a disk lose their memory."""

    async def restart(self, stack, *vms):
        for vm in vms:
            await stack.cluster.crash_vm(vm)
        for vm in vms:
            await stack.start_vm(vm)

    def test_rolling_restart_of_replicas_loses_no_claim(self):
        # In the end no replica that voted for the key is still the same
        # process.
        async def scenario(stack, service):
            first = await stack.book("a2", "key")
            for vm in ("a2", "a3"):
                await self.restart(stack, vm)
                await asyncio.sleep(10)
            again = await stack.book("a3", "key")
            self.assertEqual((200, first.body), (again.status, again.body))
            fresh = await stack.book("a2", "new")
            self.assertEqual(200, fresh.status)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)

    def test_restarted_replica_does_not_vote_before_it_has_recovered(self):
        # The replica restarts while the others, which know the key, are
        # unreachable. It must not vote from an empty table.
        async def scenario(stack, service):
            await stack.book("a2", "key")
            stack.cluster.network.cut(["a3"], ["a1", "a2"])
            await self.restart(stack, "a3")
            stack.cluster.network.cut(["a3"], ["a1", "a2"])
            await asyncio.sleep(60)
            refused = await stack.book("a3", "key")
            self.assertEqual("may have run", refused.verdict)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario)

    def test_restart_of_all_refuses_old_keys_and_accepts_tickets(self):
        # Every process of the home region restarts without a disk. An old
        # key must not run again; a ticket issued after the restart provably
        # never ran.
        async def scenario(stack, service):
            await stack.book("a2", "key")
            await self.restart(stack, "a1", "a2", "a3", "a4")
            await asyncio.sleep(10)
            refused = await stack.book("a2", "key")
            self.assertEqual("claim_unknown", refused.code)
            self.assertEqual("may have run", refused.verdict)
            key = await stack.get_ticket("b1")
            self.assertEqual(200, (await stack.book("a2", key)).status)
            self.assertEqual(200, (await stack.book("a3", key)).status)
            self.assertEqual(1, service.runs_by_key[key])
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(
            scenario,
            vms=("a1", "a2", "a3", "a4", "b1"),
            replica_ids=("a2", "a3", "a4"),
        )

    def test_ticket_that_ran_does_not_run_after_restarts_of_all(self):
        # The replicas lose their memory each time: no later epoch may equal
        # the one in which the ticket was issued.
        async def scenario(stack, service):
            key = await stack.get_ticket("b1")
            for _ in range(3):
                await stack.book("a2", key)
                await self.restart(stack, "a2")
                await asyncio.sleep(10)
            self.assertEqual(1, service.runs_by_key[key])

        run_with_service(scenario, replica_ids=("a2",))

    def test_replica_with_a_disk_restores_claims_after_a_restart_of_all(self):
        # The old key must have its answer, and a new key needs no ticket.
        async def scenario(stack, service):
            first = await stack.book("a2", "key")
            stack.cluster.disks_by_vm_id["a1"].lose_power()
            await self.restart(stack, *VMS)
            await asyncio.sleep(10)
            again = await stack.book("b1", "key")
            self.assertEqual((200, first.body), (again.status, again.body))
            fresh = await stack.book("a2", "new")
            self.assertEqual(200, fresh.status, fresh.body)
            self.assertEqual(1, service.runs_by_key["key"])

        run_with_service(scenario, replica_ids=("a1",))


class HistoryTest(unittest.TestCase):
    """Random histories of resends, partitions and restarts, by seed."""

    def check(self, seed):
        async def scenario(stack, service):
            rng = random.Random(seed)

            async def disturb():
                one = rng.choice(VMS)
                others = [vm for vm in VMS if vm != one]
                match rng.randrange(3):
                    case 0:
                        some = rng.sample(others, rng.randint(1, 3))
                        stack.cluster.network.cut([one], some)
                        await asyncio.sleep(rng.uniform(0.1, 4))
                        stack.cluster.network.heal([one], some)
                    case 1 if one not in ("a1", "b1"):
                        await stack.cluster.crash_vm(one)
                        await asyncio.sleep(rng.uniform(0.1, 2))
                        await stack.start_vm(one)
                    case _:
                        stack.cluster.network.set_default(
                            loss=rng.choice((0.0, 0.2)),
                            jitter=rng.choice((0.0005, 0.3)),
                        )

            self.answered += await run_history(
                self,
                stack,
                service,
                rng=rng,
                vms=VMS,
                disturb=disturb,
                label=seed,
            )

        run_with_service(scenario, seed=seed)

    def test_histories_run_each_key_at_most_once(self):
        self.answered = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)
        # At least a third of all keys, so that the checks are not vacuous.
        self.assertLess(12 * len(SEEDS), self.answered)


if __name__ == "__main__":
    unittest.main()
