"""The prompt's size and structure, as declared in request headers.

The headers only guide routing; the endpoint parses the prompt itself.
"""

from dataclasses import dataclass

from burdockdrum.http1 import parse_count

# Further parts are ignored and not considered cached.
MAX_PROMPT_PARTS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A segment of a prompt, identified across requests."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """The size of a prompt and its parts in order.

    The last part is specific to the request or its session; those before it
    form the shared prefix. ``max_output_tokens`` is the limit of the output,
    ``hinted_output_tokens`` the caller's estimate of it. ``model`` is the
    model that the parts are of, empty if the caller names none.
    """

    tokens: int = 0
    max_output_tokens: int = 0
    hinted_output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    model: str = ""

    @property
    def expected_output_tokens(self) -> int:
        """Return the expected number of output tokens."""
        if self.hinted_output_tokens is None:
            return self.max_output_tokens
        return min(self.hinted_output_tokens, self.max_output_tokens)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that an engine keeps until the response ends."""
        return self.tokens + self.expected_output_tokens

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in the shared prefix."""
        total = 0
        for part in self.parts[:-1]:
            total += part.tokens
        return total

    @property
    def affinity_key(self) -> str | None:
        """Return the id of the last part of the shared prefix, if any."""
        return self.parts[-2].part_id if len(self.parts) > 1 else None


def parse_prompt(
    counts: bytes | None,
    parts: bytes | None,
    hint: bytes | None = None,
    model: bytes | None = None,
) -> Prompt:
    """Parse the prompt headers; malformed ones are treated as absent.

    Routing can do without them, so they never fail a request.
    """
    tokens, max_output_tokens = _parse_counts(counts)
    return Prompt(
        tokens=tokens,
        max_output_tokens=max_output_tokens,
        hinted_output_tokens=parse_count(hint),
        parts=_parse_parts(parts),
        model=(model or b"").decode("latin-1"),
    )


def _parse_counts(value: bytes | None) -> tuple[int, int]:
    numbers = (value or b"").split(b",")
    if len(numbers) != 2:
        return 0, 0
    tokens, max_output_tokens = map(parse_count, numbers)
    if tokens is None or max_output_tokens is None:
        return 0, 0
    return tokens, max_output_tokens


def _parse_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for item in (value or b"").split(b",")[:MAX_PROMPT_PARTS]:
        name, _, number = item.strip().partition(b":")
        tokens = parse_count(number)
        if not name or tokens is None:
            return ()
        parts.append(PromptPart(part_id=name.decode("latin-1"), tokens=tokens))
    return tuple(parts)
