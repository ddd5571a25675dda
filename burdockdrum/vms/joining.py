"""How VMs learn of each other, at the start and after long silence."""

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

HELLO_SECONDS = 2.0
HELLO_TIMEOUT_SECONDS = 1.5
# The join addresses serve every data centre: greeted often at the start,
# then now and then, and by one VM of each data centre only.
EAGER_SECONDS = 15.0
EAGER_HELLO_SECONDS = 0.5
JOIN_SECONDS = 20.0
# VMs named of each other data centre.
CONTACTS = 2


class Joining:
    """Say hello to join addresses, to dead VMs and to a random live one."""

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
        """Create the task.

        :param join: control addresses of one or two VMs to begin with
        """
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._own_address = peers.identity.control_address
        self._join = [a for a in join if a != self._own_address]
        self._group = group
        self._remote = remote
        self._joined_at = float("-inf")
        self._answered: set[str] = set()
        peers.register(Hello, self._take_hello)

    async def run(self) -> None:
        """Greet until cancelled."""
        started = self._clock.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while True:
                eager = self._clock.monotonic() - started < EAGER_SECONDS
                for address in self._targets(eager):
                    tasks.create_task(self._greet(address))
                pause = EAGER_HELLO_SECONDS if eager else HELLO_SECONDS
                await self._clock.sleep(pause)

    def _targets(self, eager: bool) -> list[str]:
        members = list(self._group.members_by_id.values())
        live = [m for m in members if m.health is not Health.DEAD]
        dead = [m for m in members if m.health is Health.DEAD]
        targets = {m.identity.control_address for m in dead}
        if live:
            chosen = self._rng.choice(live)
            targets.add(chosen.identity.control_address)
        now = self._clock.monotonic()
        due = now - self._joined_at >= JOIN_SECONDS and self._is_first(live)
        alone = not live and not self._remote.known_by_name
        if due or alone:
            self._joined_at = now
            targets.update(self._join)
        elif eager:
            # Once is enough for each: thousands of VMs may start together.
            targets.update(set(self._join) - self._answered)
        return sorted(targets)

    def _is_first(self, live: list) -> bool:
        own = self._group.identity.vm_id
        return all(own < member.identity.vm_id for member in live)

    async def _greet(self, address: str) -> None:
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
        self._answered.add(address)
        for found in [welcome.identity, *welcome.vms]:
            self._take_in(found)

    async def _take_hello(
        self, sender: Sender, hello: Hello
    ) -> Message | None:
        self._take_in(hello.identity)
        if hello.identity.data_centre == self._group.identity.data_centre:
            self._group.answer_hello(hello.identity)
        return Welcome(
            identity=self._group.identity, vms=self._list_missing(hello)
        )

    def _list_missing(self, hello: Hello) -> list[VmIdentity]:
        missing = []
        here = [m.identity for m in self._group.live_members()]
        if hello.identity.data_centre != self._group.identity.data_centre:
            missing += here[:CONTACTS]
        elif hello.digest != self._group.digest():
            missing += here
        if hello.remote_digest != self._remote.digest():
            missing += self._remote.contacts(CONTACTS)
        else:
            missing += self._remote.contacts_in(hello.identity.data_centre)
        return missing

    def _take_in(self, identity: VmIdentity) -> None:
        if identity.data_centre == self._group.identity.data_centre:
            self._group.introduce(identity)
        else:
            self._remote.introduce(identity)
