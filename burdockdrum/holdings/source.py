"""The interface that queries endpoints for their prefix caches.

Deployments provide the implementation, as each engine has its own API.
"""

from dataclasses import dataclass
from typing import Protocol

from burdockdrum.registrations import RegisteredEndpoint


class PrefixCacheUnavailable(Exception):
    """An endpoint did not answer, or its answer could not be decoded."""


@dataclass(frozen=True, kw_only=True)
class PrefixCacheEvents:
    """The changes of an endpoint's prefix cache since an event.

    ``epoch`` changes when the endpoint restarts; ``number`` is that of the
    last event. ``has_gap`` means that events were lost. ``tokens_by_part``
    has the tokens now cached of each part that changed.
    """

    epoch: int
    number: int
    has_gap: bool
    tokens_by_part: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class PrefixCacheSnapshot:
    """A snapshot of an endpoint's prefix cache as of an event number."""

    epoch: int
    number: int
    tokens_by_part: dict[str, int]


class PrefixCacheSource(Protocol):
    """Queries endpoints for their prefix caches.

    ``is_available`` is whether this deployment's endpoints report them at all.
    """

    is_available: bool

    async def read_events(
        self, endpoint: RegisteredEndpoint, since: int
    ) -> PrefixCacheEvents:
        """Return the changes after an event; may wait for the next one.

        :raises PrefixCacheUnavailable: if the endpoint gives no usable answer
        """
        ...

    async def read_snapshot(
        self, endpoint: RegisteredEndpoint
    ) -> PrefixCacheSnapshot:
        """Return a snapshot of an endpoint's prefix cache.

        :raises PrefixCacheUnavailable: if the endpoint gives no usable answer
        """
        ...


class NullSource:
    """The source for endpoints that don't report their prefix caches."""

    is_available = False

    async def read_events(
        self, endpoint: RegisteredEndpoint, since: int
    ) -> PrefixCacheEvents:
        """Raise ``PrefixCacheUnavailable``."""
        raise PrefixCacheUnavailable(
            "endpoints don't report their prefix caches"
        )

    async def read_snapshot(
        self, endpoint: RegisteredEndpoint
    ) -> PrefixCacheSnapshot:
        """Raise ``PrefixCacheUnavailable``."""
        raise PrefixCacheUnavailable(
            "endpoints don't report their prefix caches"
        )
