"""A small deployment of real processes on loopback addresses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).parents[1]
VM_PROGRAM = ROOT / "platform" / "vm.py"
CONTROL_PORT = 18146
CALLERS_PORT = 18144
READY_PORT = 18140
DIRECTORY_PORT = 18143
INTERNAL_PORT_RANGE = (17660, 17675)
STOP_TIMEOUT_SECONDS = 10
# Of the log of a process that does not exit.
LAST_LINES = 30
LOOPBACK_NETWORKS = 250
RESERVATION_PORT = 18139


class Machine:
    """One process with its settings file and its log."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        is_control: bool,
        deployment: "Deployment",
    ) -> None:
        """Create a process that is not started."""
        self.name = name
        self.ip = ip
        self.zone = zone
        self.is_control = is_control
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.deployment = deployment
        self.process: asyncio.subprocess.Process | None = None
        self.settings = self.folder / "node.toml"
        self.is_first_start = True
        self.is_stopping = False
        # The table of limits in the settings file.
        self.limits: dict[str, int] = {}
        # Its output then doesn't count against limits on the size of files.
        self.pipes_output = False
        self._copying: asyncio.Task[None] | None = None

    def write_settings(self, **changes: Any) -> None:
        """Write the settings file in the format of the platform."""
        listen = (
            {
                "control": f"{self.ip}:{CONTROL_PORT}",
                "directory": f"{self.ip}:{DIRECTORY_PORT}",
            }
            if self.is_control
            else {
                "front": f"{self.ip}:{CALLERS_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "directory": f"{self.ip}:{DIRECTORY_PORT}",
            }
        )
        fields: dict[str, Any] = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": self.zone,
            "internal_port_range": list(INTERNAL_PORT_RANGE),
            "seeds": self.deployment.seeds,
            "first_start": self.is_first_start,
            **changes,
        }
        if self.is_control:
            fields["data_dir"] = str(self.folder)
        lines = [f"{k} = {json.dumps(v)}" for k, v in fields.items()]
        tables: dict[str, dict[str, Any]] = {
            "zones": {zone: zone for zone in self.deployment.zones},
            "listen": listen,
            "tolerate": {"machines": 1},
            "bounds": {"grace_s": 8},
            "limits": self.limits,
        }
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in table.items()]
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.is_first_start = False
        log = (self.folder / "output").open("ab")
        output = asyncio.subprocess.PIPE if self.pipes_output else log
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(VM_PROGRAM),
            env={**os.environ, "BURDOCKDRUM_BOOT": str(self.settings)},
            stdout=output,
            stderr=asyncio.subprocess.STDOUT,
        )
        log.close()
        if self.process.stdout is not None:
            self._copying = asyncio.create_task(
                self._copy_output(self.process.stdout)
            )

    async def _copy_output(self, reader: asyncio.StreamReader) -> None:
        while data := await reader.read(65536):
            with (self.folder / "output").open("ab") as log:
                log.write(data)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self, number: int = signal.SIGKILL) -> int | None:
        """Stop the process; return its exit code."""
        if self.process is None:
            return None
        if self.process.returncode is None:
            self.is_stopping = True
            self.process.send_signal(number)
        return await self.wait_until_exited()

    async def wait_until_exited(self) -> int | None:
        """Wait for a stopping process; return its exit code."""
        if self.process is None:
            return None
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                code = await self.process.wait()
        except TimeoutError:
            output = (self.folder / "output").read_text(errors="replace")
            last = "\n".join(output.splitlines()[-LAST_LINES:])
            raise TimeoutError(
                f"{self.name} did not exit within {STOP_TIMEOUT_SECONDS} s; "
                f"it wrote last:\n{last}"
            ) from None
        if self._copying is not None:
            await self._copying
            self._copying = None
        self.process = None
        self.is_stopping = False
        return code

    def log(self) -> list[dict]:
        """Return the parsed JSON lines of the log."""
        text = (self.folder / "output").read_text()
        lines = [line for line in text.splitlines() if line.startswith("{")]
        return [json.loads(line) for line in lines]

    def events(self) -> list[str]:
        """Return the names of the events in the log."""
        return [line["event"] for line in self.log()]


def _reserve_network() -> tuple[socket.socket, str]:
    """Return a loopback network that no concurrent run uses.

    :returns: a socket that reserves it until it is closed, and its prefix
    """
    for number in range(LOOPBACK_NETWORKS):
        network = f"127.{1 + (os.getpid() + number) % LOOPBACK_NETWORKS}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.250.1", RESERVATION_PORT))
        except OSError:
            # Another run has it.
            reservation.close()
            continue
        return reservation, network
    raise RuntimeError("all loopback networks are used by other runs")


class Deployment:
    """Control and entry processes in some zones, one region each."""

    def __init__(
        self, *, zones: tuple[str, ...] = ("a", "b", "c"), entries: int = 1
    ) -> None:
        """Create processes that are not started."""
        self._temporary_folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary_folder.name)
        self.zones = zones
        self._reservation, network = _reserve_network()
        self.seeds = [
            f"{network}.{n + 1}.1:{CONTROL_PORT}" for n in range(len(zones))
        ]
        self.control: list[Machine] = []
        self.entries: list[Machine] = []
        for number, zone in enumerate(zones):
            self.control.append(
                Machine(
                    name=f"control-{zone}",
                    ip=f"{network}.{number + 1}.1",
                    zone=zone,
                    is_control=True,
                    deployment=self,
                )
            )
            for count in range(entries):
                self.entries.append(
                    Machine(
                        name=f"entry-{zone}-{count}",
                        ip=f"{network}.{number + 1}.{10 + count}",
                        zone=zone,
                        is_control=False,
                        deployment=self,
                    )
                )

    @property
    def machines(self) -> list[Machine]:
        """Return all processes."""
        return [*self.control, *self.entries]

    async def start(self) -> None:
        """Start all processes."""
        for machine in self.machines:
            await machine.start()

    async def stop(self) -> None:
        """Stop all processes."""
        for machine in self.machines:
            await machine.stop()
        self._reservation.close()
        self._temporary_folder.cleanup()

    def copy_logs(self, folder: pathlib.Path) -> None:
        """Copy the log of each process into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for machine in self.machines:
            source = machine.folder / "output"
            if source.exists():
                shutil.copyfile(source, folder / f"{machine.name}.log")

    async def until_ready(
        self, machines: list[Machine] | None = None, seconds: float = 15
    ) -> None:
        """Wait until entries report that they are ready."""
        for machine in machines or self.entries:
            await until(functools.partial(is_ready, machine), seconds)


async def is_ready(machine: Machine) -> bool:
    """Return whether an entry is ready."""
    return (await call(machine.ip, READY_PORT, "GET", "/v1/ready"))[0] == 200


async def until(
    check: Callable[[], Awaitable[Any]], seconds: float = 10.0
) -> Any:
    """Poll a coroutine function until its result is true.

    :raises AssertionError: if it is not in time
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while True:
        found = await check()
        if found:
            return found
        if loop.time() > deadline:
            raise AssertionError(f"condition not met within {seconds} s")
        await asyncio.sleep(0.1)


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Iterable[str] = (),
    *,
    seconds: float = 3.0,
) -> tuple[int, bytes]:
    """Send a request on a new connection; status 0 if it fails.

    :param seconds: how long to wait for the whole response
    """
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [
                f"{method} {path} HTTP/1.1",
                "Connection: close",
                f"Content-Length: {len(body)}",
                *headers,
            ]
            if not any(h.lower().startswith("host:") for h in headers):
                lines.append("Host: x")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            data = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head.split(b" ")[1]) if head else 0), rest
