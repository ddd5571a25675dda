"""The route index of the configuration that is active on this VM."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Limits
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.resources import Configuration
from burdockdrum.resources import RouteTableSpec

DEFAULT_LIMITS = Limits()


class ActiveRoutes:
    """Rebuilds the route index whenever the route table changes."""

    def __init__(self, *, configuration: ConfigurationService) -> None:
        """Subscribe to the configuration of this VM."""
        self.limits = DEFAULT_LIMITS
        self._configuration = configuration
        self._table: RouteTableSpec | None = None
        self._index: RouteIndex | None = None
        configuration.add_listener(self._apply)

    @property
    def index(self) -> RouteIndex | None:
        """Return the active routes, None while they are unknown."""
        return self._index if self._configuration.is_synced else None

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
        self._index = RouteIndex(table=table)
        limits = table.limits
        self.limits = Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
