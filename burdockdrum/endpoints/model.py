"""The data of a registered endpoint."""

from dataclasses import dataclass
from typing import Literal

Role = Literal["both", "prefill", "decode"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A registered endpoint and its last report.

    ``reported_at``, ``lease_until`` and ``known_since`` are on this VM's
    monotonic clock; ``sequence`` is the number of its last report.
    ``versions`` are those of the weights, ``software_version`` is that of the
    program.
    Operators read the fields, by these names, from GET /v1/endpoints.
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
    software_version: str = ""
