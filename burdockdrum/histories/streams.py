"""The streams that callers got over their tries, and what must hold."""

from dataclasses import dataclass
from dataclasses import field

# Shares of fewer streams say little.
MIN_STREAMS = 12
MIN_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class ReceivedEvent:
    """An event with its number, and the software version that wrote it."""

    number: int
    version: str


@dataclass(kw_only=True)
class StreamTry:
    """One try of a caller.

    ``resumes`` is the id of the request that brought the first event, None if
    there is none yet. ``counts`` says that it should go on: its entry was
    undisturbed, and enough endpoints of its version served.
    """

    request_id: str
    entry: str
    resumes: str | None
    events: list[ReceivedEvent] = field(default_factory=list)
    counts: bool = False


@dataclass(kw_only=True)
class StreamHistory:
    """The streams of a run, each as the tries of its caller in order."""

    streams: list[list[StreamTry]] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return what was violated."""
        found = [
            violation
            for tries in self.streams
            for violation in _check_stream(tries)
        ]
        return found + self._check_shares()

    def count_taken_up(self) -> tuple[int, int]:
        """Return how many tries to go on count, and how many did go on."""
        counted = [
            attempt
            for tries in self.streams
            for attempt in tries
            if attempt.resumes is not None and attempt.counts
        ]
        return len(counted), sum(bool(attempt.events) for attempt in counted)

    def _check_shares(self) -> list[str]:
        begun = [
            attempt
            for tries in self.streams
            for attempt in tries
            if attempt.resumes is None and attempt.counts
        ]
        number, went_on = self.count_taken_up()
        if number < MIN_STREAMS or len(begun) < MIN_STREAMS:
            return []
        share = sum(bool(attempt.events) for attempt in begun) / len(begun)
        if went_on / number >= MIN_SHARE * share:
            return []
        return [
            f"{went_on} of {number} streams went on, "
            f"{share:.2f} of new ones began"
        ]


def _check_stream(tries: list[StreamTry]) -> list[str]:
    events = [event for attempt in tries for event in attempt.events]
    name = " ".join(attempt.request_id for attempt in tries)
    versions = sorted({event.version for event in events})
    found = []
    if len(versions) > 1:
        found.append(f"{name}: events of the versions {versions}")
    numbers = [event.number for event in events]
    if numbers != list(range(1, len(numbers) + 1)):
        found.append(f"{name}: events {numbers}")
    return found
