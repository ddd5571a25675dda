"""The services that routes moved to a short time ago."""

from collections.abc import Callable
from collections.abc import Mapping

from burdockdrum.logs import log_decision
from burdockdrum.ports import Clock
from burdockdrum.software_versions import MEMORY_SECONDS


class RecentRouteMoves:
    """Lists the services that routes moved to within ``MEMORY_SECONDS``.

    The replicated state has no times, so that a move counts from when this
    VM first saw it. After a restart that is later than it was.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        read_revisions: Callable[[], Mapping[str, int]],
    ) -> None:
        """Create it.

        :param read_revisions: returns the revision at which a route last
            moved to each service
        """
        self._clock = clock
        self._read_revisions = read_revisions
        self._seen_at_by_move: dict[tuple[str, int], float] = {}

    def list_services(self) -> list[str]:
        """Return the services, sorted."""
        now = self._clock.monotonic()
        moves = self._read_revisions()
        new = moves.items() - self._seen_at_by_move.keys()
        if new:
            log_decision(
                "routes.moved",
                services=",".join(sorted(service for service, _ in new)),
                revision=max(revision for _, revision in new),
            )
        self._seen_at_by_move = {
            move: self._seen_at_by_move.get(move, now)
            for move in moves.items()
        }
        return sorted(
            service
            for (service, _), seen_at in self._seen_at_by_move.items()
            if now - seen_at < MEMORY_SECONDS
        )
