"""Members of a replicated log over real sockets and files."""

import asyncio
import pathlib
import random

from burdockdrum.consensus import LogSettings
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.system_ports import FolderDisk
from burdockdrum.system_ports import PynngNetwork
from burdockdrum.system_ports import SystemClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline


class CountingMachine:
    """A state machine with a small state."""

    def __init__(self) -> None:
        """Start at nothing applied."""
        self.applied = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command."""
        self.applied += 1
        return b""

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.applied).encode()

    def restore(self, snapshot: bytes) -> None:
        """Take the count of a snapshot."""
        self.applied = int(snapshot)


class RealMember:
    """One member over real sockets and files."""

    def __init__(self, *, vm_id: str, folder: pathlib.Path) -> None:
        """Create a member that is not started."""
        self.vm_id = vm_id
        self.folder = folder
        self.machine = CountingMachine()
        self.metrics = Metrics()

    async def open(self) -> str:
        """Take an address and return it."""
        self.mailbox = await PynngNetwork().open("tcp://127.0.0.1:0")
        return self.mailbox.address

    def start(self, addresses_by_id: dict[str, str]) -> None:
        """Run the log."""
        clock = SystemClock()
        hybrid = HybridClock(clock=clock)
        self.peers = Peers(
            identity=VmIdentity(
                vm_id=self.vm_id,
                incarnation=1,
                region="r",
                data_centre="d",
                control_address=self.mailbox.address,
                http_address="http://127.0.0.1:1",
            ),
            mailbox=self.mailbox,
            clock=clock,
            hybrid_clock=hybrid,
            rng=random.Random(),
            authenticator=PayloadAuthenticator(secret=b"measurement"),
            metrics=self.metrics,
        )
        self.log = ReplicatedLog(
            peers=self.peers,
            disk=FolderDisk(folder=self.folder),
            clock=clock,
            rng=random.Random(),
            timeline=Timeline(process=self.vm_id, incarnation=1, clock=hybrid),
            metrics=self.metrics,
            state_machine=self.machine,
            settings=LogSettings(
                vm_id=self.vm_id, bootstrap_addresses_by_id=addresses_by_id
            ),
        )
        self.tasks = [
            asyncio.create_task(self.peers.run()),
            asyncio.create_task(self.log.run()),
        ]

    async def stop(self) -> None:
        """End the tasks and close the socket."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.close()


async def start_members(folder: pathlib.Path) -> list[RealMember]:
    """Start three members and wait for a leader."""
    members = [
        RealMember(vm_id=vm_id, folder=folder / vm_id) for vm_id in "abc"
    ]
    addresses = {member.vm_id: await member.open() for member in members}
    for member in members:
        member.start(addresses)
    while not any(member.log.is_leader for member in members):
        await asyncio.sleep(0.05)
    return members
