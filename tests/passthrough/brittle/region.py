"""A simulated region with entries and brittle endpoints."""

import asyncio
import random

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle import BrittleEndpoints
from burdockdrum.passthrough.brittle import Place
from burdockdrum.passthrough.brittle import PlaceBroker
from burdockdrum.passthrough.brittle import PlaceDenied
from burdockdrum.passthrough.brittle import PlaceEvent
from burdockdrum.passthrough.brittle import PlaceNotice
from burdockdrum.passthrough.brittle import TenureNotice
from burdockdrum.passthrough.brittle import UsedPlacesNotice
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import AnnouncedLimit
from burdockdrum.registrations import LikelyEntries
from burdockdrum.testing import VirtualClock
from tests.passthrough.fakes import make_endpoint

SLOTS = 6
ENDPOINTS = 6
RUN_SECONDS = 0.06
# One way between data centres of a region.
MESSAGE_SECONDS = 0.0014
CRASHED_SECONDS = 2.0
MAX_TRIES = 4
# Until what one entry has learned is known to the others.
LEARNING_SECONDS = 0.3


def _sender(name):
    return Sender(vm_id=name, address=name, incarnation=0)


class SimulatedEndpoint:
    """An endpoint that crashes if it rejects too much in a second."""

    def __init__(self, name):
        """Create its first incarnation."""
        self.name = name
        self.incarnation = 0
        self.rejected_at = []
        self.running = 0
        self.ran = 0

    @property
    def endpoint_id(self):
        """Return the id of the current incarnation."""
        return f"{self.name}-{self.incarnation}"


