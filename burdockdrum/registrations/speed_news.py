"""What entries tell each other about the speeds of endpoints.

The news for each receiver are summed by endpoint until they are sent, with a
limit on the sums sent in a second, so that their bytes are bounded whatever
the number of entries, endpoints and requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.registrations.messages import SpeedSum

# Sums sent to one receiver in a second, and at most at once.
SUMS_PER_SECOND = 20.0
MAX_SUMS = 20.0
# A receiver that has not asked for so long is told all when it returns.
_KEEP_RECEIVER_SECONDS = 10.0
# Part of the news' weight that counts even if they are no surprise.
_UNSURPRISING_FRACTION = 0.05


@dataclass(kw_only=True, slots=True)
class _Pending:
    weight: float = 0.0
    weighted_log: float = 0.0


@dataclass(kw_only=True)
class SpeedOutbox:
    """The unsent news for one receiver."""

    pending_by_id: dict[str, _Pending] = field(default_factory=dict)
    sent_mean_by_id: dict[str, float] = field(default_factory=dict)
    allowance: float = MAX_SUMS
    popped_at: float = 0.0

    def add(self, news: Iterable[SpeedSum]) -> None:
        """Add news to those that are not sent yet."""
        for told in news:
            pending = self.pending_by_id.setdefault(
                told.endpoint_id, _Pending()
            )
            pending.weight += told.weight
            pending.weighted_log += told.weighted_log

    def take_all(self) -> list[SpeedSum]:
        """Return and remove all news, whatever the limit."""
        pending_by_id, self.pending_by_id = self.pending_by_id, {}
        return [
            SpeedSum.make(endpoint_id, pending.weight, pending.weighted_log)
            for endpoint_id, pending in pending_by_id.items()
        ]

    def pop(self, now: float) -> list[SpeedSum]:
        """Return and remove what may be sent now, surprises first."""
        passed = max(0.0, now - self.popped_at)
        self.popped_at = now
        self.allowance = min(
            MAX_SUMS, self.allowance + passed * SUMS_PER_SECOND
        )
        chosen = sorted(self.pending_by_id, key=self._surprise, reverse=True)
        sums = []
        for endpoint_id in chosen[: int(self.allowance)]:
            pending = self.pending_by_id.pop(endpoint_id)
            told = SpeedSum.make(
                endpoint_id, pending.weight, pending.weighted_log
            )
            if told.hundredths:
                mean = pending.weighted_log / pending.weight
                self.sent_mean_by_id[endpoint_id] = mean
                sums.append(told)
        self.allowance -= len(sums)
        return sums

    def _surprise(self, endpoint_id: str) -> float:
        pending = self.pending_by_id[endpoint_id]
        sent = self.sent_mean_by_id.get(endpoint_id, 0.0)
        difference = abs(pending.weighted_log - sent * pending.weight)
        return difference + _UNSURPRISING_FRACTION * pending.weight


class SpeedNews:
    """Takes this entry's observations, and passes on those of others.

    The three callables are set by the owner of the observations.
    """

    def __init__(self) -> None:
        """Create it without receivers."""
        self.pop_own: Callable[[], list[SpeedSum]] = list
        self.read_all: Callable[[], list[SpeedSum]] = list
        self.receive: Callable[[list[SpeedSum]], None] = _ignore
        self.is_informed = False
        self._own = SpeedOutbox()
        self._outboxes_by_receiver: dict[str, SpeedOutbox] = {}

    def pop_for_all(self, now: float) -> list[SpeedSum]:
        """Return this entry's own news, for receivers of all its reports."""
        self._own.add(self.pop_own())
        return self._own.pop(now)

    def record(
        self,
        source: str,
        news: list[SpeedSum],
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        """Use what a source told, and keep it for the other receivers.

        :param excluded: receivers that hear of it from others
        """
        if not news:
            return
        self.is_informed = True
        self.receive(news)
        self._add(news, excluded | {source})

    def pop_for(
        self, receiver: str, now: float, *, is_informed: bool = True
    ) -> list[SpeedSum]:
        """Return the news for one receiver, its own excepted.

        :param is_informed: whether it was told before; otherwise it is told
            all that is known
        """
        self._remove_silent(now)
        self._own.add(self.pop_own())
        self._add(self._own.take_all(), frozenset())
        if not is_informed or receiver not in self._outboxes_by_receiver:
            self._outboxes_by_receiver[receiver] = SpeedOutbox(popped_at=now)
        if not is_informed:
            return self.read_all()
        return self._outboxes_by_receiver[receiver].pop(now)

    def _add(self, news: list[SpeedSum], excluded: frozenset[str]) -> None:
        if not news:
            return
        for receiver, outbox in self._outboxes_by_receiver.items():
            if receiver not in excluded:
                outbox.add(news)

    def _remove_silent(self, now: float) -> None:
        silent = [
            receiver
            for receiver, outbox in self._outboxes_by_receiver.items()
            if now - outbox.popped_at > _KEEP_RECEIVER_SECONDS
        ]
        for receiver in silent:
            del self._outboxes_by_receiver[receiver]


def _ignore(news: list[SpeedSum]) -> None:
    """Ignore news; the default handler."""
