"""Discovery of other VMs, at the start and after a partition."""

import asyncio
import random

from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.vms.group import VmGroup
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.messages import Hello
from burdockdrum.vms.messages import Welcome
from burdockdrum.vms.remote import RemoteDataCentres

HELLO_INTERVAL_SECONDS = 2.0
HELLO_TIMEOUT_SECONDS = 1.5
# The join addresses serve all data centres. They get frequent hellos at the
# start, then rare ones, and only from one VM of each data centre.
STARTUP_SECONDS = 15.0
STARTUP_HELLO_INTERVAL_SECONDS = 0.5
JOIN_INTERVAL_SECONDS = 20.0
# Number of VMs of each other data centre in a welcome.
CONTACTS_PER_DATA_CENTRE = 2


class Discovery:
    """Sends hellos to join addresses, dead VMs and a random live VM."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        join: list[str],
        group: VmGroup,
        remote: RemoteDataCentres,
    ) -> None:
        """Create the service and register its message handler.

        :param join: control addresses of one or two VMs to join through
        """
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._own_address = peers.identity.control_address
        self._join = [a for a in join if a != self._own_address]
        self._group = group
        self._remote = remote
        self._joined_at = float("-inf")
        self._answered_addresses: set[str] = set()
        peers.register(Hello, self._handle_hello)

    async def run(self) -> None:
        """Send hellos until cancelled."""
        started = self._clock.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while True:
                starting = self._clock.monotonic() - started < STARTUP_SECONDS
                for address in self._targets(starting):
                    tasks.create_task(self._send_hello(address))
                pause = (
                    STARTUP_HELLO_INTERVAL_SECONDS
                    if starting
                    else HELLO_INTERVAL_SECONDS
                )
                await self._clock.sleep(pause)

    def _targets(self, starting: bool) -> list[str]:
        members = list(self._group.members_by_id.values())
        live = [m for m in members if m.health is not Health.DEAD]
        dead = [m for m in members if m.health is Health.DEAD]
        targets = {m.identity.control_address for m in dead}
        if live:
            chosen = self._rng.choice(live)
            targets.add(chosen.identity.control_address)
        now = self._clock.monotonic()
        due = (
            now - self._joined_at >= JOIN_INTERVAL_SECONDS
            and self._is_first(live)
        )
        alone = not live and not self._remote.known_by_name
        if due or alone:
            self._joined_at = now
            targets.update(self._join)
        elif starting:
            # Only those that have not answered: thousands of VMs may start
            # together.
            targets.update(set(self._join) - self._answered_addresses)
        return sorted(targets)

    def _is_first(self, live: list) -> bool:
        own = self._group.identity.vm_id
        return all(own < member.identity.vm_id for member in live)

    async def _send_hello(self, address: str) -> None:
        identity = self._group.identity
        hello = Hello(
            identity=identity,
            digest=self._group.digest(),
            remote_digest=self._remote.digest(),
        )
        try:
            welcome = await self._peers.call(
                address, hello, Welcome, timeout=HELLO_TIMEOUT_SECONDS
            )
        except CallFailed:
            return
        self._answered_addresses.add(address)
        for found in [welcome.identity, *welcome.vms]:
            self._add_vm(found)

    async def _handle_hello(
        self, sender: Sender, hello: Hello
    ) -> Message | None:
        self._add_vm(hello.identity)
        if hello.identity.data_centre == self._group.identity.data_centre:
            self._group.handle_hello(hello.identity)
        return Welcome(
            identity=self._group.identity, vms=self._list_missing(hello)
        )

    def _list_missing(self, hello: Hello) -> list[VmIdentity]:
        missing = []
        here = [m.identity for m in self._group.live_members()]
        if hello.identity.data_centre != self._group.identity.data_centre:
            missing += here[:CONTACTS_PER_DATA_CENTRE]
        elif hello.digest != self._group.digest():
            missing += here
        if hello.remote_digest != self._remote.digest():
            missing += self._remote.contacts(CONTACTS_PER_DATA_CENTRE)
        else:
            missing += self._remote.contacts_in(hello.identity.data_centre)
        return missing

    def _add_vm(self, identity: VmIdentity) -> None:
        if identity.data_centre == self._group.identity.data_centre:
            self._group.add_member(identity)
        else:
            self._remote.add_contact(identity)
