"""Simulated entries that poll endpoints and share their prefix caches."""

import asyncio
import random

from burdockdrum.holdings import PrefixCacheEvents
from burdockdrum.holdings import PrefixCachePoller
from burdockdrum.holdings import PrefixCacheSharing
from burdockdrum.holdings import PrefixCacheSnapshot
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.holdings import PrefixCacheUnavailable
from burdockdrum.holdings import SharedParts
from burdockdrum.kernel import Supervisor
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.vms import choose_by_hash
from tests.passthrough.fakes import make_endpoint

CALL_DELAY_SECONDS = 0.001
LONG_POLL_SECONDS = 1.0


class FakeCache:
    """The prefix cache of one endpoint; counts the queries it receives."""

    def __init__(self):
        """Create an empty cache."""
        self.epoch = 1
        self.events = []
        self.tokens_by_part = {}
        self.is_unreachable = False
        # Raised by each query; None if it is answered.
        self.error: Exception | None = None
        self.queries = 0
        self.snapshots = 0
        self.max_events = 1000

    def put(self, part_id, tokens):
        """Cache so many tokens of a part; 0 evicts it."""
        self.events.append((part_id, tokens))
        if tokens:
            self.tokens_by_part[part_id] = tokens
        else:
            self.tokens_by_part.pop(part_id, None)

    def restart(self):
        """Empty the cache and start a new epoch."""
        self.epoch += 1
        self.events.clear()
        self.tokens_by_part.clear()


class FakeSource:
    """A source that reads the fake caches."""

    is_available = True

    def __init__(self, caches):
        """Create it for caches by endpoint id."""
        self.caches = caches

    async def read_events(self, endpoint, since):
        """Return the events since a number; wait if there are none."""
        cache = await self._call(endpoint)
        cache.queries += 1
        if len(cache.events) <= since:
            await asyncio.sleep(LONG_POLL_SECONDS)
        first = max(since, len(cache.events) - cache.max_events)
        return PrefixCacheEvents(
            epoch=cache.epoch,
            number=len(cache.events),
            has_gap=first > since,
            tokens_by_part=dict(cache.events[first:]),
        )

    async def read_snapshot(self, endpoint):
        """Return a snapshot of the cache."""
        cache = await self._call(endpoint)
        cache.snapshots += 1
        return PrefixCacheSnapshot(
            epoch=cache.epoch,
            number=len(cache.events),
            tokens_by_part=dict(cache.tokens_by_part),
        )

    async def _call(self, endpoint):
        await asyncio.sleep(CALL_DELAY_SECONDS)
        cache = self.caches[endpoint.endpoint_id]
        if cache.error is not None:
            raise cache.error
        if cache.is_unreachable:
            raise PrefixCacheUnavailable("unreachable")
        return cache


class Entry:
    """One entry with its poller and its table."""

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
        self.table = PrefixCacheTable()
        self.metrics = Metrics()

    async def start(self):
        """Start the services of the entry."""
        world, own = self.world, self.identity
        address = own.control_address
        self.peers = Peers(
            identity=own,
            mailbox=await world.network.host(own.vm_id).open(address),
            clock=world.clock,
            hybrid_clock=HybridClock(clock=world.clock),
            rng=world.rng,
            authenticator=PayloadAuthenticator(secret=b"s"),
            metrics=self.metrics,
        )
        self.sharing = PrefixCacheSharing(
            peers=self.peers,
            clock=world.clock,
            rng=world.rng,
            table=self.table,
            shared=SharedParts(),
            region_data_centres=frozenset(
                name for name in world.data_centres if name[0] == own.region
            ),
            read_entries=lambda: world.known_to(own),
        )
        self.poller = PrefixCachePoller(
            own=own,
            clock=world.clock,
            source=FakeSource(world.caches),
            table=self.table,
            supervisor=Supervisor(clock=world.clock, metrics=self.metrics),
            read_endpoints=lambda: {
                name: endpoint
                for name, endpoint in world.endpoints.items()
                if endpoint.data_centre[0] == own.region
            },
            read_entries=lambda: [
                e for e in world.known_to(own) if e.region == own.region
            ],
            has_prefix_cache=lambda service: service == "model",
            initial_sync_done=self.sharing.initial_sync_done,
        )
        self.sharing.read_polled = lambda: self.poller.endpoint_ids
        self.task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop at once, as if killed."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def cached_parts(self, endpoint_id):
        """Return the parts that this entry knows to be cached."""
        cache = self.table.find(endpoint_id)
        return cache.tokens_by_part if cache is not None else {}

    async def _run(self):
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.peers.run())
                group.create_task(self.sharing.run())
                group.create_task(self.poller.run())
        finally:
            await self.peers.close()


class World:
    """Data centres of two regions, with two endpoints each.

    The first letter of a name is its region. An entry knows all others of
    its data centre and a few of each other data centre.
    """

    def __init__(self, data_centres=("n-dc", "s-dc"), known_per_data_centre=3):
        """Create entries that are not started."""
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        self.network = FakeNetwork(rng=random.Random(1))
        self.network.set_default(delay=0.001)
        self.data_centres = data_centres
        self.known_per_data_centre = known_per_data_centre
        self.incarnation = 0
        self.caches = {}
        self.endpoints = {}
        for data_centre in data_centres:
            for number in range(2):
                name = f"{data_centre.removesuffix('-dc')}{number}"
                self.caches[name] = FakeCache()
                self.endpoints[name] = make_endpoint(
                    name, data_centre=data_centre
                )
        self.entries = {}

    def next_incarnation(self):
        """Return a number larger than those before."""
        self.incarnation += 1
        return self.incarnation

    def data_centre_of(self, name):
        """Return the data centre of an entry."""
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
                    ids, own.data_centre, self.known_per_data_centre
                )
            known += [by_id[name] for name in ids]
        return known

    async def start(self, name):
        """Start an entry with an empty table."""
        entry = Entry(self, name)
        await entry.start()
        self.entries[name] = entry

    async def stop(self, name):
        """Stop an entry at once, as if killed."""
        await self.entries.pop(name).stop()

    def share(self, *part_ids):
        """Mark parts as shared at all entries.

        In a deployment, entries learn this from each other's load reports.
        """
        for entry in self.entries.values():
            for part_id in part_ids:
                entry.sharing.mark_shared(part_id)
