"""Rate limit of the loads that a data centre starts from the weight store."""

from burdockdrum.ports import Clock

SECONDS_PER_MINUTE = 60.0


class WeightLoadLimiter:
    """A token bucket of weight loads, with an equal share per data centre.

    It starts empty, so that a new lease holder cannot exceed the limit with
    tokens that the previous holder has spent. Its capacity is one token, so
    that no burst follows a pause.
    """

    def __init__(self, *, clock: Clock, loads_per_minute: float) -> None:
        """Create an empty bucket.

        :param loads_per_minute: rate limit of the weight store, which all
            data centres share
        """
        self._clock = clock
        self._loads_per_minute = loads_per_minute
        self._max_data_centres = 1
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def reset(self) -> None:
        """Empty the bucket; another VM may have used the share meanwhile."""
        self._tokens = 0.0
        self._refilled_at = self._clock.monotonic()

    def record_data_centres(self, count: int) -> None:
        """Update the number of data centres that share the store.

        The maximum ever seen counts, because data centres that are
        unreachable may still load.
        """
        self._refill()
        self._max_data_centres = max(self._max_data_centres, count)

    def try_acquire(self) -> bool:
        """Consume a token; return whether there was one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        if self._refilled_at is not None:
            share = (
                self._loads_per_minute
                / self._max_data_centres
                / SECONDS_PER_MINUTE
            )
            gained = (now - self._refilled_at) * share
            self._tokens = min(1.0, self._tokens + gained)
        self._refilled_at = now
