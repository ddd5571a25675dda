"""The index of the route table in force on this VM."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Limits
from burdockdrum.passthrough.table import RouteIndex
from burdockdrum.resources import Configuration
from burdockdrum.resources import RouteTableSpec

DEFAULT_LIMITS = Limits()


class RoutesInForce:
    """Index each table once, when it comes into force."""

    def __init__(self, *, configuration: ConfigurationService) -> None:
        """Follow the configuration of this VM."""
        self.limits = DEFAULT_LIMITS
        self._configuration = configuration
        self._table: RouteTableSpec | None = None
        self._index: RouteIndex | None = None
        configuration.add_listener(self._take)

    @property
    def index(self) -> RouteIndex | None:
        """Return the routes to serve by, None while they are not known."""
        return self._index if self._configuration.known else None

    def homes_of(self, host: str) -> frozenset[str]:
        """Return the regions that some route of a host is kept to."""
        return self._index.homes_of(host) if self._index else frozenset()

    def _take(self, configuration: Configuration) -> None:
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