class BrittleRegion:
    """Entries whose callers' requests arrive at random."""

    def __init__(self, *, entries, max_rejections, seed=1):
        """Create entries that know each other."""
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.max_rejections = max_rejections
        self.endpoints = [SimulatedEndpoint(f"p{n}") for n in range(ENDPOINTS)]
        self.registered = {}
        self.announced_by_id = {}
        self.crashes = 0
        self.refused = 0
        self.requests = 0
        # The latest term of each endpoint that an entry told the others.
        self.terms_by_id = {}
        # What entries report to run at each endpoint.
        self.reported = 0.0
        # Entries that are frozen or cut off from the others.
        self.unreached = set()
        self.brokers = {}
        names = [f"e{n}" for n in range(entries)]
        for endpoint in self.endpoints:
            self._register(endpoint)
        for name in names:
            self.start(name, names)

    def start(self, name, names):
        """Start or restart an entry that knows some entries."""
        known = LikelyEntries(
            clock=self.clock, read_entry_count=lambda: len(names)
        )
        known.record("control", {other: other for other in names})
        self.brokers[name] = PlaceBroker(
            clock=self.clock,
            rng=self.rng,
            own=VmIdentity(
                vm_id=name,
                incarnation=self.rng.randrange(1_000_000),
                region="here",
                data_centre="dc",
                control_address=name,
                http_address="",
            ),
            brittle=BrittleEndpoints(
                clock=self.clock,
                metrics=Metrics(),
                read_endpoints=lambda: self.registered,
                read_limit=self.announced_by_id.get,
            ),
            entries=known,
            metrics=Metrics(),
            read_endpoints=lambda: self.registered,
            read_requests=lambda endpoint_id: self.reported,
            ask=lambda address, request: self._ask(name, address, request),
            send=lambda address, notice: self._send(name, address, notice),
        )

    def _register(self, endpoint):
        self.registered[endpoint.endpoint_id] = make_endpoint(
            endpoint.endpoint_id, slots=SLOTS
        )

    def _is_cut(self, *names):
        return any(name in self.unreached for name in names)

    async def _ask(self, name, address, request):
        await asyncio.sleep(MESSAGE_SECONDS)
        if self._is_cut(name, address):
            await asyncio.sleep(0.5)
            raise CallFailed("no reply")
        reply = await self.brokers[address].handle_request(
            _sender(name), request
        )
        await asyncio.sleep(MESSAGE_SECONDS)
        return reply

    def _send(self, name, address, notice):
        async def deliver():
            await asyncio.sleep(MESSAGE_SECONDS)
            if not self._is_cut(name, address):
                broker = self.brokers[address]
                match notice:
                    case PlaceNotice():
                        await broker.handle_notice(_sender(name), notice)
                    case TenureNotice():
                        await broker.handle_tenures(_sender(name), notice)
                    case UsedPlacesNotice():
                        await broker.handle_used_places(_sender(name), notice)

        if isinstance(notice, TenureNotice):
            for endpoint_id, tenure in notice.tenures_by_id.items():
                term = self.terms_by_id.get(endpoint_id, 0)
                self.terms_by_id[endpoint_id] = max(term, tenure.term)

        self.group.create_task(deliver())

    async def play(self, *, load, seconds, meanwhile=None):
        """Let requests arrive; return the part of the slots that was used.

        :param load: requests, as a part of what the endpoints can run
        :param meanwhile: a coroutine that runs beside
        """
        interval = RUN_SECONDS / (load * SLOTS * ENDPOINTS)
        for endpoint in self.endpoints:
            endpoint.ran = 0
        async with asyncio.TaskGroup() as self.group:
            updates = self.group.create_task(self._update())
            other = self.group.create_task(meanwhile or asyncio.sleep(0))
            ends_at = self.clock.monotonic() + seconds
            while self.clock.monotonic() < ends_at:
                await asyncio.sleep(self.rng.expovariate(1 / interval))
                names = [n for n in self.brokers if n not in self.unreached]
                name = self.rng.choice(names)
                self.group.create_task(self.request(self.brokers[name]))
            other.cancel()
            updates.cancel()
        ran = sum(endpoint.ran for endpoint in self.endpoints)
        return ran * RUN_SECONDS / (seconds * SLOTS * ENDPOINTS)

    async def _update(self):
        while True:
            await asyncio.sleep(0.1)
            for broker in self.brokers.values():
                broker.update()

    async def request(self, broker):
        """Send a request at an entry."""
        self.requests += 1
        for _ in range(MAX_TRIES):
            choices = [e for e in self.registered if broker.may_ask(e)]
            if not choices:
                break
            chosen = self.registered[self.rng.choice(choices)]
            place = await broker.acquire(chosen, 2.0)
            if not isinstance(place, PlaceDenied):
                await self._send_to(
                    chosen.endpoint_id, place or Place(report=id)
                )
                return
        self.refused += 1

    async def _send_to(self, endpoint_id, place):
        await asyncio.sleep(MESSAGE_SECONDS)
        endpoint = next(
            (e for e in self.endpoints if e.endpoint_id == endpoint_id), None
        )
        if endpoint is None or endpoint_id not in self.registered:
            place.record(PlaceEvent.LOST)
            return
        if endpoint.running >= SLOTS:
            place.record(PlaceEvent.REJECTED)
            self._reject(endpoint)
            return
        endpoint.running += 1
        await asyncio.sleep(RUN_SECONDS)
        if endpoint.endpoint_id != endpoint_id:
            place.record(PlaceEvent.LOST)
            return
        endpoint.running -= 1
        endpoint.ran += 1
        self._learn(endpoint)
        place.record(PlaceEvent.ENDED)

    def _learn(self, endpoint):
        self.announced_by_id[endpoint.endpoint_id] = AnnouncedLimit(
            requests_per_second=None,
            observed_at=self.clock.monotonic(),
            max_rejections=self.max_rejections,
        )

    def _reject(self, endpoint):
        now = self.clock.monotonic()
        endpoint.rejected_at = [
            at for at in endpoint.rejected_at if at > now - 1.0
        ] + [now]
        if len(endpoint.rejected_at) > self.max_rejections:
            self.crashes += 1
            del self.registered[endpoint.endpoint_id]
            endpoint.incarnation += 1
            endpoint.running, endpoint.rejected_at = 0, []
            self.group.create_task(self._restart(endpoint))

    async def _restart(self, endpoint):
        await asyncio.sleep(CRASHED_SECONDS)
        self._register(endpoint)
