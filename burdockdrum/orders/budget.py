"""This data centre's share of the weight store's rate limit."""

from burdockdrum.ports import Clock

MINUTE_SECONDS = 60.0


class WeightBudget:
    """A token bucket of loads that starts empty and holds one.

    It starts empty because a holder of the lease does not know what the
    one before spent: however often the lease changes hands, no more than
    the share is spent. It holds one, so that a pause saves up no burst.
    """

    def __init__(self, *, clock: Clock, loads_a_minute: float) -> None:
        """Create an empty bucket.

        :param loads_a_minute: what the store gives to all data centres
        """
        self._clock = clock
        self._total = loads_a_minute
        self._most_data_centres = 1
        self._tokens = 0.0
        self._filled_at: float | None = None

    def reset(self) -> None:
        """Empty the bucket: another VM may have spent in the meantime."""
        self._tokens = 0.0
        self._filled_at = self._clock.monotonic()

    def note_data_centres(self, count: int) -> None:
        """Take in how many data centres share the store.

        The largest number ever seen counts: those behind a cut go on
        loading.
        """
        self._fill()
        self._most_data_centres = max(self._most_data_centres, count)

    def take(self) -> bool:
        """Spend one load if there is one."""
        self._fill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self) -> None:
        now = self._clock.monotonic()
        if self._filled_at is not None:
            share = self._total / self._most_data_centres / MINUTE_SECONDS
            gained = (now - self._filled_at) * share
            self._tokens = min(1.0, self._tokens + gained)
        self._filled_at = now
