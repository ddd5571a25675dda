"""A budget for the memory that the requests of all connections hold."""

from collections.abc import Callable

from burdockdrum.logs import log_failure

# What a header holds besides its bytes: a tuple, its place in a list and two
# byte strings.
HEADER_OVERHEAD_BYTES = 160
# Requests up to this size may use the whole budget, larger ones only a part
# of it, so that large bodies leave room for ordinary callers.
SMALL_REQUEST_BYTES = 64 * 1024
LARGE_FRACTION = 0.75
# Shedding frees more than is needed at once, as it looks at all connections.
SHED_FRACTION = 1 / 16


class Reservation:
    """What one connection holds of a budget, in bytes."""

    def __init__(
        self, *, budget: "MemoryBudget", shed: Callable[[], None]
    ) -> None:
        """Create an empty reservation.

        :param shed: gives up the incomplete request, and resizes this
            reservation before it returns
        """
        self.size = 0
        # The part that belongs to a request which has not arrived completely.
        self.incomplete = 0
        self.shed = shed
        self._budget = budget

    def resize(self, size: int, *, incomplete: int = 0) -> bool:
        """Change the size; return False if there is no room for more.

        A size that is refused does not change the reservation.

        :param incomplete: the part that ``shed`` would release
        """
        if not self._budget.admit(self, size):
            return False
        self._budget.apply(self, size, incomplete)
        return True

    def release(self) -> None:
        """Give everything back."""
        self._budget.apply(self, 0, 0)


class MemoryBudget:
    """Bounds the sum of all reservations.

    When it is used up, the incomplete requests that hold the most are shed
    for a smaller one. A request that is large alone is always admitted.
    """

    def __init__(self, *, limit: int) -> None:
        """Create a budget of a number of bytes."""
        self.limit = limit
        self.used = 0
        self.shed_count = 0
        self.refused_count = 0
        self._incomplete: set[Reservation] = set()
        self._large: set[Reservation] = set()

    def admit(self, reservation: Reservation, size: int) -> bool:
        """Return whether a reservation may have a size; may shed others."""
        growth = size - reservation.size
        if growth <= 0:
            return True
        is_large = size > SMALL_REQUEST_BYTES
        limit = int(self.limit * LARGE_FRACTION) if is_large else self.limit
        missing = self.used + growth - limit
        if missing <= 0:
            return True
        self._shed(missing, reservation, size)
        if self.used + growth <= limit:
            return True
        if is_large and self._large <= {reservation}:
            return True
        self.refused_count += 1
        log_failure(
            "memory.refused", size=size, used=self.used, limit=self.limit
        )
        return False

    def apply(
        self, reservation: Reservation, size: int, incomplete: int
    ) -> None:
        """Record the new size of a reservation."""
        self.used += size - reservation.size
        reservation.size = size
        reservation.incomplete = incomplete
        if incomplete:
            self._incomplete.add(reservation)
        else:
            self._incomplete.discard(reservation)
        if size > SMALL_REQUEST_BYTES:
            self._large.add(reservation)
        else:
            self._large.discard(reservation)

    def _shed(self, missing: int, requester: Reservation, size: int) -> None:
        """Shed larger requests than the one that asks, the largest first."""
        larger = [
            other
            for other in self._incomplete
            if other.incomplete > size and other is not requester
        ]
        larger.sort(key=lambda other: other.incomplete, reverse=True)
        target = self.used - missing - int(self.limit * SHED_FRACTION)
        for other in larger:
            if self.used <= target:
                return
            log_failure(
                "memory.shed",
                size=other.incomplete,
                used=self.used,
                limit=self.limit,
            )
            self.shed_count += 1
            other.shed()
