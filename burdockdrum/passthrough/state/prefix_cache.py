"""An estimate of which prompt prefixes each endpoint has cached.

It combines the endpoints' own reports, which arrive about a second late, with
the prompts that this and other entries sent since. For endpoints that don't
report, it assumes that recently sent prompts are cached up to their memory.
"""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.holdings import EndpointCache
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.prompts import PromptPart
from burdockdrum.registrations import PlacedPrefix
from burdockdrum.vms import choose_by_hash

# The part of an engine's memory that is assumed to cache sent prompts; running
# requests use the rest.
SENT_CACHE_FRACTION = 0.6
# The prefill of shorter prefixes takes less time than reporting them.
MIN_REPORTED_TOKENS = 200
# Limits the notices that are queued for the next broadcast; more than an entry
# adds between two.
MAX_PENDING_NOTICES = 256
# Assumed for an engine until this entry has sent it a prompt.
DEFAULT_MEMORY_TOKENS = 400_000
# How long a sent part counts as cached although the endpoint's reports lack
# it: a second for the prefill, one until the endpoint is polled, and one for
# late reports.
SENT_VALID_SECONDS = 3.0
# A part counts as whole from this fraction on: engines cache whole blocks of
# tokens only, so that the end of a part may be missing.
WHOLE_PART_FRACTION = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class _SentPart:
    tokens: int
    sent_at: float


