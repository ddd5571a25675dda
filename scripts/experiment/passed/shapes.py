"""Performance profiles of engines, and kinds of requests.

All times can be scaled, so that a test can check that decisions depend on
observations rather than on fixed durations.
"""

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, kw_only=True)
class Shape:
    """The performance profile of an engine.

    A step takes ``step_seconds`` and generates a token for every request. It
    also prefills up to ``chunk_tokens``, each in ``token_seconds`` plus
    ``pair_seconds`` for every preceding token. Fetching a cached prefix
    takes ``fetch_token_seconds`` per token. Each running request lengthens a
    step by ``slot_seconds``. The engines have the speeds ``speeds`` by turns,
    and in the fraction ``pause_fraction`` of the intervals of
    ``pause_interval`` seconds a step takes ``pause_factor`` times as long.
    """

    name: str
    slots: int = 64
    memory_tokens: int = 348_000
    step_seconds: float = 0.0038
    token_seconds: float = 17.7e-6
    pair_seconds: float = 4.1e-10
    chunk_tokens: int = 512
    fetch_token_seconds: float = 1.5e-6
    tokens_an_event: int = 6
    slot_seconds: float = 0.0
    speeds: tuple[float, ...] = (1.0,)
    pause_fraction: float = 0.0
    pause_factor: float = 1.0
    pause_interval: float = 0.6

    def scaled(self, time_scale: float) -> "Shape":
        """Return the profile with all times multiplied."""
        return replace(
            self,
            step_seconds=self.step_seconds * time_scale,
            token_seconds=self.token_seconds * time_scale,
            pair_seconds=self.pair_seconds * time_scale,
            fetch_token_seconds=self.fetch_token_seconds * time_scale,
            slot_seconds=self.slot_seconds * time_scale,
            pause_interval=self.pause_interval * time_scale,
        )


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """One kind of request.

    ``shared_tokens``, ``own_tokens`` and ``output_tokens`` are means; there
    are ``subjects`` different shared prefixes. A response is worth ``worth``
    if its first event comes within ``objective_seconds`` and no pause is
    longer than ``pause_seconds``, else ``LATE_WORTH_FRACTION`` of it. Only
    the regions ``homes`` may run it, any if empty.
    """

    name: str
    rate: float
    rank: int
    shared_tokens: int
    subjects: int
    own_tokens: int
    output_tokens: int
    objective_seconds: float
    deadline_seconds: float
    worth: float
    pause_seconds: float = 0.3
    homes: tuple[str, ...] = ()


# The worth of a late response relative to one in time.
LATE_WORTH_FRACTION = 0.3

# Long case files with shared prefixes.
FILES = RequestKind(
    name="file",
    rate=12.5,
    rank=1,
    shared_tokens=13_300,
    subjects=70,
    own_tokens=3_700,
    output_tokens=120,
    objective_seconds=1.0,
    deadline_seconds=8.0,
    worth=16.0,
)
QUESTIONS = RequestKind(
    name="question",
    rate=152.0,
    rank=0,
    shared_tokens=92,
    subjects=40,
    own_tokens=290,
    output_tokens=48,
    objective_seconds=0.6,
    deadline_seconds=4.0,
    worth=1.9,
)
# Plans with prompts of medium length and long outputs.
PLANS = RequestKind(
    name="plan",
    rate=40.0,
    rank=1,
    shared_tokens=1_500,
    subjects=200,
    own_tokens=1_000,
    output_tokens=250,
    objective_seconds=0.8,
    deadline_seconds=10.0,
    worth=5.6,
    pause_seconds=0.4,
)

# Summaries of long texts that each caller reads again, and urgent questions.
SUMMARIES = RequestKind(
    name="summary",
    rate=16.0,
    rank=1,
    shared_tokens=5_382,
    subjects=135,
    own_tokens=6_610,
    output_tokens=382,
    objective_seconds=1.2,
    deadline_seconds=12.0,
    worth=5.0,
    pause_seconds=0.6,
)
CLIPS = RequestKind(
    name="clip",
    rate=33.0,
    rank=0,
    shared_tokens=568,
    subjects=190,
    own_tokens=1_800,
    output_tokens=24,
    objective_seconds=0.8,
    deadline_seconds=3.0,
    worth=1.6,
    pause_seconds=0.6,
    homes=("east", "north"),
)
# Urgent and long reviews beside many short hints of the lowest rank.
REVIEWS = RequestKind(
    name="review",
    rate=10.0,
    rank=0,
    shared_tokens=5_382,
    subjects=125,
    own_tokens=6_610,
    output_tokens=382,
    objective_seconds=1.0,
    deadline_seconds=12.0,
    worth=12.0,
    pause_seconds=0.6,
)
HINTS = RequestKind(
    name="hint",
    rate=87.0,
    rank=2,
    shared_tokens=568,
    subjects=950,
    own_tokens=1_800,
    output_tokens=24,
    objective_seconds=2.0,
    deadline_seconds=3.0,
    worth=0.73,
    pause_seconds=0.6,
    homes=("east", "north"),
)

_BASE = Shape(name="base")
# Engines for many requests at once, with large chunks of prefill.
_WIDE = Shape(
    name="wide",
    memory_tokens=475_000,
    step_seconds=0.0031,
    slot_seconds=0.000_1,
    token_seconds=17.6e-6,
    pair_seconds=1.65e-10,
    chunk_tokens=2048,
    fetch_token_seconds=0.3e-6,
    tokens_an_event=9,
)
SHAPES = {
    shape.name: shape
    for shape in (
        _BASE,
        replace(_BASE.scaled(0.5), name="twice the speed"),
        replace(_BASE.scaled(2.0), name="half the speed"),
        replace(_BASE, name="little memory", memory_tokens=120_000),
        replace(_BASE, name="few slots", slots=12),
        _WIDE,
        replace(
            _WIDE,
            name="uneven",
            speeds=(0.6, 1.0, 1.6),
            pause_fraction=0.15,
            pause_factor=2.5,
        ),
        replace(
            _WIDE,
            name="fast",
            token_seconds=10.9e-6,
            pair_seconds=3.5e-10,
            speeds=(1.0, 1.0, 1.3),
        ),
    )
}


@dataclass(frozen=True, kw_only=True)
class Mix:
    """The kinds of requests in a load."""

    name: str
    kinds: tuple[RequestKind, ...]


MIXES = {
    mix.name: mix
    for mix in (
        Mix(name="long prompts", kinds=(FILES, QUESTIONS)),
        Mix(name="short prompts", kinds=(PLANS, QUESTIONS)),
        Mix(name="long outputs", kinds=(SUMMARIES, CLIPS)),
        Mix(name="short and urgent", kinds=(REVIEWS, HINTS)),
    )
}


def scale_kind(kind: RequestKind, time_scale: float) -> RequestKind:
    """Return the kind with all times multiplied and its rate divided."""
    return replace(
        kind,
        rate=kind.rate / time_scale,
        objective_seconds=kind.objective_seconds * time_scale,
        deadline_seconds=kind.deadline_seconds * time_scale,
        pause_seconds=kind.pause_seconds * time_scale,
    )
