"""Polls endpoints for changes of their prefix caches.

The cache can't be derived from the prompts sent: it shares its memory with
running requests. One entry polls each endpoint, chosen by rendezvous hash
among the entries of its data centre, so the query rate does not grow with
the number of entries. Its successor continues from the last event it knows.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import functools

import msgspec

from burdockdrum.holdings.messages import PrefixCacheChange
from burdockdrum.holdings.source import PrefixCacheEvents
from burdockdrum.holdings.source import PrefixCacheSource
from burdockdrum.holdings.source import PrefixCacheUnavailable
from burdockdrum.holdings.table import PrefixCacheTable
from burdockdrum.kernel import Supervisor
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.vms import choose_by_hash

# A busy endpoint has news at any time, and each query costs it and the entry
# CPU time. What was sent to it meanwhile is known without a report.
POLL_INTERVAL_SECONDS = 1.0
# The delay after a failed query.
RETRY_DELAY_SECONDS = 2.0
# How often the assignment of endpoints to entries is recomputed. Short, so
# that caches are known soon after all entries have restarted.
ASSIGNMENT_INTERVAL_SECONDS = 0.2


class PrefixCachePoller:
    """Runs one polling task for each endpoint assigned to this entry."""

    is_restartable = True

    def __init__(
        self,
        *,
        own: VmIdentity,
        clock: Clock,
        source: PrefixCacheSource,
        table: PrefixCacheTable,
        supervisor: Supervisor,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_entries: Callable[[], Iterable[VmIdentity]],
        has_prefix_cache: Callable[[str], bool],
        initial_sync_done: asyncio.Event,
    ) -> None:
        """Create a poller; it polls once ``run`` is called.

        :param read_endpoints: returns the endpoints of this region by id
        :param read_entries: returns the other entries of this region
        :param has_prefix_cache: whether a service's endpoints cache prefixes
        :param initial_sync_done: set once another entry's table was loaded
        """
        self._own = own
        self._clock = clock
        self._source = source
        self._table = table
        self._supervisor = supervisor
        self._read_endpoints = read_endpoints
        self._read_entries = read_entries
        self._has_prefix_cache = has_prefix_cache
        self._initial_sync_done = initial_sync_done
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        # The entry that polls an endpoint, with those it was chosen from.
        self._chosen_by_id: dict[str, tuple[list[str], str]] = {}
        # Returns for how many seconds an endpoint wants no queries.
        self.read_backoff: Callable[[str], float] = lambda endpoint_id: 0.0

    @property
    def endpoint_ids(self) -> Collection[str]:
        """Return the ids of the endpoints that this entry polls."""
        return self._tasks_by_id.keys()

    async def run(self) -> None:
        """Poll the assigned endpoints until cancelled."""
        if not self._source.is_available:
            return
        await self._initial_sync_done.wait()
        self._tasks_by_id.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._update_tasks(group, self._source)
                await self._clock.sleep(ASSIGNMENT_INTERVAL_SECONDS)

    def _update_tasks(
        self, group: asyncio.TaskGroup, source: PrefixCacheSource
    ) -> None:
        own = {e.endpoint_id: e for e in self._find_assigned()}
        for endpoint_id, task in list(self._tasks_by_id.items()):
            if endpoint_id not in own:
                task.cancel()
                del self._tasks_by_id[endpoint_id]
        for endpoint_id, endpoint in own.items():
            if endpoint_id not in self._tasks_by_id:
                self._tasks_by_id[endpoint_id] = group.create_task(
                    self._supervisor.supervise(
                        "holdings.poll",
                        functools.partial(self._poll, source, endpoint),
                        endpoint_id=endpoint_id,
                    )
                )
                log_decision("holdings.listening", endpoint_id=endpoint_id)

    def _find_assigned(self) -> Iterable[RegisteredEndpoint]:
        all_ids: list[str] = []
        ids_by_data_centre: dict[str, list[str]] = {}
        for entry in [self._own, *self._read_entries()]:
            all_ids.append(entry.vm_id)
            local = ids_by_data_centre.setdefault(entry.data_centre, [])
            local.append(entry.vm_id)
        has_cache_by_service: dict[str, bool] = {}
        previous, self._chosen_by_id = self._chosen_by_id, {}
        for endpoint in self._read_endpoints().values():
            service = endpoint.service
            if service not in has_cache_by_service:
                has_cache_by_service[service] = self._has_prefix_cache(service)
            if not has_cache_by_service[service]:
                continue
            ids = ids_by_data_centre.get(endpoint.data_centre, all_ids)
            endpoint_id = endpoint.endpoint_id
            chosen = previous.get(endpoint_id)
            if chosen is None or chosen[0] != ids:
                chosen = (ids, choose_by_hash(ids, endpoint_id, 1)[0])
            self._chosen_by_id[endpoint_id] = chosen
            if chosen[1] == self._own.vm_id:
                yield endpoint

    async def _poll(
        self, source: PrefixCacheSource, endpoint: RegisteredEndpoint
    ) -> None:
        was_reachable = True
        while True:
            await self._wait_for_backoff(endpoint.endpoint_id)
            started_at = self._clock.monotonic()
            delay = POLL_INTERVAL_SECONDS
            try:
                await self._query(source, endpoint)
                if not was_reachable:
                    self._publish_reachability(
                        endpoint.endpoint_id, is_unreachable=False
                    )
                was_reachable = True
            except PrefixCacheUnavailable as error:
                delay = RETRY_DELAY_SECONDS
                if was_reachable:
                    self._publish_reachability(
                        endpoint.endpoint_id, is_unreachable=True
                    )
                    log_failure(
                        "holdings.unknown",
                        endpoint_id=endpoint.endpoint_id,
                        reason=str(error),
                    )
                was_reachable = False
            elapsed = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0.0, delay - elapsed))

    async def _wait_for_backoff(self, endpoint_id: str) -> None:
        while (seconds := self.read_backoff(endpoint_id)) > 0:
            await self._clock.sleep(min(seconds, POLL_INTERVAL_SECONDS))

    def _publish_reachability(
        self, endpoint_id: str, *, is_unreachable: bool
    ) -> None:
        """Record whether an endpoint answers, with a snapshot of its cache.

        Other endpoints fetch cached prefixes from it, and a fetch from an
        unreachable endpoint takes seconds. So one failed query is enough: if
        it was a false alarm, fetches only go elsewhere for a short time.
        """
        current = self._table.read_snapshot(endpoint_id)
        if current is not None:
            change = msgspec.structs.replace(
                current, is_unreachable=is_unreachable
            )
            self._table.apply(change, self._clock.monotonic())

    async def _query(
        self, source: PrefixCacheSource, endpoint: RegisteredEndpoint
    ) -> None:
        cache = self._table.find(endpoint.endpoint_id)
        if cache is None:
            await self._read_snapshot(source, endpoint)
            return
        events = await source.read_events(endpoint, cache.number)
        if events.epoch != cache.epoch or events.has_gap:
            await self._read_snapshot(source, endpoint)
            return
        self._apply_events(endpoint, events)

    def _apply_events(
        self, endpoint: RegisteredEndpoint, events: PrefixCacheEvents
    ) -> None:
        self._table.apply(
            PrefixCacheChange(
                endpoint_id=endpoint.endpoint_id,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                epoch=events.epoch,
                number=events.number,
                tokens_by_part=events.tokens_by_part,
            ),
            self._clock.monotonic(),
        )

    async def _read_snapshot(
        self, source: PrefixCacheSource, endpoint: RegisteredEndpoint
    ) -> None:
        snapshot = await source.read_snapshot(endpoint)
        self._table.apply(
            PrefixCacheChange(
                endpoint_id=endpoint.endpoint_id,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                epoch=snapshot.epoch,
                number=snapshot.number,
                tokens_by_part=snapshot.tokens_by_part,
                is_snapshot=True,
            ),
            self._clock.monotonic(),
        )
