"""The route index of the configuration that is active on this VM."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Limits
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.ports import Clock
from burdockdrum.resources import Configuration
from burdockdrum.resources import RouteTableSpec

DEFAULT_LIMITS = Limits()
# Tables of which it is known when they came in force. An entry that has missed
# more is cut off.
MAX_KNOWN_GENERATIONS = 100
# What an entry takes from another one at least, which may have a higher limit
# already. The forwarding entry adds headers to those within its limit.
MIN_HOP_HEADER_BYTES = 64 * 1024
MIN_HOP_BODY_BYTES = 64 * 1024 * 1024
HOP_HEADER_FACTOR = 2
# Longer than the idle timeout of the connection pools, so that the entry that
# opened a connection closes it.
HOP_IDLE_SECONDS = 60.0


class ActiveRoutes:
    """Rebuilds the route index whenever the route table changes."""

    def __init__(
        self, *, clock: Clock, configuration: ConfigurationService
    ) -> None:
        """Subscribe to the configuration of this VM."""
        self._clock = clock
        self._in_force_since: dict[int, float] = {}
        self._largest_header_bytes = MIN_HOP_HEADER_BYTES
        self._largest_body_bytes = MIN_HOP_BODY_BYTES
        self.limits = DEFAULT_LIMITS
        self._configuration = configuration
        self._table: RouteTableSpec | None = None
        self._index: RouteIndex | None = None
        configuration.add_listener(self._apply)

    @property
    def index(self) -> RouteIndex | None:
        """Return the active routes, None while they are unknown."""
        return self._index if self._configuration.is_synced else None

    @property
    def hop_limits(self) -> Limits:
        """Return the limits on requests of other entries.

        They have read them within their own limits, which may be those before
        or after a change.
        """
        return Limits(
            header_bytes=self._largest_header_bytes,
            body_bytes=self._largest_body_bytes,
            idle_seconds=HOP_IDLE_SECONDS,
        )

    def home_regions_of(self, host: str) -> frozenset[str]:
        """Return the regions that any route of a host is restricted to."""
        return (
            self._index.home_regions_of(host) if self._index else frozenset()
        )

    def _apply(self, configuration: Configuration) -> None:
        table = configuration.route_table
        if table is self._table:
            return
        self._table = table
        if table is None:
            self._index = None
            return
        self._record_in_force(table.generation)
        self._index = RouteIndex(
            table=table, in_force_since=self._in_force_since
        )
        limits = table.limits
        self.limits = Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
        self._largest_header_bytes = max(
            self._largest_header_bytes, HOP_HEADER_FACTOR * limits.header_bytes
        )
        self._largest_body_bytes = max(
            self._largest_body_bytes, limits.body_bytes
        )

    def _record_in_force(self, generation: int) -> None:
        known = self._in_force_since
        known.setdefault(generation, self._clock.monotonic())
        if len(known) > MAX_KNOWN_GENERATIONS:
            known.pop(next(iter(known)))
