"""Orders as sent to endpoints in JSON over HTTP, and planned orders."""

from dataclasses import dataclass
import enum
from typing import Literal

import msgspec

from burdockdrum.endpoints import Endpoint

OrderKind = Literal["load_version", "load_adapter", "unload_adapter"]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to an endpoint, sent by POST to ``URL/orders``.

    A repeated order has the same ``order_id``, even from another lease
    holder, so that the endpoint executes it once.
    """

    order_id: str
    kind: OrderKind
    value: str
    fencing_number: int


@dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """An order that brings an endpoint closer to its desired state."""

    endpoint: Endpoint
    kind: OrderKind
    value: str
    checks_fencing: bool

    @property
    def loads_weights(self) -> bool:
        """Return whether the endpoint will load from the weight store."""
        return self.kind in ("load_version", "load_adapter")

    @property
    def is_disruptive(self) -> bool:
        """Return whether it reduces the capacity of a serving endpoint."""
        return self.kind == "load_version" and has_loaded_version(
            self.endpoint
        )


class OrderOutcome(enum.Enum):
    """The outcome of sending an order."""

    ACCEPTED = "taken"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


def has_loaded_version(endpoint: Endpoint) -> bool:
    """Return whether an endpoint has any version loaded."""
    return bool(endpoint.versions)
