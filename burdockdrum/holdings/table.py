"""The table of cached prefixes that endpoints have reported.

Answers which endpoints have a part of a prompt in their prefix cache.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.holdings.messages import PrefixCacheChange


@dataclass(kw_only=True)
class EndpointCache:
    """The prefix cache of one endpoint, as the endpoint reported it.

    ``received_at`` is the monotonic time of the last report. If
    ``is_unreachable``, the endpoint does not answer queries.
    """

    endpoint_id: str
    address: str
    data_centre: str
    epoch: int
    number: int
    received_at: float
    is_unreachable: bool = False
    tokens_by_part: dict[str, int] = field(default_factory=dict)


class PrefixCacheTable:
    """The prefix caches by endpoint id, indexed by the parts they hold."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.listeners: list[Callable[[PrefixCacheChange], None]] = []
        self._caches_by_id: dict[str, EndpointCache] = {}
        # Used as ordered sets: which of two equal holders is found first must
        # not depend on the hashes of strings.
        self._ids_by_part: dict[str, dict[str, None]] = {}

    @property
    def caches_by_id(self) -> Mapping[str, EndpointCache]:
        """Return the known cache of each endpoint."""
        return self._caches_by_id

    def find(self, endpoint_id: str) -> EndpointCache | None:
        """Return the cache of an endpoint, None if it is unknown."""
        return self._caches_by_id.get(endpoint_id)

    def holders(self, part_id: str) -> Iterable[EndpointCache]:
        """Return the caches that hold at least one token of a part."""
        for endpoint_id in self._ids_by_part.get(part_id, ()):
            yield self._caches_by_id[endpoint_id]

    def apply(self, change: PrefixCacheChange, now: float) -> bool:
        """Apply a change that an endpoint reported.

        :returns: False if the change is outdated and was ignored
        """
        cache = self._caches_by_id.get(change.endpoint_id)
        if cache is None or cache.epoch != change.epoch:
            self.forget(change.endpoint_id)
            cache = self._add_cache(change, now)
        elif not _is_newer(change, cache):
            return False
        cache.received_at = now
        cache.number = change.number
        cache.is_unreachable = change.is_unreachable
        if change.is_snapshot:
            evicted = (
                cache.tokens_by_part.keys() - change.tokens_by_part.keys()
            )
            for part_id in evicted:
                self._set_tokens(cache, part_id, 0)
        for part_id, tokens in change.tokens_by_part.items():
            self._set_tokens(cache, part_id, tokens)
        for listener in self.listeners:
            listener(change)
        return True

    def read_snapshot(self, endpoint_id: str) -> PrefixCacheChange | None:
        """Return the cache of an endpoint as a snapshot, None if unknown."""
        cache = self._caches_by_id.get(endpoint_id)
        if cache is None:
            return None
        return PrefixCacheChange(
            endpoint_id=endpoint_id,
            address=cache.address,
            data_centre=cache.data_centre,
            epoch=cache.epoch,
            number=cache.number,
            tokens_by_part=dict(cache.tokens_by_part),
            is_snapshot=True,
            is_unreachable=cache.is_unreachable,
        )

    def forget(self, endpoint_id: str) -> None:
        """Remove an endpoint that no longer exists."""
        cache = self._caches_by_id.get(endpoint_id)
        if cache is None:
            return
        for part_id in list(cache.tokens_by_part):
            self._set_tokens(cache, part_id, 0)
        del self._caches_by_id[endpoint_id]

    def forget_stale(self, since: float, kept_ids: Container[str]) -> None:
        """Remove endpoints without a report since a time.

        :param kept_ids: the endpoints that stay nevertheless
        """
        for endpoint_id, cache in list(self._caches_by_id.items()):
            if endpoint_id not in kept_ids and cache.received_at < since:
                self.forget(endpoint_id)

    def _add_cache(
        self, change: PrefixCacheChange, now: float
    ) -> EndpointCache:
        cache = EndpointCache(
            endpoint_id=change.endpoint_id,
            address=change.address,
            data_centre=change.data_centre,
            epoch=change.epoch,
            number=change.number,
            received_at=now,
        )
        self._caches_by_id[change.endpoint_id] = cache
        return cache

    def _set_tokens(
        self, cache: EndpointCache, part_id: str, tokens: int
    ) -> None:
        if tokens > 0:
            cache.tokens_by_part[part_id] = tokens
            ids = self._ids_by_part.setdefault(part_id, {})
            ids[cache.endpoint_id] = None
            return
        cache.tokens_by_part.pop(part_id, None)
        holder_ids = self._ids_by_part.get(part_id)
        if holder_ids is not None:
            holder_ids.pop(cache.endpoint_id, None)
            if not holder_ids:
                del self._ids_by_part[part_id]


def _is_newer(change: PrefixCacheChange, cache: EndpointCache) -> bool:
    if change.number == cache.number:
        return (
            change.is_snapshot or change.is_unreachable != cache.is_unreachable
        )
    return change.number > cache.number
