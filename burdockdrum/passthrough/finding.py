"""Find who holds the beginning of a prompt, or should read it."""

from collections.abc import Callable
from collections.abc import Sequence

from burdockdrum.passthrough.beginnings import Beginning
from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.beginnings import link_seconds
from burdockdrum.passthrough.beginnings import MIN_FETCH_TOKENS
from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.rating import FAR_TIMES
from burdockdrum.passthrough.warmth import Holder
from burdockdrum.passthrough.warmth import home_of
from burdockdrum.passthrough.warmth import Warmth
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.settings import MechanismSettings


class BeginningFinder:
    """Look for beginnings here and in other regions."""

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
        """Create it over what is known of endpoints.

        :param list_sources: returns a service's endpoints of this region
            that others may fetch from
        :param read_region: returns the region of a data centre
        :param read_lag: returns how many seconds ago other entries were
            heard
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
        """Find who holds the beginning of a prompt, or should read it.

        :param candidates: who may be sent the prompt
        :param homes: the regions that it may be processed in; all if empty
        """
        holder = None
        is_shared = backend.engine is not None and prompt.shared_tokens > 0
        if is_shared and self._mechanisms.fetched_beginnings:
            holder = self._find_holder(backend, prompt, homes)
        home = None
        is_long = prompt.shared_tokens >= MIN_FETCH_TOKENS
        if holder is None and is_long and self._mechanisms.hashed_homes:
            ids = [endpoint.endpoint_id for endpoint in candidates]
            if not self._is_heard_in_time(backend, prompt, ids):
                home = home_of(prompt, ids)
        return Beginning(holder=holder, home_id=home)

    def expect_elsewhere(
        self,
        backend: Backend,
        prompt: Prompt,
        region: str,
        homes: Sequence[str],
    ) -> tuple[int, Fetch | None]:
        """Return what an endpoint of another region would read and fetch."""
        if not self._mechanisms.fetched_beginnings:
            return prompt.tokens, None
        holder = self._warmth.holder_among(
            prompt, lambda name: self._read_region(name) == region
        )
        if holder is not None:
            return prompt.tokens - holder.tokens, None
        holder = self._find_holder(backend, prompt, homes)
        if holder is None or holder.tokens < MIN_FETCH_TOKENS:
            return prompt.tokens, None
        fetch = Fetch(
            address=holder.address,
            tokens=holder.tokens,
            link_seconds=link_seconds(backend, holder.tokens) * FAR_TIMES,
            is_far=True,
        )
        return prompt.tokens - holder.tokens, fetch

    def _is_heard_in_time(
        self, backend: Backend, prompt: Prompt, endpoint_ids: list[str]
    ) -> bool:
        """Say whether others know who reads a beginning before it is read.

        If they know later, a beginning that many ask for at once is read at as
        many endpoints. Then all keep to one endpoint by a hash until someone
        is known to hold it.
        """
        if not self._warmth.is_told(endpoint_ids):
            return False
        seconds = self._engines.reading_seconds(
            backend.name, prompt, prompt.shared_tokens
        )
        return self._read_lag() < seconds

    def _find_holder(
        self, backend: Backend, prompt: Prompt, homes: Sequence[str]
    ) -> Holder | None:
        """Return who holds most of a prompt's beginning, in any region.

        What may not be processed in a region may not be fetched from there.
        """

        def may_fetch(data_centre: str) -> bool:
            return not homes or self._read_region(data_centre) in homes

        return self._warmth.best_holder(
            prompt,
            [
                (e.endpoint_id, e.address, e.data_centre)
                for e in self._list_sources(backend.name)
                if may_fetch(e.data_centre)
            ],
            may_fetch,
        )
