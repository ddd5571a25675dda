"""Random histories of resends, checked for runs and verdicts."""

import asyncio

TURNS = 12
KEYS_PER_TURN = 3


async def run_history(test, stack, service, *, rng, vms, disturb, label):
    """Send each key three times to random entries, among disturbances.

    :returns: the number of keys that were answered
    """
    verdicts_by_key = {}

    async def send(key):
        vm = rng.choice(vms)
        await asyncio.sleep(rng.uniform(0, 4))
        if vm not in stack.cluster.vms_by_id:
            return
        try:
            async with asyncio.timeout(20):
                booked = await stack.book(vm, key)
        except Exception:
            verdicts_by_key.setdefault(key, []).append("lost")
            return
        verdict = booked.verdict or "answered"
        verdicts_by_key.setdefault(key, []).append(verdict)

    async def disturb_often():
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3))
            await disturb()

    disturbing = asyncio.create_task(disturb_often())
    for turn in range(TURNS):
        keys = [f"{label}-{turn}-{number}" for number in range(KEYS_PER_TURN)]
        await asyncio.gather(*(send(key) for key in keys for _ in range(3)))
    disturbing.cancel()
    await asyncio.gather(disturbing, return_exceptions=True)
    for key, verdicts in verdicts_by_key.items():
        runs = service.runs_by_key[key]
        test.assertLessEqual(runs, 1, (label, key, verdicts))
        if set(verdicts) == {"not run"}:
            test.assertEqual(0, runs, (label, key, verdicts))
        if "answered" in verdicts:
            test.assertEqual(1, runs, (label, key, verdicts))
    return sum("answered" in verdicts for verdicts in verdicts_by_key.values())
