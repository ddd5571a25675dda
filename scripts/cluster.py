"""Start and stop the processes of a small cluster on loopback.

The demonstration, the benchmarks and the fault injection over real processes
run on such a cluster.
"""

import asyncio
from dataclasses import dataclass
import pathlib
import random
import secrets
import socket
import sys
import tempfile

from burdockdrum.resources import hash_token

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_TIMEOUT_SECONDS = 20.0
PORT_RANGE = (20_000, 30_000)
START_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True)
class VmPlan:
    """An entry VM to start; its data centre is named after its region."""

    vm_id: str
    region: str
    control: bool = False


@dataclass(frozen=True, kw_only=True)
class EndpointPlan:
    """An emulated endpoint to start."""

    endpoint_id: str
    region: str
    service: str
    plain: bool = False
    slots: int = 8
    token_seconds: float = 0.005


class Cluster:
    """A cluster of processes; an asynchronous context manager."""

    def __init__(
        self,
        *,
        vms: list[VmPlan],
        endpoints: list[EndpointPlan],
        more_settings: str = "",
    ) -> None:
        """Create a cluster that is not started.

        :param more_settings: further tables of each VM's settings, as TOML
        """
        self._more_settings = more_settings
        self._vms = vms
        self._endpoints = endpoints
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.operator_token = secrets.token_urlsafe(24)
        self.endpoint_token = secrets.token_urlsafe(24)
        self._secret = secrets.token_urlsafe(24)
        ports = iter(find_free_ports(2 * len(vms)))
        self._control_ports = {plan.vm_id: next(ports) for plan in vms}
        self._http_ports = {plan.vm_id: next(ports) for plan in vms}
        self.processes_by_name: dict[str, asyncio.subprocess.Process] = {}

    @staticmethod
    def hash(token: str) -> str:
        """Return the hash of a token."""
        return hash_token(token)

    @property
    def entry_urls(self) -> list[str]:
        """Return the URLs of the entry VMs."""
        return [self.url(plan.vm_id) for plan in self._vms]

    @property
    def entry_urls_by_vm_id(self) -> dict[str, str]:
        """Return the URL of each entry VM."""
        return {plan.vm_id: self.url(plan.vm_id) for plan in self._vms}

    def entry_urls_in(self, region: str) -> list[str]:
        """Return the URLs of the entry VMs of a region."""
        return [
            self.url(plan.vm_id) for plan in self._vms if plan.region == region
        ]

    def url(self, vm_id: str) -> str:
        """Return the URL of one entry VM."""
        return f"http://127.0.0.1:{self._http_ports[vm_id]}"

    async def __aenter__(self) -> "Cluster":
        for plan in self._vms:
            await self.start_vm(plan)
        for plan in self._vms:
            await self.wait_until_serving(plan.vm_id)
        for endpoint in self._endpoints:
            await self._start_endpoint(endpoint)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for process in self.processes_by_name.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes_by_name.values():
            await process.wait()
        self._folder.cleanup()

    async def start_vm(self, plan: VmPlan) -> None:
        """Start or restart the daemon of a VM."""
        path = self.folder / f"{plan.vm_id}.toml"
        path.write_text(self._settings(plan))
        await self._start(
            plan.vm_id,
            ["burdockdrum.daemon", "--settings", str(path)],
        )

    async def wait_until_serving(self, vm_id: str) -> None:
        """Wait until a VM accepts connections from callers.

        :raises TimeoutError: if it does not start in time
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", self._http_ports[vm_id]
                    )
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    async def stop(self, name: str, *, kill: bool = False) -> int:
        """Stop a process with SIGTERM or SIGKILL.

        :returns: its exit code
        """
        process = self.processes_by_name[name]
        if kill:
            process.kill()
        else:
            process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await process.wait()

    async def _start(self, name: str, arguments: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes_by_name[
                name
            ] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def _start_endpoint(self, plan: EndpointPlan) -> None:
        entries = self.entry_urls_in(plan.region)
        arguments = [
            "burdockdrum.emulator",
            "plain" if plan.plain else "engine",
            plan.service,
            plan.endpoint_id,
            ",".join(entries),
            self.endpoint_token,
            f"--slots={plan.slots}",
        ]
        if not plan.plain:
            arguments.append(f"--token-seconds={plan.token_seconds}")
        await self._start(plan.endpoint_id, arguments)

    def _settings(self, plan: VmPlan) -> str:
        members = {
            vm.vm_id: self._control_address(vm.vm_id)
            for vm in self._vms
            if vm.control
        }
        # The control VM of a region stores the claims of that region.
        keepers = {
            vm.vm_id: members[vm.vm_id]
            for vm in self._vms
            if vm.control and vm.region == plan.region
        }
        data_folder_line = ""
        if plan.control:
            data_folder_line = (
                f'data_folder = "{self.folder / (plan.vm_id + ".data")}"'
            )
        join = [self._control_address(vm.vm_id) for vm in self._vms[:2]]
        return f"""
[vm]
id = "{plan.vm_id}"
region = "{plan.region}"
data_centre = "{plan.region}"

[listen]
control = "{self._control_address(plan.vm_id)}"
http = "{self.url(plan.vm_id)}"

[cluster]
secret = "{self._secret}"
join = {join}

[control]
{data_folder_line}

[control.members]
{format_toml_table(members)}

[claims.keepers]
{format_toml_table(keepers)}

[operators]
token_hashes = ["{hash_token(self.operator_token)}"]

[endpoints]
token_hashes = ["{hash_token(self.endpoint_token)}"]
{self._more_settings}"""

    def _control_address(self, vm_id: str) -> str:
        return f"tcp://127.0.0.1:{self._control_ports[vm_id]}"


def format_toml_table(addresses: dict[str, str]) -> str:
    """Return the lines of a TOML table."""
    return "\n".join(f'{k} = "{v}"' for k, v in addresses.items())


def find_free_ports(count: int) -> list[int]:
    """Return distinct ports that are currently free.

    They lie below the ephemeral port range, so that no outgoing connection
    takes a port before its daemon listens.
    """
    ports: list[int] = []
    for port in random.sample(range(*PORT_RANGE), 4 * count):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("too few free ports")
