"""Listen to some endpoints for what they hold, and tell the others.

What an endpoint holds can't be told from what was sent there: its memory is
shared with what runs.

Each endpoint is listened to by one entry, chosen by rendezvous hash among
those of its data centre, so that an endpoint is asked once a second however
many entries there are. Who takes over goes on from the event that it knows.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from burdockdrum.holdings.ledger import HoldingsLedger
from burdockdrum.holdings.messages import HeldChange
from burdockdrum.holdings.source import HeldEvents
from burdockdrum.holdings.source import HoldingsSource
from burdockdrum.holdings.source import HoldingsUnknown
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.vms import choose_by_hash

# An endpoint that reads prompts has news all the time; each question takes it
# and the entry some 0.3 ms. What it was sent meanwhile is known anyway.
ASK_SECONDS = 1.0
# After a question that got no answer.
PAUSE_SECONDS = 2.0
# How often the endpoints to listen to are looked over: after a full stop
# what is held is read again until it is known.
LOOK_SECONDS = 0.2


class HoldingsListener:
    """One task for each endpoint that this entry listens to."""

    def __init__(
        self,
        *,
        own: VmIdentity,
        clock: Clock,
        source: HoldingsSource,
        ledger: HoldingsLedger,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_entries: Callable[[], Iterable[VmIdentity]],
        holds_prompts: Callable[[str], bool],
        learned: asyncio.Event,
    ) -> None:
        """Listen to nothing yet.

        :param read_endpoints: returns the endpoints of this region by id
        :param read_entries: returns the other entries of this region
        :param holds_prompts: says whether a service's endpoints do
        :param learned: set once the neighbours have told what they know
        """
        self._own = own
        self._clock = clock
        self._source = source
        self._ledger = ledger
        self._read_endpoints = read_endpoints
        self._read_entries = read_entries
        self._holds_prompts = holds_prompts
        self._learned = learned
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}

    @property
    def endpoint_ids(self) -> Collection[str]:
        """Return the endpoints that are listened to."""
        return self._tasks_by_id.keys()

    async def run(self) -> None:
        """Keep to the endpoints that are this entry's, until cancelled."""
        if not self._source.is_there:
            return
        await self._learned.wait()
        async with asyncio.TaskGroup() as group:
            while True:
                self._match(group, self._source)
                await self._clock.sleep(LOOK_SECONDS)

    def _match(self, group: asyncio.TaskGroup, source: HoldingsSource) -> None:
        own = {e.endpoint_id: e for e in self._find_own()}
        for endpoint_id, task in list(self._tasks_by_id.items()):
            if endpoint_id not in own:
                task.cancel()
                del self._tasks_by_id[endpoint_id]
        for endpoint_id, endpoint in own.items():
            if endpoint_id not in self._tasks_by_id:
                self._tasks_by_id[endpoint_id] = group.create_task(
                    self._listen(source, endpoint)
                )
                log_decision("holdings.listening", endpoint_id=endpoint_id)

    def _find_own(self) -> Iterable[RegisteredEndpoint]:
        entries = [self._own, *self._read_entries()]
        for endpoint in self._read_endpoints().values():
            if not self._holds_prompts(endpoint.service):
                continue
            near = [
                entry.vm_id
                for entry in entries
                if entry.data_centre == endpoint.data_centre
            ]
            ids = near or [entry.vm_id for entry in entries]
            if choose_by_hash(ids, endpoint.endpoint_id, 1) == [
                self._own.vm_id
            ]:
                yield endpoint

    async def _listen(
        self, source: HoldingsSource, endpoint: RegisteredEndpoint
    ) -> None:
        is_heard = True
        while True:
            asked_at = self._clock.monotonic()
            pause = ASK_SECONDS
            try:
                await self._ask(source, endpoint)
                if not is_heard:
                    self._tell_heard(endpoint.endpoint_id, is_silent=False)
                is_heard = True
            except HoldingsUnknown as error:
                pause = PAUSE_SECONDS
                if is_heard:
                    self._tell_heard(endpoint.endpoint_id, is_silent=True)
                    log_failure(
                        "holdings.unknown",
                        endpoint_id=endpoint.endpoint_id,
                        reason=str(error),
                    )
                is_heard = False
            took = self._clock.monotonic() - asked_at
            await self._clock.sleep(max(0.0, pause - took))

    def _tell_heard(self, endpoint_id: str, *, is_silent: bool) -> None:
        """Tell whether an endpoint answers, with all that it holds.

        Others fetch beginnings from endpoints that hold them, and a fetch from
        one that is gone takes seconds. One question that fails is enough:
        where the endpoint lives after all, others fetch from elsewhere for a
        moment.
        """
        whole = self._ledger.read_whole(endpoint_id)
        if whole is not None:
            change = msgspec.structs.replace(whole, is_silent=is_silent)
            self._ledger.take(change, self._clock.monotonic())

    async def _ask(
        self, source: HoldingsSource, endpoint: RegisteredEndpoint
    ) -> None:
        memory = self._ledger.find(endpoint.endpoint_id)
        if memory is None:
            await self._read_list(source, endpoint)
            return
        events = await source.read_events(endpoint, memory.number)
        if events.epoch != memory.epoch or events.has_gap:
            await self._read_list(source, endpoint)
            return
        self._take_events(endpoint, events)

    def _take_events(
        self, endpoint: RegisteredEndpoint, events: HeldEvents
    ) -> None:
        self._ledger.take(
            HeldChange(
                endpoint_id=endpoint.endpoint_id,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                epoch=events.epoch,
                number=events.number,
                tokens_by_part=events.tokens_by_part,
            ),
            self._clock.monotonic(),
        )

    async def _read_list(
        self, source: HoldingsSource, endpoint: RegisteredEndpoint
    ) -> None:
        held = await source.read_list(endpoint)
        self._ledger.take(
            HeldChange(
                endpoint_id=endpoint.endpoint_id,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                epoch=held.epoch,
                number=held.number,
                tokens_by_part=held.tokens_by_part,
                whole=True,
            ),
            self._clock.monotonic(),
        )