class SentParts:
    """An LRU cache of the parts that were sent to one endpoint."""

    def __init__(self, *, memory_tokens: int) -> None:
        """Create it empty.

        :param memory_tokens: the size of the engine's memory
        """
        self._limit = int(memory_tokens * SENT_CACHE_FRACTION)
        self._parts_by_id: collections.OrderedDict[str, _SentPart] = (
            collections.OrderedDict()
        )
        self._total = 0

    def tokens_of(self, part: PromptPart, since: float) -> int:
        """Return the tokens of a part if it was sent since a time, else 0."""
        sent = self._parts_by_id.get(part.part_id)
        if sent is None or sent.sent_at < since:
            return 0
        return part.tokens

    def note(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record parts as most recently used and evict the oldest."""
        for part in parts:
            known = self._parts_by_id.pop(part.part_id, None)
            if known is None:
                self._total += part.tokens
            self._parts_by_id[part.part_id] = _SentPart(
                tokens=part.tokens, sent_at=now
            )
        while self._total > self._limit and self._parts_by_id:
            _, oldest = self._parts_by_id.popitem(last=False)
            self._total -= oldest.tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixHolder:
    """An endpoint that has a prefix of a prompt cached.

    ``tokens`` is the length of the cached prefix.
    """

    endpoint_id: str
    address: str
    data_centre: str
    tokens: int


class PrefixCacheView:
    """Estimates which prompt parts each endpoint has cached."""

    def __init__(
        self,
        *,
        read_now: Callable[[], float],
        table: PrefixCacheTable | None = None,
        mark_shared: Callable[[str], None] = lambda part_id: None,
    ) -> None:
        """Create it without any sent prompts.

        :param read_now: returns the monotonic time
        :param table: the cache reports of endpoints
        :param mark_shared: called with the id of each shared part
        """
        self._read_now = read_now
        self._cache_reports = (
            table if table is not None else PrefixCacheTable()
        )
        self._mark_shared = mark_shared
        self._sent_by_id: dict[str, SentParts] = {}
        self._pending_notices: list[PlacedPrefix] = []

    def record_sent(
        self, endpoint_id: str, prompt: Prompt, memory_tokens: int
    ) -> None:
        """Record a prompt that this entry sends to an endpoint."""
        shared = prompt.parts[:-1]
        is_new = (
            self._count_cached_tokens(endpoint_id, shared)
            < prompt.shared_tokens
        )
        sent = self._find_or_add_sent(endpoint_id, memory_tokens)
        sent.note(prompt.parts, self._read_now())
        self._mark_shared_parts((part.part_id, part.tokens) for part in shared)
        if not is_new or prompt.shared_tokens < MIN_REPORTED_TOKENS:
            return
        if len(self._pending_notices) < MAX_PENDING_NOTICES:
            parts = [(part.part_id, part.tokens) for part in shared]
            self._pending_notices.append(PlacedPrefix(endpoint_id, parts))

    def pop_notices(self) -> list[PlacedPrefix]:
        """Return and clear the notices for other entries."""
        notices, self._pending_notices = self._pending_notices, []
        return notices

    def record_notices(self, placed: list[PlacedPrefix]) -> None:
        """Record the prompt parts that another entry sent to endpoints."""
        now = self._read_now()
        for notice in placed:
            sent = self._find_or_add_sent(
                notice.endpoint_id, DEFAULT_MEMORY_TOKENS
            )
            sent.note(
                (
                    PromptPart(part_id=part_id, tokens=tokens)
                    for part_id, tokens in notice.parts
                ),
                now,
            )
            self._mark_shared_parts(notice.parts)

    def cached_tokens(self, endpoint_id: str, prompt: Prompt) -> int:
        """Return the length in tokens of a prompt's cached prefix."""
        return self._count_cached_tokens(endpoint_id, prompt.parts)

    def has_reports(self, endpoint_ids: Iterable[str]) -> bool:
        """Return whether any of the endpoints reports its cache.

        If so, a prefix that no endpoint reports is not cached, and any idle
        endpoint may compute it; hashing would only queue requests at one.
        """
        return any(self._cache_reports.find(name) for name in endpoint_ids)

    def find_best_holder(
        self,
        prompt: Prompt,
        near: Iterable[tuple[str, str, str]],
        is_source: Callable[[EndpointCache], bool],
    ) -> PrefixHolder | None:
        """Return the endpoint with the longest part of a shared prefix.

        One in this region that has the whole prefix is preferred.

        :param near: ids, addresses and data centres of this region's
            endpoints
        :param is_source: returns whether a reporting endpoint may be
            fetched from
        """
        shared = prompt.parts[:-1]
        best: PrefixHolder | None = None
        for endpoint_id, address, data_centre in near:
            memory = self._cache_reports.find(endpoint_id)
            if memory is not None and memory.is_unreachable:
                continue
            tokens = self._count_cached_tokens(endpoint_id, shared)
            if tokens and (best is None or tokens > best.tokens):
                best = PrefixHolder(
                    endpoint_id=endpoint_id,
                    address=address,
                    data_centre=data_centre,
                    tokens=tokens,
                )
        if best is not None and best.tokens >= (
            prompt.shared_tokens * WHOLE_PART_FRACTION
        ):
            return best
        return self.find_reported_holder(prompt, is_source, best)

    def retain_endpoints(self, endpoint_ids: Container[str]) -> None:
        """Discard the sent parts of all other endpoints."""
        for endpoint_id in list(self._sent_by_id):
            if endpoint_id not in endpoint_ids:
                del self._sent_by_id[endpoint_id]

    def find_reported_holder(
        self,
        prompt: Prompt,
        is_eligible: Callable[[EndpointCache], bool],
        best: PrefixHolder | None = None,
    ) -> PrefixHolder | None:
        """Return the reporting endpoint with the longest cached prefix.

        :param is_eligible: returns whether a reporting endpoint counts
        :param best: returned if no reporting endpoint holds more
        """
        shared = prompt.parts[:-1]
        if not shared:
            return best
        longest = max(shared, key=lambda part: part.tokens)
        for memory in self._cache_reports.holders(longest.part_id):
            if memory.is_unreachable or not is_eligible(memory):
                continue
            tokens = self._count_cached_tokens(memory.endpoint_id, shared)
            if best is None or tokens > best.tokens:
                best = PrefixHolder(
                    endpoint_id=memory.endpoint_id,
                    address=memory.address,
                    data_centre=memory.data_centre,
                    tokens=tokens,
                )
        return best

    def _count_cached_tokens(
        self, endpoint_id: str, parts: Iterable[PromptPart]
    ) -> int:
        memory = self._cache_reports.find(endpoint_id)
        sent = self._sent_by_id.get(endpoint_id)
        if memory is None:
            if sent is None:
                return 0
            return _count_sent_tokens(sent, parts)
        since = self._read_now() - SENT_VALID_SECONDS
        total = skipped = 0
        for part in parts:
            whole = part.tokens
            tokens = memory.tokens_by_part.get(part.part_id, 0)
            if tokens < whole and sent is not None:
                tokens = max(tokens, sent.tokens_of(part, since))
            if tokens >= whole * WHOLE_PART_FRACTION:
                total += skipped + min(tokens, whole)
                skipped = 0
            elif whole < MIN_REPORTED_TOKENS:
                # Too short to be reported: cached if the next part is.
                skipped += whole
            else:
                return total + min(tokens, whole)
        return total

    def _mark_shared_parts(self, parts: Iterable[tuple[str, int]]) -> None:
        for part_id, tokens in parts:
            if tokens >= MIN_REPORTED_TOKENS:
                self._mark_shared(part_id)

    def _find_or_add_sent(
        self, endpoint_id: str, memory_tokens: int
    ) -> SentParts:
        sent = self._sent_by_id.get(endpoint_id)
        if sent is None:
            sent = SentParts(memory_tokens=memory_tokens)
            self._sent_by_id[endpoint_id] = sent
        return sent


def _count_sent_tokens(sent: SentParts, parts: Iterable[PromptPart]) -> int:
    """Return the length of the prefix sent to an endpoint without reports."""
    total = 0
    for part in parts:
        tokens = sent.tokens_of(part, float("-inf"))
        if tokens < part.tokens:
            break
        total += tokens
    return total


def choose_prefix_endpoint(
    prompt: Prompt, endpoint_ids: list[str]
) -> str | None:
    """Return the endpoint that a prompt's shared prefix is hashed to.

    All entries that know the same endpoints choose the same one (rendezvous
    hashing: Thaler and Ravishankar, 1998).
    """
    key = prompt.affinity_key
    if key is None or not endpoint_ids:
        return None
    return choose_by_hash(endpoint_ids, key, 1)[0]
