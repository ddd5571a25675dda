"""The messages between endpoints and entry VMs, sent as JSON over HTTP."""

from typing import Literal

import msgspec

from burdockdrum.decoding import Int64

MAX_PREFIX = 2**64 - 1


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Registers an endpoint with one entry VM of its data centre.

    ``incarnation`` increases with each start at the same address. ``slots``
    is the number of requests that the endpoint runs at once. ``role`` tells
    whether it does prefill, decode or both. ``leaving`` is true for an
    endpoint that is draining; an entry VM that has restarted since the
    endpoint began to drain would otherwise send it new requests.
    ``versions`` are those of the model's weights, ``software_version`` is
    that of the program.
    """

    endpoint_id: str
    incarnation: Int64
    url: str
    service: str
    slots: Int64
    versions: list[str] = []
    adapters: list[str] = []
    role: Literal["both", "prefill", "decode"] = "both"
    checks_fencing: bool = False
    leaving: bool = False
    software_version: str = ""


class CacheEvent(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A prompt prefix, by its hash, that an engine has cached or evicted."""

    prefix: int
    stored: bool

    def __post_init__(self) -> None:
        """Check the range, which exceeds that of ``Int64``."""
        if not 0 <= self.prefix <= MAX_PREFIX:
            raise ValueError(f"prefix must be 0 to {MAX_PREFIX}")


class Report(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Reports an endpoint's load and renews its lease.

    ``sequence`` numbers the reports of one incarnation; a report that
    arrives out of order changes no figures. ``age_seconds`` is the age of
    the figures when they were sent. ``cache_sequence`` is the number of the
    last cache event in this report; with ``cache_complete`` the events list
    the whole content of the cache. ``leaving`` repeats that the endpoint is
    draining, for an entry VM that missed it.
    """

    incarnation: Int64
    sequence: Int64
    running: Int64 = 0
    waiting: Int64 = 0
    memory_used: float = 0.0
    age_seconds: float = 0.0
    cache_events: list[CacheEvent] = []
    cache_sequence: Int64 = 0
    cache_complete: bool = False
    versions: list[str] | None = None
    adapters: list[str] | None = None
    role: Literal["both", "prefill", "decode"] | None = None
    leaving: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an announcement or a report.

    ``known`` is false if the endpoint must announce itself again;
    ``resync`` requests the whole cache content in the next report.
    ``entries`` lists the entry VMs of the data centre in the answer to an
    announcement, so that the endpoint can switch to another one if its
    entry VM fails.
    """

    lease_seconds: float
    report_seconds: float
    known: bool = True
    resync: bool = False
    entries: list[str] = []
