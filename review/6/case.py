"""Runners spoil reports on their caches, and front processes end."""

import asyncio
import os
import pathlib
import signal
import sys

from config import CONFIG
from config import HOST
from deployment import CannotRun
from deployment import Client
from deployment import Deployment
from deployment import Record
from deployment import Runner

# Traffic starts 12 s after the machines do.
LEAD_SECONDS = 12.0
STEADY_SECONDS = 6.0
WATCHED_SECONDS = 40.0
# The rule: a tenth of the machines, two at least, three times each.
MIN_MACHINES = 2
MOST_ENDS = 3
# Of the answers of a runner; half of the runners spoil any.
SPOILED_SHARE = 0.02
SPOILED_BYTES = 2000
MODELS = 16


class Spoiler:
    """Spoils answers of a runner: at most 1 in 50 of all that it gave.

    What follows the beginning of a spoiled answer is one byte, repeated.
    """

    def __init__(self, runner: Runner) -> None:
        """Create it for a runner."""
        self._runner = runner
        self.spoiled = 0

    def __call__(self, path: str, body: bytes) -> bytes:
        """Return an answer as it is sent."""
        if self.spoiled + 1 > SPOILED_SHARE * self._runner.answers:
            return body
        self.spoiled += 1
        begin = body[: body.rindex(b"[")]
        return begin + b"[" * SPOILED_BYTES


def make_runners(deployment: Deployment) -> list[Runner]:
    """Return the model runners and two of the plain service."""
    models = [
        Runner(
            deployment,
            name=f"i-model{number}",
            service="huvo11a",
            zone="hall-a",
            ip=f"{deployment.network}.1.{100 + number}",
            work_seconds=0.05,
            slots=32,
            is_model=True,
        )
        for number in range(MODELS)
    ]
    plain = [
        Runner(
            deployment,
            name=f"i-ledger{number}",
            service="wuno96b",
            zone="hall-a",
            ip=f"{deployment.network}.1.{110 + number}",
            work_seconds=0.045,
            slots=6,
            is_model=False,
        )
        for number in range(2)
    ]
    return [*models, *plain]


def make_clients(deployment: Deployment) -> list[Client]:
    """Return clients of both services at each front machine of hall-a."""
    clients = []
    fronts = [m for m in deployment.fronts if m.zone == "hall-a"]
    for machine in fronts:
        for number in range(8):
            clients.append(
                Client(
                    deployment,
                    number=len(clients),
                    machine=machine,
                    path="/lohu930/",
                    host=HOST,
                    budget_ms=10000,
                    pause_seconds=0.05,
                    headers="X-Model: m\r\nX-Token-Count: 1460,27\r\n"
                    "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
                    f"{number:04x}COUNT:250\r\n",
                )
            )
        clients.append(
            Client(
                deployment,
                number=len(clients),
                machine=machine,
                path="/pule252/",
                host=HOST,
                budget_ms=6000,
                pause_seconds=0.2,
            )
        )
    return clients


def list_broken(deployment: Deployment) -> list[str]:
    """Return the machines whose processes ended three times or more."""
    return [
        m.name for m in deployment.machines if len(m.own_ends) >= MOST_ENDS
    ]


async def run(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    deployment = Deployment(record, {"hall-a": 2, "hall-b": 1, "hall-c": 1})
    runners = make_runners(deployment)
    tasks: list[asyncio.Task[None]] = []
    spoilers = []
    try:
        deployment.start()
        for runner in runners:
            await runner.start()
        await deployment.put_config(CONFIG)
        await deployment.until_ready()
        await asyncio.sleep(max(0.0, LEAD_SECONDS - record.now()))
        clients = make_clients(deployment)
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(STEADY_SECONDS)
        if not any(200 in c.statuses.values() for c in clients):
            raise CannotRun("no request was served before the disruption")
        if list_broken(deployment):
            raise CannotRun("processes ended before the disruption")
        if trouble:
            # Half of the model runners; each front machine asks about half
            # of all for their caches.
            for runner in runners[: MODELS // 2]:
                spoilers.append(Spoiler(runner))
                runner.spoil = spoilers[-1]
                record.add("trouble-begins", runner=runner.name)
        ends_at = record.now() + WATCHED_SECONDS
        while record.now() < ends_at:
            await asyncio.sleep(1.0)
            if len(list_broken(deployment)) >= MIN_MACHINES:
                break
        report(record, deployment, clients, runners, spoilers)
        return len(list_broken(deployment)) < MIN_MACHINES
    finally:
        for task in tasks:
            task.cancel()
        for runner in runners:
            await runner.stop()
        await deployment.stop()


def report(
    record: Record,
    deployment: Deployment,
    clients: list[Client],
    runners: list[Runner],
    spoilers: list[Spoiler],
) -> None:
    """Print and record what was seen."""
    counts: dict[str, int] = {}
    for client in clients:
        for status in client.statuses.values():
            counts[str(status)] = counts.get(str(status), 0) + 1
        cut = len(client.broken)
        counts["no answer"] = counts.get("no answer", 0) + cut
    ends = {m.name: len(m.own_ends) for m in deployment.machines if m.own_ends}
    spoiled = sum(spoiler.spoiled for spoiler in spoilers)
    answers = sum(runner.answers for runner in runners[:MODELS])
    record.add(
        "verdict", own_ends=ends, answers=counts, spoiled=spoiled, of=answers
    )
    print(f"answers to clients: {counts}")
    print(f"spoiled answers of the model runners: {spoiled} of {answers}")
    print(f"processes that ended by themselves, by machine: {ends}")
    for machine in deployment.machines:
        if machine.own_ends:
            text = (machine.folder / "output").read_text(errors="replace")
            causes = [
                line
                for line in text.splitlines()
                if line.startswith(("RecursionError", "  | RecursionError"))
                or "| RecursionError" in line
            ]
            print(f"{machine.name} wrote: {causes[-1:]}")


def main() -> int:
    """Return the exit code: 0 held, 1 broken, 2 the case could not run."""
    folder = pathlib.Path(__file__).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends what was started, also when this is stopped early.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return 0 if asyncio.run(run(record, trouble)) else 1
    except (CannotRun, OSError, KeyboardInterrupt) as error:
        record.add("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
