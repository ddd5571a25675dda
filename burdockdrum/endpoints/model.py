"""An endpoint as this VM knows it."""

from dataclasses import dataclass
from typing import Literal

Role = Literal["both", "prefill", "decode"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """What this VM knows of an endpoint.

    ``reported_at``, ``lease_until`` and ``known_since`` are on this VM's
    monotonic clock; ``sequence`` is the endpoint's own count of reports.
    """

    endpoint_id: str
    incarnation: int
    url: str
    service: str
    slots: int
    versions: frozenset[str]
    adapters: frozenset[str]
    role: str
    checks_fencing: bool
    running: int
    waiting: int
    memory_used: float
    sequence: int
    reported_at: float
    lease_until: float
    leaving: bool = False
    known_since: float = 0.0
