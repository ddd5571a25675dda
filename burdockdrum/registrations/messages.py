"""Messages between control VMs and entries about endpoints and their loads.

The structs are encoded as arrays to save bytes; for compatibility, fields are
only ever added at the end.
"""

import enum
from typing import ClassVar

import msgspec

from burdockdrum.crashes import CrashRecord
from burdockdrum.peers import Message
from burdockdrum.registrations.incarnations import UNKNOWN_INCARNATION
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.team_work import TeamWork
from burdockdrum.software_versions import ServiceVersion


class RegistrationState(enum.Enum):
    """The state of one incarnation of an endpoint.

    ``UNREACHABLE`` endpoints have stopped checking in at a control VM, but may
    still serve: only their check-ins may be lost.
    ``EXPIRED`` ones are no longer known to a control VM. ``GONE`` is final.
    """

    READY = "ready"
    DRAINING = "leaving"
    UNREACHABLE = "silent"
    GONE = "gone"
    EXPIRED = "forgotten"


class Registration(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A check-in of one incarnation of an endpoint.

    ``endpoint_id`` differs for each incarnation (see ``incarnations``);
    ``name`` is the id that the endpoint reports, and ``incarnation`` its
    start time in milliseconds of its own clock, 0 if unknown. ``sequence``
    counts the check-ins of this incarnation. ``slow_start_seconds`` is the
    remaining slow start and ``seconds_left`` the time until the endpoint is
    removed, None if not planned; both count from when the message was sent.
    ``rate_limit`` is the number of requests per second that the endpoint
    announced to accept from all entries, None if unlimited, and
    ``rate_limit_age`` the age of that in seconds, None if never announced.
    ``max_rejections`` is how many requests it announced to tolerate to reject
    in a second, None if it is not brittle; of the same age.
    ``is_drain_announced`` says that it announced to drain in a response; then
    it is draining whatever its check-ins say. ``software_version`` is that of
    the program, not of a model's weights; empty if it has none.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    sequence: int
    state: RegistrationState
    slow_start_seconds: float = 0.0
    seconds_left: float | None = None
    name: str = ""
    incarnation: int = UNKNOWN_INCARNATION
    rate_limit: float | None = None
    rate_limit_age: float | None = None
    is_drain_announced: bool = False
    software_version: str = ""
    max_rejections: int | None = None

    @property
    def reported_id(self) -> str:
        """Return the id that the endpoint reports, over all incarnations."""
        return self.name or self.endpoint_id


class ServiceCapacity(msgspec.Struct, frozen=True, array_like=True):
    """The capacity and load of a service's endpoints in one region.

    ``software_versions`` are those of its endpoints that accept requests.
    """

    region: str
    service: str
    endpoints: int
    slots: int
    ranks: list[RankLoad]
    software_versions: list[str] = []


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """The bounds that an endpoint announced to an entry.

    ``requests_per_second`` and ``max_rejections``, the rejections that it
    tolerates in a second, are None if withdrawn. ``age`` is in seconds, and
    counts from when the message was sent.
    """

    endpoint_id: str
    requests_per_second: float | None
    age: float
    max_rejections: int | None = None


class Watch(Message, frozen=True, kw_only=True, array_like=True):
    """An entry polls a control VM for the registrations of its region.

    ``serial`` is the last change received from the control VM's incarnation
    ``epoch``. ``load_by_id`` is None if another entry reports the load. If
    ``is_acknowledgement``, the message only confirms received changes, and
    the control VM sends no answer. ``limits`` are those that the control VM
    doesn't know yet, and ``drains`` the ids of endpoints that announced to
    drain. ``sent_at_ms`` is in milliseconds by the entry's
    monotonic clock; ``roster_version`` is the last one received. ``crashes``
    are records that the control VM may not know, ``crash_serial`` is the last
    change of its own that the entry received, ``version_serial`` the last one
    of the software versions.
    """

    region: str
    epoch: int
    serial: int
    load_by_id: dict[str, list[RankLoad]] | None = None
    is_acknowledgement: bool = False
    limits: list[LimitNotice] = []
    sent_at_ms: int = 0
    roster_version: int = 0
    drains: list[str] = []
    crashes: list[CrashRecord] = []
    crash_serial: int = 0
    version_serial: int = 0


class PlacedPrefix(msgspec.Struct, frozen=True, array_like=True):
    """The prefix of a prompt that was sent to an endpoint.

    ``parts`` are the ids and tokens of its shared parts, in order.
    """

    endpoint_id: str
    parts: list[tuple[str, int]]


class SpeedSum(msgspec.Struct, frozen=True, array_like=True):
    """Samples of how much longer an endpoint takes than is typical.

    ``hundredths`` is the sum of their weights, in hundredths of a sample, and
    ``log_hundredths`` that of the weighted natural logarithms of the ratios.
    """

    endpoint_id: str
    hundredths: int
    log_hundredths: int

    @classmethod
    def make(
        cls, endpoint_id: str, weight: float, weighted_log: float
    ) -> "SpeedSum":
        """Return the rounded sum of samples."""
        return cls(endpoint_id, round(weight * 100), round(weighted_log * 100))

    @property
    def weight(self) -> float:
        """Return the sum of the samples' weights."""
        return self.hundredths / 100

    @property
    def weighted_log(self) -> float:
        """Return the sum of the weighted logarithms."""
        return self.log_hundredths / 100


class LoadReport(Message, frozen=True, kw_only=True, array_like=True):
    """An entry reports its load to other entries of its region.

    ``placed`` are the prefixes sent to endpoints since the last report. If
    ``wants_reply``, the receiver answers with a ``RegionLoad``. ``speeds``
    are observations since the last report. Unless ``knows_speeds``, the
    receiver answers with all that it knows.
    ``team_work`` is the work that teams requested of this entry and got.
    """

    wire_kind: ClassVar[str | None] = "registrations.LoadNotice"

    load_by_id: dict[str, list[RankLoad]]
    placed: list[PlacedPrefix] = []
    wants_reply: bool = False
    speeds: list[SpeedSum] = []
    knows_speeds: bool = True
    team_work: list[TeamWork] = []


class RegionLoad(Message, frozen=True, kw_only=True, array_like=True):
    """The aggregator's reply to a load report.

    ``load_by_id`` is the load of the region without what the requester
    itself reported; ``capacities`` cover all regions. ``speeds`` are the
    other entries' observations since the last reply.
    ``team_work`` is that of the region without the requester's.
    """

    load_by_id: dict[str, list[RankLoad]]
    placed: list[PlacedPrefix] = []
    capacities: list[ServiceCapacity] = []
    speeds: list[SpeedSum] = []
    team_work: list[TeamWork] = []


class DataCentreLoad(Message, frozen=True, kw_only=True, array_like=True):
    """The load of a data centre's entries, for other data centres.

    ``aggregator_address`` is that of the sending data centre. If
    ``is_forwarded``, an entry of the receiver's data centre has forwarded
    the message; it is forwarded at most once. ``speeds`` are observations of
    the data centre's entries since the last message.
    """

    data_centre: str
    aggregator_address: str
    load_by_id: dict[str, list[RankLoad]]
    placed: list[PlacedPrefix] = []
    is_forwarded: bool = False
    speeds: list[SpeedSum] = []
    team_work: list[TeamWork] = []


class RosterEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a region, with its address for messages."""

    vm_id: str
    address: str


class RegistrationUpdate(Message, frozen=True, kw_only=True, array_like=True):
    """The changes at a control VM after the serial ``base_serial``.

    An entry whose last serial is older has missed changes and polls again.
    ``region_entries`` and ``total_entries`` count the entries that may be
    alive, in this region and in all. ``revision`` is that of the
    configuration in force at the control VM. ``entries`` are the entries of
    the region, None if unchanged since the version that the entry reported;
    ``roster_version`` is 0 if the control VM may not know all of them yet.
    ``watch_sent_at_ms`` repeats ``sent_at_ms`` of the entry's last message.
    ``crashes`` are the records of crashes that were changed after the serial
    ``crash_base``, up to ``crash_serial``. ``versions`` are the software
    versions of services, None if the entry knows those of ``version_serial``;
    ``are_versions_complete`` says that the control VM has forgotten none.
    ``moved_to`` are the services that routes moved to lately.
    """

    wire_kind: ClassVar[str | None] = "registrations.Watched"

    epoch: int
    base_serial: int
    serial: int
    registrations: list[Registration] = []
    capacities: list[ServiceCapacity] | None = None
    region_entries: int = 0
    total_entries: int = 0
    revision: int = 0
    watch_sent_at_ms: int = 0
    roster_version: int = 0
    entries: list[RosterEntry] | None = None
    crashes: list[CrashRecord] = []
    crash_base: int = 0
    crash_serial: int = 0
    versions: list[ServiceVersion] | None = None
    version_serial: int = 0
    are_versions_complete: bool = False
    moved_to: list[str] = []
