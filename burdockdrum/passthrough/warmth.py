"""Which parts of prompts endpoints hold, as this entry believes.

Endpoints say what they hold, a second late. What this entry and its
neighbours have sent there since is added to that; so is all that was sent, as
far as it fits, to endpoints that say nothing. Until anything is known, a hash
of the shared part names the same endpoint at all entries.
"""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.holdings import HoldingsLedger
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.prompts import PromptPart
from burdockdrum.registrations import PlacedParts
from burdockdrum.vms import choose_by_hash

# Of the memory of an engine that does not say what it holds; running requests
# take the rest.
HELD_PART = 0.6
# Shorter beginnings are read in less time than it takes to tell of them.
MIN_TOLD_TOKENS = 200
# Notices that wait to be told; more than an entry places between two.
MAX_WAITING = 256
# Of an engine that this entry has sent nothing yet.
USUAL_MEMORY_TOKENS = 400_000
# What was sent somewhere is taken to be held there for so long, until the
# endpoint has said so itself: a second to read it, one until the endpoint is
# asked, and one for late events.
SENT_SECONDS = 3.0
# A part of which so much is held counts as whole: memory is given in blocks
# of some tokens, and the last one is not kept if it is not full.
WHOLE_PART = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class _SentPart:
    tokens: int
    sent_at: float


class SentParts:
    """The parts that were sent to one endpoint, the latest last."""

    def __init__(self, *, memory_tokens: int) -> None:
        """Have sent nothing yet."""
        self._limit = int(memory_tokens * HELD_PART)
        self._parts_by_id: collections.OrderedDict[str, _SentPart] = (
            collections.OrderedDict()
        )
        self._total = 0

    def tokens_of(self, part: PromptPart, since: float) -> int:
        """Return how much of a part was sent since a moment."""
        sent = self._parts_by_id.get(part.part_id)
        if sent is None or sent.sent_at < since:
            return 0
        return part.tokens

    def note(self, parts: Iterable[PromptPart], now: float) -> None:
        """Take note of parts that are read there."""
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
class Holder:
    """An endpoint that holds so many tokens of a prompt's beginning."""

    endpoint_id: str
    address: str
    data_centre: str
    tokens: int


