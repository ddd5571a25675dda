"""Entries of some data centres that listen to endpoints, for tests."""

import asyncio
import random

from burdockdrum.holdings import HeldEvents
from burdockdrum.holdings import HeldList
from burdockdrum.holdings import HoldingsLedger
from burdockdrum.holdings import HoldingsListener
from burdockdrum.holdings import HoldingsSharing
from burdockdrum.holdings import HoldingsUnknown
from burdockdrum.holdings import SharedParts
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.vms import choose_by_hash
from tests.passthrough.fakes import make_endpoint

CALL_SECONDS = 0.001
WAIT_SECONDS = 1.0


class FakeMemory:
    """The memory of one endpoint, and the questions that it was asked."""

    def __init__(self):
        """Hold nothing."""
        self.epoch = 1
        self.events = []
        self.tokens_by_part = {}
        self.is_silent = False
        self.asked = 0
        self.listed = 0
        self.kept = 1000

    def put(self, part_id, tokens):
        """Hold so many tokens of a part, 0 for none."""
        self.events.append((part_id, tokens))
        if tokens:
            self.tokens_by_part[part_id] = tokens
        else:
            self.tokens_by_part.pop(part_id, None)

    def restart(self):
        """Lose everything."""
        self.epoch += 1
        self.events.clear()
        self.tokens_by_part.clear()


class FakeSource:
    """Endpoints that tell what they hold."""

    is_there = True

    def __init__(self, memories):
        """Create it over memories by endpoint id."""
        self.memories = memories

    async def read_events(self, endpoint, since):
        """Wait for events as an endpoint does."""
        memory = await self._call(endpoint)
        memory.asked += 1
        if len(memory.events) <= since:
            await asyncio.sleep(WAIT_SECONDS)
        first = max(since, len(memory.events) - memory.kept)
        return HeldEvents(
            epoch=memory.epoch,
            number=len(memory.events),
            has_gap=first > since,
            tokens_by_part=dict(memory.events[first:]),
        )

    async def read_list(self, endpoint):
        """Return everything."""
        memory = await self._call(endpoint)
        memory.listed += 1
        return HeldList(
            epoch=memory.epoch,
            number=len(memory.events),
            tokens_by_part=dict(memory.tokens_by_part),
        )

    async def _call(self, endpoint):
        await asyncio.sleep(CALL_SECONDS)
        memory = self.memories[endpoint.endpoint_id]
        if memory.is_silent:
            raise HoldingsUnknown("silent")
        return memory


class Entry:
    """One entry's part."""

    def __init__(self, world, name):
        """Create an entry that has not started."""
        self.world = world
        self.identity = VmIdentity(
            vm_id=name,
            incarnation=world.next_incarnation(),
            region=name[0],
            data_centre=world.data_centre_of(name),
            control_address=f"tcp://{name}:1",
            http_address="http://x",
        )
        self.ledger = HoldingsLedger()
        self.metrics = Metrics()

    async def start(self):
        """Start."""
        world, own = self.world, self.identity
        address = own.control_address
        self.peers = Peers(
            identity=own,
            mailbox=await world.network.host(own.vm_id).open(address),
            clock=world.clock,
            hybrid_clock=HybridClock(clock=world.clock),
            rng=world.rng,
            seal=Seal(secret=b"s"),
            metrics=self.metrics,
        )
        self.sharing = HoldingsSharing(
            peers=self.peers,
            clock=world.clock,
            rng=world.rng,
            ledger=self.ledger,
            shared=SharedParts(),
            near_data_centres=frozenset(
                name for name in world.data_centres if name[0] == own.region
            ),
            read_entries=lambda: world.known_to(own),
        )
        self.listener = HoldingsListener(
            own=own,
            clock=world.clock,
            source=FakeSource(world.memories),
            ledger=self.ledger,
            read_endpoints=lambda: {
                name: endpoint
                for name, endpoint in world.endpoints.items()
                if endpoint.data_centre[0] == own.region
            },
            read_entries=lambda: [
                e for e in world.known_to(own) if e.region == own.region
            ],
            holds_prompts=lambda service: service == "model",
            learned=self.sharing.learned,
        )
        self.sharing.read_listened = lambda: self.listener.endpoint_ids
        self.task = asyncio.create_task(self._run())

    async def stop(self):
        """End at once."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def held(self, endpoint_id):
        """Return what this entry knows of a memory."""
        memory = self.ledger.find(endpoint_id)
        return memory.tokens_by_part if memory is not None else {}

    async def _run(self):
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.peers.run())
                group.create_task(self.sharing.run())
                group.create_task(self.listener.run())
        finally:
            await self.peers.close()


class World:
    """Data centres of two regions, with two endpoints each.

    A name begins with the letter of its region. An entry knows all others
    of its data centre, and a few of each other one.
    """

    def __init__(self, data_centres=("n-dc", "s-dc"), known_elsewhere=3):
        """Create entries that are not started."""
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        self.network = FakeNetwork(rng=random.Random(1))
        self.network.set_default(delay=0.001)
        self.data_centres = data_centres
        self.known_elsewhere = known_elsewhere
        self.incarnation = 0
        self.memories = {}
        self.endpoints = {}
        for data_centre in data_centres:
            for number in range(2):
                name = f"{data_centre.removesuffix('-dc')}{number}"
                self.memories[name] = FakeMemory()
                self.endpoints[name] = make_endpoint(
                    name, data_centre=data_centre
                )
        self.entries = {}

    def next_incarnation(self):
        """Return a number larger than those before."""
        self.incarnation += 1
        return self.incarnation

    def data_centre_of(self, name):
        """Return where the entry of a name is."""
        return f"{name.rpartition('-')[0]}-dc"

    def known_to(self, own):
        """Return the other entries that one knows of."""
        by_data_centre = {}
        for name, entry in self.entries.items():
            if name != own.vm_id:
                ids = by_data_centre.setdefault(self.data_centre_of(name), {})
                ids[name] = entry.identity
        known = []
        for data_centre, by_id in by_data_centre.items():
            ids = list(by_id)
            if data_centre != own.data_centre:
                ids = choose_by_hash(
                    ids, own.data_centre, self.known_elsewhere
                )
            known += [by_id[name] for name in ids]
        return known

    async def start(self, name):
        """Start an entry, with nothing in memory."""
        entry = Entry(self, name)
        await entry.start()
        self.entries[name] = entry

    async def stop(self, name):
        """End an entry at once."""
        await self.entries.pop(name).stop()

    def share(self, *part_ids):
        """Have all hear of prompts that share parts.

        Entries tell each other which parts they have sent where.
        """
        for entry in self.entries.values():
            for part_id in part_ids:
                entry.sharing.note_shared(part_id)
