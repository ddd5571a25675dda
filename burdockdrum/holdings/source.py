"""The interface that queries endpoints for their prefix caches.

Deployments provide the implementation, as each engine has its own API.
"""

from dataclasses import dataclass
from typing import Protocol

from burdockdrum.registrations import RegisteredEndpoint


class HoldingsUnknown(Exception):
    """An endpoint did not answer, or its answer could not be decoded."""


@dataclass(frozen=True, kw_only=True)
class HeldEvents:
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
class HeldList:
    """A snapshot of an endpoint's prefix cache as of an event number."""

    epoch: int
    number: int
    tokens_by_part: dict[str, int]


class PrefixCacheSource(Protocol):
    """Queries endpoints for their prefix caches.

    ``is_there`` is whether this deployment's endpoints report them at all.
    """

    is_there: bool

    async def read_events(
        self, endpoint: RegisteredEndpoint, since: int
    ) -> HeldEvents:
        """Return the changes after an event; may wait for the next one.

        :raises HoldingsUnknown: if the endpoint gives no usable answer
        """
        ...

    async def read_list(self, endpoint: RegisteredEndpoint) -> HeldList:
        """Return a snapshot of an endpoint's prefix cache.

        :raises HoldingsUnknown: if the endpoint gives no usable answer
        """
        ...


class NullSource:
    """The source for endpoints that don't report their prefix caches."""

    is_there = False

    async def read_events(
        self, endpoint: RegisteredEndpoint, since: int
    ) -> HeldEvents:
        """Raise ``HoldingsUnknown``."""
        raise HoldingsUnknown("endpoints don't report their prefix caches")

    async def read_list(self, endpoint: RegisteredEndpoint) -> HeldList:
        """Raise ``HoldingsUnknown``."""
        raise HoldingsUnknown("endpoints don't report their prefix caches")
