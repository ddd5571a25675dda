"""Which endpoints there are and what they last reported."""

from dataclasses import dataclass
from dataclasses import replace

from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

LEASE_SECONDS = 3.0
REPORT_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """What this VM knows of an endpoint.

    ``reported_at`` and ``lease_until`` are on this VM's monotonic clock.
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


class EndpointRegistry:
    """The endpoints of this data centre by id."""

    def __init__(self, *, clock: Clock, timeline: Timeline) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._timeline = timeline
        self.endpoints_by_id: dict[str, Endpoint] = {}

    def announce(self, announcement: Announcement) -> LeaseGrant:
        """Take in an endpoint that offers itself.

        An older incarnation than the one known is told that it is unknown.
        """
        known = self.endpoints_by_id.get(announcement.endpoint_id)
        if known is not None and known.incarnation > announcement.incarnation:
            return _grant(known=False)
        now = self._clock.monotonic()
        self.endpoints_by_id[announcement.endpoint_id] = Endpoint(
            endpoint_id=announcement.endpoint_id,
            incarnation=announcement.incarnation,
            url=announcement.url,
            service=announcement.service,
            slots=announcement.slots,
            versions=frozenset(announcement.versions),
            adapters=frozenset(announcement.adapters),
            role=announcement.role,
            checks_fencing=announcement.checks_fencing,
            running=0,
            waiting=0,
            memory_used=0.0,
            sequence=0,
            reported_at=now,
            lease_until=now + LEASE_SECONDS,
        )
        self._timeline.record(
            "endpoint.announced", endpoint_id=announcement.endpoint_id
        )
        return _grant(known=True)

    def report(self, endpoint_id: str, report: Report) -> LeaseGrant:
        """Renew an endpoint's lease and take its figures."""
        known = self.endpoints_by_id.get(endpoint_id)
        if known is None or known.incarnation != report.incarnation:
            return _grant(known=False)
        now = self._clock.monotonic()
        self.endpoints_by_id[endpoint_id] = replace(
            known,
            running=report.running,
            waiting=report.waiting,
            memory_used=report.memory_used,
            sequence=report.sequence,
            reported_at=now - report.age_seconds,
            lease_until=now + LEASE_SECONDS,
        )
        return _grant(known=True)

    def leave(self, endpoint_id: str, incarnation: int) -> None:
        """Give an endpoint no new work; its running work goes on."""
        known = self.endpoints_by_id.get(endpoint_id)
        if known is not None and known.incarnation == incarnation:
            self.endpoints_by_id[endpoint_id] = replace(known, leaving=True)
            self._timeline.record("endpoint.leaving", endpoint_id=endpoint_id)

    def candidates(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work."""
        now = self._clock.monotonic()
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.lease_until > now
        ]


def _grant(*, known: bool) -> LeaseGrant:
    return LeaseGrant(
        lease_seconds=LEASE_SECONDS,
        report_seconds=REPORT_SECONDS,
        known=known,
    )
