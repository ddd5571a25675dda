"""Find the endpoint that has the shared prefix of a prompt cached.

Where no endpoint has it, rendezvous hashing may choose the one to compute it,
so that concurrent entries choose the same one.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from burdockdrum.holdings import EndpointCache
from burdockdrum.passthrough.selection.endpoint_rater import REMOTE_LINK_FACTOR
from burdockdrum.passthrough.state import choose_prefix_endpoint
from burdockdrum.passthrough.state import EngineEstimates
from burdockdrum.passthrough.state import MIN_FETCH_TOKENS
from burdockdrum.passthrough.state import PrefixCacheView
from burdockdrum.passthrough.state import PrefixFetch
from burdockdrum.passthrough.state import PrefixHolder
from burdockdrum.passthrough.state import PrefixLocation
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import transfer_seconds
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.settings import MechanismSettings

# A request's ratings here and in other regions follow each other, and share
# the holder that was found for the first of them.
MAX_HOLDER_AGE_SECONDS = 0.005


@dataclass(frozen=True, kw_only=True)
class _FoundHolder:
    """The holder that was last found, and for what."""

    prompt: Prompt
    service: str
    homes: Sequence[str]
    found_at: float
    holder: PrefixHolder | None


class PrefixFinder:
    """Finds cached prefixes in this region and in others."""

    def __init__(
        self,
        *,
        prefix_cache_view: PrefixCacheView,
        engines: EngineEstimates,
        list_sources: Callable[[str], list[RegisteredEndpoint]],
        may_fetch_from: Callable[[str], bool],
        read_region: Callable[[str], str | None],
        read_load_age: Callable[[], float],
        mechanisms: MechanismSettings,
        clock: Clock,
    ) -> None:
        """Create a finder.

        :param list_sources: returns a service's endpoints of this region
            that others may fetch from
        :param may_fetch_from: returns whether an endpoint of any region may
            be fetched from, by its id
        :param read_region: returns the region of a data centre
        :param read_load_age: returns the age in seconds of the reports from
            other entries
        """
        self._prefix_cache_view = prefix_cache_view
        self._engines = engines
        self._list_sources = list_sources
        self._may_fetch_from = may_fetch_from
        self._read_region = read_region
        self._read_load_age = read_load_age
        self._mechanisms = mechanisms
        self._clock = clock
        self._last_found: _FoundHolder | None = None

    def find(
        self,
        backend: Backend,
        prompt: Prompt,
        candidates: list[RegisteredEndpoint],
        homes: Sequence[str],
    ) -> PrefixLocation:
        """Find the holder of a prompt's shared prefix, or who computes it.

        :param candidates: the endpoints that may be sent the prompt
        :param homes: the regions that may process it; all if empty
        """
        holder = None
        has_shared_prefix = (
            backend.engine is not None and prompt.shared_tokens > 0
        )
        if has_shared_prefix and self._mechanisms.fetched_beginnings:
            holder = self._find_best_holder(backend, prompt, homes)
        hashed_id = None
        is_prefix_long = prompt.shared_tokens >= MIN_FETCH_TOKENS
        if holder is None and is_prefix_long and self._mechanisms.hashed_homes:
            ids = [endpoint.endpoint_id for endpoint in candidates]
            if not self._learns_holders_in_time(backend, prompt, ids):
                hashed_id = choose_prefix_endpoint(prompt, ids)
        return PrefixLocation(holder=holder, hashed_endpoint_id=hashed_id)

    def estimate_in_region(
        self,
        backend: Backend,
        prompt: Prompt,
        region: str,
        homes: Sequence[str],
    ) -> tuple[int, PrefixFetch | None]:
        """Estimate the work of an endpoint in another region.

        :returns: the tokens to prefill, and the transfer if any
        """
        if not self._mechanisms.fetched_beginnings:
            return prompt.tokens, None
        holder = self._prefix_cache_view.find_reported_holder(
            prompt,
            lambda cache: self._read_region(cache.data_centre) == region,
        )
        if holder is not None:
            return prompt.tokens - holder.tokens, None
        holder = self._find_best_holder(backend, prompt, homes)
        if holder is None or holder.tokens < MIN_FETCH_TOKENS:
            return prompt.tokens, None
        fetch = PrefixFetch(
            source_id=holder.endpoint_id,
            address=holder.address,
            tokens=holder.tokens,
            transfer_seconds=transfer_seconds(backend, holder.tokens)
            * REMOTE_LINK_FACTOR,
            is_cross_region=True,
        )
        return prompt.tokens - holder.tokens, fetch

    def _learns_holders_in_time(
        self, backend: Backend, prompt: Prompt, endpoint_ids: list[str]
    ) -> bool:
        """Return whether reports arrive before the prefill would be done.

        With later reports, concurrent requests for the same prefix would have
        it computed at many endpoints. Hashing prevents that until a holder is
        known.
        """
        if not self._prefix_cache_view.has_reports(endpoint_ids):
            return False
        seconds = self._engines.prefill_seconds(
            backend.name, prompt, prompt.shared_tokens
        )
        return self._read_load_age() < seconds

    def _find_best_holder(
        self, backend: Backend, prompt: Prompt, homes: Sequence[str]
    ) -> PrefixHolder | None:
        """Return the endpoint that holds the longest prefix, in any region.

        A prompt is not fetched from regions that may not process it.
        """
        now = self._clock.monotonic()
        last = self._last_found
        if (
            last is not None
            and last.prompt is prompt
            and last.service == backend.name
            and last.homes == homes
            and now - last.found_at <= MAX_HOLDER_AGE_SECONDS
            and self._is_still_source(last.holder)
        ):
            return last.holder
        holder = self._search_best_holder(backend, prompt, homes)
        self._last_found = _FoundHolder(
            prompt=prompt,
            service=backend.name,
            homes=homes,
            found_at=now,
            holder=holder,
        )
        return holder

    def _is_still_source(self, holder: PrefixHolder | None) -> bool:
        return holder is None or self._may_fetch_from(holder.endpoint_id)

    def _search_best_holder(
        self, backend: Backend, prompt: Prompt, homes: Sequence[str]
    ) -> PrefixHolder | None:

        def is_home(data_centre: str) -> bool:
            return not homes or self._read_region(data_centre) in homes

        def is_source(cache: EndpointCache) -> bool:
            return is_home(cache.data_centre) and self._may_fetch_from(
                cache.endpoint_id
            )

        return self._prefix_cache_view.find_best_holder(
            prompt,
            [
                (e.endpoint_id, e.address, e.data_centre)
                for e in self._list_sources(backend.name)
                if is_home(e.data_centre)
            ],
            is_source,
        )
