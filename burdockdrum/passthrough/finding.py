"""Find the endpoint that has the shared prefix of a prompt cached.

Where no endpoint has it, rendezvous hashing may choose the one to compute it,
so that concurrent entries choose the same one.
"""

from collections.abc import Callable
from collections.abc import Sequence

from burdockdrum.passthrough.beginnings import Beginning
from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.beginnings import link_seconds
from burdockdrum.passthrough.beginnings import MIN_FETCH_TOKENS
from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.rating import FAR_TIMES
from burdockdrum.passthrough.warmth import home_of
from burdockdrum.passthrough.warmth import PrefixHolder
from burdockdrum.passthrough.warmth import Warmth
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.settings import MechanismSettings


class BeginningFinder:
    """Finds cached prefixes in this region and in others."""

    def __init__(
        self,
        *,
        warmth: Warmth,
        engines: Engines,
        list_sources: Callable[[str], list[RegisteredEndpoint]],
        read_region: Callable[[str], str | None],
        read_lag: Callable[[], float],
        mechanisms: MechanismSettings,
    ) -> None:
        """Create a finder.

        :param list_sources: returns a service's endpoints of this region
            that others may fetch from
        :param read_region: returns the region of a data centre
        :param read_lag: returns the age in seconds of the reports from other
            entries
        """
        self._warmth = warmth
        self._engines = engines
        self._list_sources = list_sources
        self._read_region = read_region
        self._read_lag = read_lag
        self._mechanisms = mechanisms

    def find(
        self,
        backend: Backend,
        prompt: Prompt,
        candidates: list[RegisteredEndpoint],
        homes: Sequence[str],
    ) -> Beginning:
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
        home = None
        is_prefix_long = prompt.shared_tokens >= MIN_FETCH_TOKENS
        if holder is None and is_prefix_long and self._mechanisms.hashed_homes:
            ids = [endpoint.endpoint_id for endpoint in candidates]
            if not self._learns_holders_in_time(backend, prompt, ids):
                home = home_of(prompt, ids)
        return Beginning(holder=holder, home_id=home)

    def expect_elsewhere(
        self,
        backend: Backend,
        prompt: Prompt,
        region: str,
        homes: Sequence[str],
    ) -> tuple[int, Fetch | None]:
        """Estimate the work of an endpoint in another region.

        :returns: the tokens to prefill, and the transfer if any
        """
        if not self._mechanisms.fetched_beginnings:
            return prompt.tokens, None
        holder = self._warmth.find_reported_holder(
            prompt, lambda name: self._read_region(name) == region
        )
        if holder is not None:
            return prompt.tokens - holder.tokens, None
        holder = self._find_best_holder(backend, prompt, homes)
        if holder is None or holder.tokens < MIN_FETCH_TOKENS:
            return prompt.tokens, None
        fetch = Fetch(
            address=holder.address,
            tokens=holder.tokens,
            link_seconds=link_seconds(backend, holder.tokens) * FAR_TIMES,
            is_far=True,
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
        if not self._warmth.has_reports(endpoint_ids):
            return False
        seconds = self._engines.reading_seconds(
            backend.name, prompt, prompt.shared_tokens
        )
        return self._read_lag() < seconds

    def _find_best_holder(
        self, backend: Backend, prompt: Prompt, homes: Sequence[str]
    ) -> PrefixHolder | None:
        """Return the endpoint that holds the longest prefix, in any region.

        A prompt is not fetched from regions that may not process it.
        """

        def may_fetch(data_centre: str) -> bool:
            return not homes or self._read_region(data_centre) in homes

        return self._warmth.find_best_holder(
            prompt,
            [
                (e.endpoint_id, e.address, e.data_centre)
                for e in self._list_sources(backend.name)
                if may_fetch(e.data_centre)
            ],
            may_fetch,
        )
