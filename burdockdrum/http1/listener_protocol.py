"""What a server connection needs of its listener."""

from typing import Any
from typing import Protocol

from burdockdrum.http1.end_causes import EndCause
from burdockdrum.http1.heads import Headers
from burdockdrum.overload import ProcessLimits

# ``ServerConnection``, which imports this module.
ServedConnection = Any


class ListenerProtocol(Protocol):
    """The interface of a listener that its connections use."""

    draining: bool
    process_limits: ProcessLimits
    read_buffer: memoryview

    @property
    def header_bytes(self) -> int:
        """The maximum size of a request's head."""
        ...

    @property
    def body_bytes(self) -> int:
        """The maximum size of a request's body."""
        ...

    @property
    def header_seconds(self) -> float:
        """The timeout for receiving a complete request."""
        ...

    @property
    def idle_seconds(self) -> float:
        """The idle timeout of a connection."""
        ...

    def awake_seconds_since(self, at: float, /) -> float:
        """Return for how long this process has run since a time."""
        ...

    def describe_refusal(self, headers: Headers, /) -> Headers:
        """Return the headers of the refusal of a request that has not run."""
        ...

    def record_end(self, cause: EndCause, *, unanswered: int) -> None:
        """Record why a connection ends."""
        ...

    def add_connection(self, connection: ServedConnection, /) -> None:
        """Add an open connection."""
        ...

    def remove_connection(self, connection: ServedConnection, /) -> None:
        """Remove a connection that was closed."""
        ...
