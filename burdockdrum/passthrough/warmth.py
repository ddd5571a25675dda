"""Which parts of prompts the endpoints of a region probably still hold.

An entry knows what it sent where, and hears it of the other entries of its
region. Until it has heard, a hash of the shared part names the same endpoint
at all of them.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.prompts import PromptPart
from burdockdrum.registrations import PlacedParts
from burdockdrum.vms import choose_by_hash

# Of the memory of an engine; running requests take the rest.
HELD_PART = 0.6
# Shorter beginnings are read in less time than it takes to tell of them.
MIN_TOLD_TOKENS = 200
# Notices that wait to be told; more than an entry places between two.
MAX_WAITING = 256
# Of an engine that this entry has sent nothing yet.
USUAL_MEMORY_TOKENS = 400_000


class HeldParts:
    """The parts that were sent to one endpoint, the latest last."""

    def __init__(self, *, memory_tokens: int) -> None:
        """Hold nothing yet."""
        self._limit = int(memory_tokens * HELD_PART)
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._total = 0

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how much of a prompt's beginning is held."""
        held = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                break
            held += part.tokens
        return held

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Take note of parts that were read there."""
        for part in parts:
            known = self._tokens_by_part.pop(part.part_id, None)
            if known is None:
                self._total += part.tokens
            self._tokens_by_part[part.part_id] = part.tokens
        while self._total > self._limit and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total -= tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """An endpoint that holds so many tokens of a prompt's beginning."""

    endpoint_id: str
    tokens: int


class Warmth:
    """What each endpoint holds, as this entry believes."""

    def __init__(self) -> None:
        """Believe nothing yet."""
        self._held_by_id: dict[str, HeldParts] = {}
        self._waiting: list[PlacedParts] = []

    def note_sent(
        self, endpoint_id: str, prompt: Prompt, memory_tokens: int
    ) -> None:
        """Take note of a prompt that this entry sends somewhere."""
        shared = prompt.parts[:-1]
        held = self._find(endpoint_id, memory_tokens)
        is_news = held.held_tokens(shared) < prompt.shared_tokens
        held.note(prompt.parts)
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
        for notice in placed:
            held = self._find(notice.endpoint_id, USUAL_MEMORY_TOKENS)
            held.note(
                PromptPart(part_id=part_id, tokens=tokens)
                for part_id, tokens in notice.parts
            )

    def held_tokens(self, endpoint_id: str, prompt: Prompt) -> int:
        """Return how much of a prompt an endpoint holds."""
        held = self._held_by_id.get(endpoint_id)
        return held.held_tokens(prompt.parts) if held is not None else 0

    def best_holder(
        self, prompt: Prompt, endpoint_ids: Iterable[str]
    ) -> Holder | None:
        """Return who holds most of what others may share of a prompt."""
        shared = prompt.parts[:-1]
        best: Holder | None = None
        for endpoint_id in endpoint_ids:
            held = self._held_by_id.get(endpoint_id)
            tokens = held.held_tokens(shared) if held is not None else 0
            if tokens and (best is None or tokens > best.tokens):
                best = Holder(endpoint_id=endpoint_id, tokens=tokens)
        return best

    def keep_only(self, endpoint_ids: Container[str]) -> None:
        """Forget the endpoints that are gone."""
        for endpoint_id in list(self._held_by_id):
            if endpoint_id not in endpoint_ids:
                del self._held_by_id[endpoint_id]

    def _find(self, endpoint_id: str, memory_tokens: int) -> HeldParts:
        held = self._held_by_id.get(endpoint_id)
        if held is None:
            held = HeldParts(memory_tokens=memory_tokens)
            self._held_by_id[endpoint_id] = held
        return held


def home_of(prompt: Prompt, endpoint_ids: list[str]) -> str | None:
    """Return the endpoint that a prompt's shared beginning belongs to.

    All entries that know the same endpoints name the same one (rendezvous
    hashing: Thaler and Ravishankar, 1998).
    """
    key = prompt.affinity_key
    if key is None or not endpoint_ids:
        return None
    return choose_by_hash(endpoint_ids, key, 1)[0]