class Warmth:
    """What each endpoint holds, as this entry believes."""

    def __init__(
        self,
        *,
        read_now: Callable[[], float],
        ledger: HoldingsLedger | None = None,
        note_shared: Callable[[str], None] = lambda part_id: None,
    ) -> None:
        """Believe nothing yet.

        :param read_now: returns the monotonic time
        :param ledger: what endpoints have said themselves
        :param note_shared: is told of parts that prompts share
        """
        self._read_now = read_now
        self._ledger = ledger if ledger is not None else HoldingsLedger()
        self._note_shared = note_shared
        self._sent_by_id: dict[str, SentParts] = {}
        self._waiting: list[PlacedParts] = []

    def note_sent(
        self, endpoint_id: str, prompt: Prompt, memory_tokens: int
    ) -> None:
        """Take note of a prompt that this entry sends somewhere."""
        shared = prompt.parts[:-1]
        is_news = self._held(endpoint_id, shared) < prompt.shared_tokens
        sent = self._find(endpoint_id, memory_tokens)
        sent.note(prompt.parts, self._read_now())
        self._note_all_shared((part.part_id, part.tokens) for part in shared)
        if not is_news or prompt.shared_tokens < MIN_TOLD_TOKENS:
            return
        if len(self._waiting) < MAX_WAITING:
            parts = [(part.part_id, part.tokens) for part in shared]
            self._waiting.append(PlacedParts(endpoint_id, parts))

    def take_placed(self) -> list[PlacedParts]:
        """Return what the others have not been told yet."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def hear_placed(self, placed: list[PlacedParts]) -> None:
        """Take in what another entry has sent where."""
        now = self._read_now()
        for notice in placed:
            sent = self._find(notice.endpoint_id, USUAL_MEMORY_TOKENS)
            sent.note(
                (
                    PromptPart(part_id=part_id, tokens=tokens)
                    for part_id, tokens in notice.parts
                ),
                now,
            )
            self._note_all_shared(notice.parts)

    def held_tokens(self, endpoint_id: str, prompt: Prompt) -> int:
        """Return how much of a prompt an endpoint holds."""
        return self._held(endpoint_id, prompt.parts)

    def is_told(self, endpoint_ids: Iterable[str]) -> bool:
        """Say whether endpoints tell what they hold.

        Where they do, a beginning that none of them names is held by none,
        and may be read at any: keeping to one would have some wait there
        while others are free.
        """
        return any(self._ledger.find(name) for name in endpoint_ids)

    def best_holder(
        self,
        prompt: Prompt,
        near: Iterable[tuple[str, str, str]],
        may_fetch: Callable[[str], bool],
    ) -> Holder | None:
        """Return who holds most of what others may share of a prompt.

        An endpoint of this region goes before one of another.

        :param near: ids, addresses and data centres of this region's
        :param may_fetch: whether a data centre's endpoints may be asked
        """
        shared = prompt.parts[:-1]
        best: Holder | None = None
        for endpoint_id, address, data_centre in near:
            memory = self._ledger.find(endpoint_id)
            if memory is not None and memory.is_silent:
                continue
            tokens = self._held(endpoint_id, shared)
            if tokens and (best is None or tokens > best.tokens):
                best = Holder(
                    endpoint_id=endpoint_id,
                    address=address,
                    data_centre=data_centre,
                    tokens=tokens,
                )
        if best is not None and best.tokens >= (
            prompt.shared_tokens * WHOLE_PART
        ):
            return best
        return self.holder_among(prompt, may_fetch, best)

    def keep_only(self, endpoint_ids: Container[str]) -> None:
        """Forget the endpoints that are gone."""
        for endpoint_id in list(self._sent_by_id):
            if endpoint_id not in endpoint_ids:
                del self._sent_by_id[endpoint_id]

    def holder_among(
        self,
        prompt: Prompt,
        is_wanted: Callable[[str], bool],
        best: Holder | None = None,
    ) -> Holder | None:
        """Return who holds most, by what endpoints have said themselves.

        :param is_wanted: whether a data centre's endpoints count
        :param best: who must hold less to be passed over
        """
        shared = prompt.parts[:-1]
        if not shared:
            return best
        longest = max(shared, key=lambda part: part.tokens)
        for memory in self._ledger.holders(longest.part_id):
            if memory.is_silent or not is_wanted(memory.data_centre):
                continue
            tokens = self._held(memory.endpoint_id, shared)
            if best is None or tokens > best.tokens:
                best = Holder(
                    endpoint_id=memory.endpoint_id,
                    address=memory.address,
                    data_centre=memory.data_centre,
                    tokens=tokens,
                )
        return best

    def _held(self, endpoint_id: str, parts: Iterable[PromptPart]) -> int:
        memory = self._ledger.find(endpoint_id)
        sent = self._sent_by_id.get(endpoint_id)
        since = float("-inf")
        if memory is not None:
            since = self._read_now() - SENT_SECONDS
        total = skipped = 0
        for part in parts:
            tokens = 0
            if memory is not None:
                tokens = memory.tokens_by_part.get(part.part_id, 0)
            if tokens < part.tokens and sent is not None:
                tokens = max(tokens, sent.tokens_of(part, since))
            if tokens < part.tokens * WHOLE_PART:
                if memory is not None and part.tokens < MIN_TOLD_TOKENS:
                    # Too short to be told of: held if what follows it is.
                    skipped += part.tokens
                    continue
                return total + min(tokens, part.tokens)
            total += skipped + min(tokens, part.tokens)
            skipped = 0
        return total

    def _note_all_shared(self, parts: Iterable[tuple[str, int]]) -> None:
        for part_id, tokens in parts:
            if tokens >= MIN_TOLD_TOKENS:
                self._note_shared(part_id)

    def _find(self, endpoint_id: str, memory_tokens: int) -> SentParts:
        sent = self._sent_by_id.get(endpoint_id)
        if sent is None:
            sent = SentParts(memory_tokens=memory_tokens)
            self._sent_by_id[endpoint_id] = sent
        return sent


def home_of(prompt: Prompt, endpoint_ids: list[str]) -> str | None:
    """Return the endpoint that a prompt's shared beginning belongs to.

    All entries that know the same endpoints name the same one (rendezvous
    hashing: Thaler and Ravishankar, 1998).
    """
    key = prompt.affinity_key
    if key is None or not endpoint_ids:
        return None
    return choose_by_hash(endpoint_ids, key, 1)[0]
