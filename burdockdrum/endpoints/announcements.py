"""What an endpoint tells the system, as JSON over HTTP."""

from typing import Literal

import msgspec


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An endpoint that offers itself to one entry VM of its data centre.

    ``incarnation`` is larger for each start at the same address. ``slots``
    is how many requests it runs at once. ``role`` splits engines that only
    read prompts from those that only generate. ``leaving`` is for an endpoint
    that has announced that it leaves: an entry VM which was restarted since
    would otherwise take it for one that offers itself.
    """

    endpoint_id: str
    incarnation: int
    url: str
    service: str
    slots: int
    versions: list[str] = []
    adapters: list[str] = []
    role: Literal["both", "prefill", "decode"] = "both"
    checks_fencing: bool = False
    leaving: bool = False


class CacheEvent(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A prompt prefix that an engine stored or dropped, by its hash."""

    prefix: int
    stored: bool


class Report(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An endpoint's load; a report renews its lease.

    ``sequence`` counts reports of one incarnation, so that gaps show and a
    late report changes nothing. ``age_seconds`` is how old the figures were
    when they were sent. ``cache_sequence`` counts the engine's cache events
    up to the last one of this report; with ``cache_complete`` the events
    name all that the cache holds. ``leaving`` repeats that the endpoint
    wants no new work, for an entry VM that missed it.
    """

    incarnation: int
    sequence: int
    running: int = 0
    waiting: int = 0
    memory_used: float = 0.0
    age_seconds: float = 0.0
    cache_events: list[CacheEvent] = []
    cache_sequence: int = 0
    cache_complete: bool = False
    versions: list[str] | None = None
    adapters: list[str] | None = None
    role: Literal["both", "prefill", "decode"] | None = None
    leaving: bool = False


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an announcement or a report.

    ``known`` is false when the endpoint has to announce itself again;
    ``resync`` asks for the whole cache content in the next report.
    ``entries`` are the entry VMs of the data centre, in the answer to an
    announcement: the endpoint goes on to another one when its own fails.
    """

    lease_seconds: float
    report_seconds: float
    known: bool = True
    resync: bool = False
    entries: list[str] = []
