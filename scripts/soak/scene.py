"""One seed of the soak: load, faults, and the end in which all recovers."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import json
import pathlib
import random
import shutil
import signal
import time

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import Machine
from scripts.local_deployment import until
from scripts.soak.endpoint import Endpoint
from scripts.soak.endpoint import Fault
from scripts.soak.endpoint import Proxy
from scripts.soak.endpoint import SLOTS
from scripts.soak.promises import Promises
from scripts.soak.promises import Told

CALLERS = 6
DEADLINE_MS = 2500
# Several elections, self-repairs and check-ins.
RECOVER_SECONDS = 25.0
SETTLE_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True)
class Result:
    """What became of a seed."""

    seed: int
    broken: list[str]
    counts_by_status: dict[int, int]
    faults: list[str]

    def show(self) -> str:
        """Return a line for people, and one for each broken promise."""
        counts = ", ".join(
            f"{status or 'none'}: {count}"
            for status, count in sorted(self.counts_by_status.items())
        )
        verdict = "BROKEN" if self.broken else "held"
        head = f"seed {self.seed}: {verdict}; {counts}; "
        lines = [head + f"{len(self.faults)} faults"]
        if self.broken:
            lines += [f"  {line}" for line in self.broken[:20]]
            lines += [f"  fault: {fault}" for fault in self.faults]
        return "\n".join(lines)


class Scene:
    """A deployment under load."""

    def __init__(self, seed: int) -> None:
        """Create it; nothing runs yet."""
        self.rng = random.Random(seed)
        self.deployment = Deployment()
        self.promises = Promises()
        self.faults: list[str] = []
        self.endpoints = [Endpoint(rng=self.rng) for _ in "abc"]
        self.proxies = [Proxy(rng=self.rng) for _ in "abc"]
        self.version = 1
        self._number = 0
        self._sequence = 0
        self._began = time.monotonic()
        self._down: set[str] = set()

    async def open(self) -> None:
        """Start everything and wait until it serves."""
        for endpoint, proxy in zip(self.endpoints, self.proxies, strict=True):
            await endpoint.open()
            await proxy.open(endpoint.address)
        await self.deployment.start()
        await until(self.change, 25)
        await self.deployment.until_ready(seconds=25)

    async def close(self) -> None:
        """End everything that was started."""
        await self.deployment.stop()
        for proxy in self.proxies:
            proxy.close()
        for endpoint in self.endpoints:
            endpoint.close()

    def runs_by_id(self) -> dict[str, int]:
        """Return how often each request has run, anywhere."""
        runs: dict[str, int] = {}
        for endpoint in self.endpoints:
            for request_id, count in endpoint.runs_by_id.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def check_in(self) -> None:
        """Check every endpoint in, again and again, at a random VM."""
        while True:
            self._sequence += 1
            for number, proxy in enumerate(self.proxies):
                said = {
                    "service": "s",
                    "addr": proxy.address,
                    "zone": self.deployment.zones[number],
                    "slots": SLOTS,
                    "state": "ready",
                    "seq": self._sequence,
                }
                await self._call_control(
                    "PUT", f"/v1/instances/e{number}", json.dumps(said)
                )
            await asyncio.sleep(0.5)

    async def make_calls(self) -> None:
        """Send requests one after the other, to a random entry."""
        while True:
            await self.ask()
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def ask(self) -> int:
        """Send a request and note what its caller is told."""
        self._number += 1
        request_id = f"r{self._number}"
        path = self.rng.choice(["/once/x", "/again/x"])
        entry = self.rng.choice(self.deployment.entries)
        body = str(self.rng.random()).encode()
        began = time.monotonic()
        status, answer = await call(
            entry.ip,
            CALLERS_PORT,
            "POST",
            path,
            body,
            (
                "Host: h",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {DEADLINE_MS}",
            ),
        )
        self.promises.take_answer(
            Told(
                request_id=request_id,
                path=path,
                body=body,
                status=status,
                answer=answer,
                seconds=time.monotonic() - began,
            )
        )
        return status

    async def change(self) -> bool:
        """Send the next version; say whether it was acknowledged."""
        self.version += self.rng.randint(1, 3)
        version = self.version
        routes = [
            {
                "name": name,
                "host": "h",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": DEADLINE_MS,
                "service": "s",
                "attempts": 1 if kind == "unsafe" else 2,
            }
            for name, kind in (("once", "unsafe"), ("again", "safe"))
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "s"}],
        }
        status, _ = await self._call_control(
            "PUT", "/v1/config", json.dumps(document)
        )
        if status == 200:
            self.promises.take_acknowledged(version)
        return status == 200

    async def operate(self) -> None:
        """Change and read the configuration, again and again."""
        while True:
            await self.change()
            await self.read()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def read(self) -> int | None:
        """Read the configuration at a random VM."""
        acknowledged = self.promises.newest_acknowledged
        status, body = await self._call_control("GET", "/v1/config")
        if status != 200:
            return None
        version = int(json.loads(body)["version"])
        self.promises.take_read(version, acknowledged)
        return version

    async def disturb(self) -> None:
        """Bring about faults at random, some at the same time."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(0.5, 3.0))
                group.create_task(self._disturb_once())

    async def recover(self) -> None:
        """End all faults and wait until everything serves."""
        for proxy in self.proxies:
            proxy.set_fault(Fault.NONE)
        for machine in self.deployment.machines:
            await self._bring_back(machine)
        try:
            await until(self.serves, RECOVER_SECONDS)
            await until(self._reads_newest, RECOVER_SECONDS)
        except AssertionError:
            self.promises.broken.append(
                f"not everything serves {RECOVER_SECONDS} s after the faults"
            )

    async def _bring_back(self, machine: Machine) -> None:
        if machine.is_ending:
            # The faults ended while it was draining, and with them the
            # restart: it would end later and never be started again.
            await machine.wait_until_ended()
        if machine.process is None or machine.process.returncode is not None:
            machine.process = None
            await machine.start()
        else:
            machine.send_signal(signal.SIGCONT)

    async def serves(self) -> bool:
        """Say whether every entry gives an answer."""
        for entry in self.deployment.entries:
            status, _ = await call(
                entry.ip,
                CALLERS_PORT,
                "POST",
                "/again/x",
                b"",
                ("Host: h", "X-Request-Id: recovered"),
            )
            if status != 200:
                return False
        return True

    async def _reads_newest(self) -> bool:
        version = await self.read()
        return version is not None

    async def _disturb_once(self) -> None:
        kinds = [
            self._kill,
            self._pause,
            self._stop,
            self._spoil,
            self._spoil,
            self._wipe,
        ]
        await self.rng.choice(kinds)()

    async def _kill(self) -> None:
        machine = self._pick(self.deployment.machines)
        if machine is not None:
            await self.restart(machine, signal.SIGKILL, "killed")

    async def _stop(self) -> None:
        machine = self._pick(self.deployment.machines)
        if machine is not None:
            await self.restart(machine, signal.SIGTERM, "stopped")

    async def _wipe(self) -> None:
        machine = self._pick(self.deployment.control)
        if machine is None:
            return

        def empty() -> None:
            shutil.rmtree(machine.folder / "log", ignore_errors=True)

        await self.restart(machine, signal.SIGKILL, "emptied", empty)

    async def _pause(self) -> None:
        machine = self._pick(self.deployment.machines)
        if machine is None:
            return
        seconds = self.rng.uniform(0.5, 4.0)
        self._note(f"{machine.name} paused for {seconds:.1f} s")
        machine.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        machine.send_signal(signal.SIGCONT)
        self._down.discard(machine.name)

    async def _spoil(self) -> None:
        proxy = self.rng.choice(self.proxies)
        fault = self.rng.choice(list(Fault))
        seconds = self.rng.uniform(0.5, 4.0)
        self._note(f"endpoint {proxy.address}: {fault.value}, {seconds:.1f} s")
        proxy.set_fault(fault)
        await asyncio.sleep(seconds)
        proxy.set_fault(Fault.NONE)

    async def restart(
        self,
        machine: Machine,
        number: int,
        word: str,
        between: Callable[[], None] | None = None,
    ) -> None:
        """End a process by a signal and start it again, a while later."""
        self._note(f"{machine.name} {word}")
        await machine.stop(number)
        if between is not None:
            between()
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        await machine.start()
        # An emptied VM is lost until it has caught up.
        await asyncio.sleep(6.0 if machine.is_control else 0.0)
        self._down.discard(machine.name)

    def _pick(self, machines: list[Machine]) -> Machine | None:
        """Pick a machine that may be lost: one with a disk at a time."""
        is_control_down = any(
            m.name in self._down for m in self.deployment.control
        )
        left = [
            machine
            for machine in machines
            if machine.name not in self._down
            and not (machine.is_control and is_control_down)
        ]
        if not left:
            return None
        machine = self.rng.choice(left)
        self._down.add(machine.name)
        return machine

    def _note(self, what: str) -> None:
        seconds = time.monotonic() - self._began
        self.faults.append(f"{seconds:6.2f} s  {what}")

    async def _call_control(
        self, method: str, path: str, body: str = ""
    ) -> tuple[int, bytes]:
        machine = self.rng.choice(self.deployment.control)
        return await call(
            machine.ip, CONTROL_PORT, method, path, body.encode()
        )


async def run_seed(
    seed: int, *, seconds: float, logs: pathlib.Path | None
) -> Result:
    """Run one seed.

    :param seconds: how long faults come
    :param logs: where the logs are kept, None for nowhere
    """
    scene = Scene(seed)
    try:
        checking_in = asyncio.create_task(scene.check_in())
        await scene.open()
        await until(scene.serves, RECOVER_SECONDS)
        load = [
            asyncio.create_task(scene.make_calls()) for _ in range(CALLERS)
        ]
        load.append(asyncio.create_task(scene.operate()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await scene.disturb()
        await scene.recover()
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        scene.promises.check_runs(scene.runs_by_id(), settled=True)
        checking_in.cancel()
        if logs is not None:
            _keep_logs(scene, logs)
    finally:
        await scene.close()
    return Result(
        seed=seed,
        broken=scene.promises.broken,
        counts_by_status=scene.promises.counts_by_status,
        faults=scene.faults,
    )


def _keep_logs(scene: Scene, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for machine in scene.deployment.machines:
        source = machine.folder / "output"
        if source.exists():
            shutil.copyfile(source, folder / f"{machine.name}.log")
