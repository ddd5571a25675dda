"""Orders to endpoints, as JSON over HTTP, and what is planned."""

from dataclasses import dataclass
import enum
from typing import Literal

import msgspec

from burdockdrum.endpoints import Endpoint

Kind = Literal["load_version", "load_adapter", "unload_adapter"]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint is told to do, by POST to ``URL/orders``.

    ``order_id`` is the same for the same wish, so that an endpoint that
    gets it twice, also from two holders of the lease, acts on it once.
    """

    order_id: str
    kind: Kind
    value: str
    fencing_number: int


@dataclass(frozen=True, kw_only=True)
class Planned:
    """One step towards the desired state of a service."""

    endpoint: Endpoint
    kind: Kind
    value: str
    checks_fencing: bool

    @property
    def loads_weights(self) -> bool:
        """Say whether the endpoint will fetch from the weight store."""
        return self.kind in ("load_version", "load_adapter")

    @property
    def disturbs(self) -> bool:
        """Say whether the endpoint serves less while it acts on it."""
        return self.kind == "load_version" and is_warm(self.endpoint)


class OrderOutcome(enum.Enum):
    """What came of sending an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


def is_warm(endpoint: Endpoint) -> bool:
    """Say whether an endpoint has anything loaded to serve with."""
    return bool(endpoint.versions)
