"""The registry of endpoints and of their last reports.

An endpoint reports to one entry VM, its reporter, which publishes a copy to
the others. For each endpoint the copy with the highest incarnation and report
sequence is used, so an endpoint can switch to another reporter at any time.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.endpoints.damping import FlapDamping
from burdockdrum.endpoints.model import Endpoint
from burdockdrum.endpoints.prefix_cache import PrefixCache
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

LEASE_SECONDS = 3.0
REPORT_INTERVAL_SECONDS = 0.5
# From this number of endpoints on, they report less often, to limit the
# requests to entry VMs; one stale report matters less among many endpoints.
SLOW_REPORT_MIN_ENDPOINTS = 40
SLOW_REPORT_INTERVAL_SECONDS = 1.0
# Lease of the copy of an unreachable VM. It must be long enough for a live
# endpoint to switch to another reporter.
COPY_LEASE_SECONDS = 6.0
LOCAL = ""
MAX_REMEMBERED_INCARNATIONS = 4096


class EndpointRegistry:
    """The endpoints of this data centre, by id."""

    def __init__(self, *, clock: Clock, timeline: Timeline) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._timeline = timeline
        self.endpoints_by_id: dict[str, Endpoint] = {}
        self.entries: Callable[[], list[str]] = list
        self._copies_by_id: dict[str, dict[str, Endpoint]] = {}
        self._id_by_url: dict[str, str] = {}
        self._caches_by_id: dict[str, PrefixCache] = {}
        self._damping = FlapDamping()
        self._listeners: list[Callable[[], None]] = []
        # The newest incarnation by address, and the drained incarnation by
        # id: delayed messages must not restore an old incarnation.
        self._newest_by_url: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._drained_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call as endpoints appear, drain or vanish."""
        self._listeners.append(listener)

    def announce(self, announcement: Announcement) -> LeaseGrant:
        """Register an endpoint.

        An incarnation older than the known one is not registered.
        """
        if self._is_outdated(
            announcement.endpoint_id,
            announcement.url,
            announcement.incarnation,
        ):
            return self._grant(known=False)
        now = self._clock.monotonic()
        known = self.endpoints_by_id.get(announcement.endpoint_id)
        same = (
            known
            if _has_incarnation(known, announcement.incarnation)
            else None
        )
        endpoint = Endpoint(
            endpoint_id=announcement.endpoint_id,
            incarnation=announcement.incarnation,
            url=announcement.url,
            service=announcement.service,
            slots=announcement.slots,
            versions=frozenset(announcement.versions),
            adapters=frozenset(announcement.adapters),
            role=announcement.role,
            checks_fencing=announcement.checks_fencing,
            running=same.running if same else 0,
            waiting=same.waiting if same else 0,
            memory_used=same.memory_used if same else 0.0,
            sequence=same.sequence if same else 0,
            reported_at=now,
            lease_until=now + LEASE_SECONDS,
            software_version=announcement.software_version,
        )
        self.store_copy(LOCAL, endpoint)
        if announcement.leaving:
            self.start_draining(
                announcement.endpoint_id, announcement.incarnation
            )
        self._timeline.record(
            "endpoint.announced", endpoint_id=announcement.endpoint_id
        )
        self._notify_listeners()
        return self._grant(known=True, entries=self.entries())

    def report(self, endpoint_id: str, report: Report) -> LeaseGrant:
        """Renew an endpoint's lease and update its load."""
        known = self.endpoints_by_id.get(endpoint_id)
        if known is None or known.incarnation != report.incarnation:
            return self._grant(known=False)
        now = self._clock.monotonic()
        local = self._copies_by_id[endpoint_id].get(LOCAL)
        if report.sequence < known.sequence:
            # A report out of order, or one of a restarted sequence.
            renewed = replace(local or known, lease_until=now + LEASE_SECONDS)
            self.store_copy(LOCAL, renewed)
            return self._grant(known=True)
        endpoint = replace(
            known,
            running=report.running,
            waiting=report.waiting,
            memory_used=report.memory_used,
            sequence=report.sequence,
            reported_at=now - report.age_seconds,
            lease_until=now + LEASE_SECONDS,
            versions=_reported_or_known(report.versions, known.versions),
            adapters=_reported_or_known(report.adapters, known.adapters),
            role=report.role or known.role,
        )
        self.store_copy(LOCAL, endpoint)
        if report.leaving:
            self.start_draining(endpoint_id, report.incarnation)
        resync = self.get_cache(endpoint_id).apply_report(report)
        return self._grant(known=True, resync=resync)

    def start_draining(self, endpoint_id: str, incarnation: int) -> None:
        """Start draining: running requests finish, no new ones are sent."""
        if self._drained_by_id.get(endpoint_id, -1) >= incarnation:
            return
        self._drained_by_id[endpoint_id] = incarnation
        _trim(self._drained_by_id)
        known = self.endpoints_by_id.get(endpoint_id)
        if not _has_incarnation(known, incarnation):
            return
        assert known is not None
        if LOCAL not in self._copies_by_id[endpoint_id]:
            # Its reporter may have missed it, so this VM publishes it too.
            lease = self._clock.monotonic() + LEASE_SECONDS
            self.store_copy(LOCAL, replace(known, lease_until=lease))
        self._merge(endpoint_id)
        self._timeline.record("endpoint.leaving", endpoint_id=endpoint_id)
        self._notify_listeners()

    def candidates(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests.

        Endpoints suppressed for flapping are only returned if there is no
        other.
        """
        now = self._clock.monotonic()
        live = [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.lease_until > now
        ]
        not_suppressed = [
            e for e in live if not self._damping.is_suppressed(e.url, now)
        ]
        return not_suppressed or live

    def is_suppressed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is suppressed for flapping."""
        return self._damping.is_suppressed(
            endpoint.url, self._clock.monotonic()
        )

    def get_cache(self, endpoint_id: str) -> PrefixCache:
        """Return the known content of an endpoint's prefix cache."""
        cache = self._caches_by_id.get(endpoint_id)
        if cache is None:
            cache = self._caches_by_id[endpoint_id] = PrefixCache()
        return cache

    def local_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that report to this VM."""
        return [
            copies[LOCAL]
            for copies in self._copies_by_id.values()
            if LOCAL in copies
        ]

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint is draining."""
        drained = self._drained_by_id.get(endpoint.endpoint_id, -1)
        return drained >= endpoint.incarnation

    def get_copy(self, vm_id: str, endpoint_id: str) -> Endpoint | None:
        """Return a VM's copy of an endpoint, if there is one."""
        return self._copies_by_id.get(endpoint_id, {}).get(vm_id)

    def store_copy(self, vm_id: str, endpoint: Endpoint) -> None:
        """Store a VM's copy of an endpoint; ``LOCAL`` is this VM."""
        name, url = endpoint.endpoint_id, endpoint.url
        if self._is_outdated(name, url, endpoint.incarnation):
            return
        self._newest_by_url[url] = endpoint.incarnation
        self._newest_by_url.move_to_end(url)
        _trim(self._newest_by_url)
        other = self._id_by_url.get(url)
        if other is not None and other != name:
            if not self._replaces(endpoint, other):
                return
            self._remove(other, "endpoint.replaced")
        self._id_by_url[url] = name
        copies = self._copies_by_id.setdefault(name, {})
        for source, copy in list(copies.items()):
            if copy.incarnation < endpoint.incarnation:
                del copies[source]
        copies[vm_id] = endpoint
        self._merge(name)

    def remove_copy(self, vm_id: str, endpoint_id: str) -> None:
        """Remove a VM's copy of an endpoint."""
        copies = self._copies_by_id.get(endpoint_id)
        if copies is not None and copies.pop(vm_id, None) is not None:
            self._merge(endpoint_id)

    def prune(self) -> None:
        """Remove the copies whose lease has expired."""
        now = self._clock.monotonic()
        for endpoint_id, copies in list(self._copies_by_id.items()):
            for vm_id, copy in list(copies.items()):
                if copy.lease_until <= now:
                    self.remove_copy(vm_id, endpoint_id)

    def _merge(self, endpoint_id: str) -> None:
        copies = self._copies_by_id.get(endpoint_id)
        if not copies:
            self._remove(endpoint_id, "endpoint.gone")
            return
        source, best = max(
            copies.items(),
            key=lambda item: (item[1].sequence, item[1].lease_until),
        )
        known = self.endpoints_by_id.get(endpoint_id)
        if known is not None and known.incarnation == best.incarnation:
            since = known.known_since
        else:
            since = self._clock.monotonic()
            self._handle_new_incarnation(best)
        merged = (
            self.is_draining(best),
            since,
            max(copy.lease_until for copy in copies.values()),
        )
        if merged != (best.leaving, best.known_since, best.lease_until):
            draining, since, lease_until = merged
            best = replace(
                best,
                leaving=draining,
                known_since=since,
                lease_until=lease_until,
            )
            if len(copies) == 1:
                copies[source] = best
        self.endpoints_by_id[endpoint_id] = best

    def _handle_new_incarnation(self, endpoint: Endpoint) -> None:
        self._caches_by_id.pop(endpoint.endpoint_id, None)
        suppression = self._damping.record_return(
            endpoint.url, self._clock.monotonic()
        )
        if suppression:
            self._timeline.record(
                "endpoint.held",
                endpoint_id=endpoint.endpoint_id,
                seconds=suppression,
            )

    def _remove(self, endpoint_id: str, event: str) -> None:
        self._copies_by_id.pop(endpoint_id, None)
        self._caches_by_id.pop(endpoint_id, None)
        known = self.endpoints_by_id.pop(endpoint_id, None)
        if known is None:
            return
        if self._id_by_url.get(known.url) == endpoint_id:
            del self._id_by_url[known.url]
        self._timeline.record(event, endpoint_id=endpoint_id)
        self._notify_listeners()

    def _is_outdated(
        self, endpoint_id: str, url: str, incarnation: int
    ) -> bool:
        known = self.endpoints_by_id.get(endpoint_id)
        newest = self._newest_by_url.get(url, -1)
        if known is not None:
            newest = max(newest, known.incarnation)
        return incarnation < newest

    def _replaces(self, endpoint: Endpoint, other_id: str) -> bool:
        # Two ids at one address with the same incarnation are an error of
        # the endpoint. Comparing the ids makes all VMs select the same one.
        other = self.endpoints_by_id[other_id]
        new = (endpoint.incarnation, endpoint.endpoint_id)
        return new > (other.incarnation, other_id)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _report_interval(self) -> float:
        if len(self.endpoints_by_id) < SLOW_REPORT_MIN_ENDPOINTS:
            return REPORT_INTERVAL_SECONDS
        return SLOW_REPORT_INTERVAL_SECONDS

    def _grant(
        self,
        *,
        known: bool,
        resync: bool = False,
        entries: Iterable[str] = (),
    ) -> LeaseGrant:
        return LeaseGrant(
            lease_seconds=LEASE_SECONDS,
            report_seconds=self._report_interval(),
            known=known,
            resync=resync,
            entries=list(entries),
        )


def _has_incarnation(endpoint: Endpoint | None, incarnation: int) -> bool:
    return endpoint is not None and endpoint.incarnation == incarnation


def _reported_or_known(
    reported: list[str] | None, known: frozenset[str]
) -> frozenset[str]:
    return known if reported is None else frozenset(reported)


def _trim(ordered: collections.OrderedDict) -> None:
    while len(ordered) > MAX_REMEMBERED_INCARNATIONS:
        ordered.popitem(last=False)
