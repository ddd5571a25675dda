"""Which endpoints there are and what they last reported.

An endpoint talks to one entry VM, its reporter, which passes it on. So a VM
holds copies: its own of endpoints that talk to it, and those of other VMs.
For each endpoint the copy with the highest incarnation, then the highest
report sequence counts; an endpoint that moves to another reporter is
followed without a break.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.endpoints.cache import PrefixCache
from burdockdrum.endpoints.damping import Damping
from burdockdrum.endpoints.model import Endpoint
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

LEASE_SECONDS = 3.0
REPORT_SECONDS = 0.5
# From so many endpoints on they report less often: each report is a request
# to an entry VM, and with many endpoints one stale figure matters less.
MANY_ENDPOINTS = 40
REPORT_SECONDS_OF_MANY = 1.0
# How long the copy of another VM counts once that VM is silent: the time
# in which a live endpoint has found another reporter.
COPY_LEASE_SECONDS = 6.0
OWN = ""
MAX_ENDED = 4096


class EndpointRegistry:
    """The endpoints of this data centre by id."""

    def __init__(self, *, clock: Clock, timeline: Timeline) -> None:
        """Create an empty registry."""
        self._clock = clock
        self._timeline = timeline
        self.endpoints_by_id: dict[str, Endpoint] = {}
        self.entries: Callable[[], list[str]] = list
        self._copies_by_id: dict[str, dict[str, Endpoint]] = {}
        self._id_by_url: dict[str, str] = {}
        self._caches_by_id: dict[str, PrefixCache] = {}
        self._damping = Damping()
        self._listeners: list[Callable[[], None]] = []
        # The newest incarnation by address, and the incarnations that left:
        # late messages of an old one must not bring it back.
        self._newest_by_url: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._left_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when endpoints appear, leave or vanish here."""
        self._listeners.append(listener)

    def announce(self, announcement: Announcement) -> LeaseGrant:
        """Take in an endpoint that offers itself.

        An older incarnation than the one known is told that it is unknown.
        """
        if self._is_outdated(
            announcement.endpoint_id,
            announcement.url,
            announcement.incarnation,
        ):
            return self._grant(known=False)
        now = self._clock.monotonic()
        known = self.endpoints_by_id.get(announcement.endpoint_id)
        same = known if _is_same(known, announcement.incarnation) else None
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
        )
        self.take_copy(OWN, endpoint)
        if announcement.leaving:
            self.leave(announcement.endpoint_id, announcement.incarnation)
        self._timeline.record(
            "endpoint.announced", endpoint_id=announcement.endpoint_id
        )
        self._tell()
        return self._grant(known=True, entries=self.entries())

    def report(self, endpoint_id: str, report: Report) -> LeaseGrant:
        """Renew an endpoint's lease and take its figures."""
        known = self.endpoints_by_id.get(endpoint_id)
        if known is None or known.incarnation != report.incarnation:
            return self._grant(known=False)
        now = self._clock.monotonic()
        own = self._copies_by_id[endpoint_id].get(OWN)
        if report.sequence < known.sequence:
            # A report that was overtaken, or one of a restarted count.
            renewed = replace(own or known, lease_until=now + LEASE_SECONDS)
            self.take_copy(OWN, renewed)
            return self._grant(known=True)
        endpoint = replace(
            known,
            running=report.running,
            waiting=report.waiting,
            memory_used=report.memory_used,
            sequence=report.sequence,
            reported_at=now - report.age_seconds,
            lease_until=now + LEASE_SECONDS,
            versions=_choose(report.versions, known.versions),
            adapters=_choose(report.adapters, known.adapters),
            role=report.role or known.role,
        )
        self.take_copy(OWN, endpoint)
        if report.leaving:
            self.leave(endpoint_id, report.incarnation)
        resync = self.cache_of(endpoint_id).take_report(report)
        return self._grant(known=True, resync=resync)

    def leave(self, endpoint_id: str, incarnation: int) -> None:
        """Give an endpoint no new work; its running work goes on."""
        if self._left_by_id.get(endpoint_id, -1) >= incarnation:
            return
        self._left_by_id[endpoint_id] = incarnation
        _trim(self._left_by_id)
        known = self.endpoints_by_id.get(endpoint_id)
        if not _is_same(known, incarnation):
            return
        assert known is not None
        if OWN not in self._copies_by_id[endpoint_id]:
            # Its reporter may have missed it: this VM tells it on as well.
            lease = self._clock.monotonic() + LEASE_SECONDS
            self.take_copy(OWN, replace(known, lease_until=lease))
        self._merge(endpoint_id)
        self._timeline.record("endpoint.leaving", endpoint_id=endpoint_id)
        self._tell()

    def candidates(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work.

        Those held back for flapping are left out unless there is no other.
        """
        now = self._clock.monotonic()
        live = [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
            and not endpoint.leaving
            and endpoint.lease_until > now
        ]
        steady = [e for e in live if not self._damping.is_held(e.url, now)]
        return steady or live

    def is_held(self, endpoint: Endpoint) -> bool:
        """Say whether an endpoint is held back for flapping."""
        return self._damping.is_held(endpoint.url, self._clock.monotonic())

    def cache_of(self, endpoint_id: str) -> PrefixCache:
        """Return what is known of an endpoint's prefix cache."""
        cache = self._caches_by_id.get(endpoint_id)
        if cache is None:
            cache = self._caches_by_id[endpoint_id] = PrefixCache()
        return cache

    def own_endpoints(self) -> list[Endpoint]:
        """Return the endpoints whose reporter this VM is."""
        return [
            copies[OWN]
            for copies in self._copies_by_id.values()
            if OWN in copies
        ]

    def has_left(self, endpoint: Endpoint) -> bool:
        """Say whether this incarnation of an endpoint wants no new work."""
        left = self._left_by_id.get(endpoint.endpoint_id, -1)
        return left >= endpoint.incarnation

    def copy_of(self, vm_id: str, endpoint_id: str) -> Endpoint | None:
        """Return what a VM is known to know of an endpoint."""
        return self._copies_by_id.get(endpoint_id, {}).get(vm_id)

    def take_copy(self, vm_id: str, endpoint: Endpoint) -> None:
        """Take in what a VM knows of an endpoint; ``OWN`` is this VM."""
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
            self._forget(other, "endpoint.replaced")
        self._id_by_url[url] = name
        copies = self._copies_by_id.setdefault(name, {})
        for source, copy in list(copies.items()):
            if copy.incarnation < endpoint.incarnation:
                del copies[source]
        copies[vm_id] = endpoint
        self._merge(name)

    def drop_copy(self, vm_id: str, endpoint_id: str) -> None:
        """Forget what a VM knew of an endpoint."""
        copies = self._copies_by_id.get(endpoint_id)
        if copies is not None and copies.pop(vm_id, None) is not None:
            self._merge(endpoint_id)

    def prune(self) -> None:
        """Drop the copies whose lease has ended."""
        now = self._clock.monotonic()
        for endpoint_id, copies in list(self._copies_by_id.items()):
            for vm_id, copy in list(copies.items()):
                if copy.lease_until <= now:
                    self.drop_copy(vm_id, endpoint_id)

    def _merge(self, endpoint_id: str) -> None:
        copies = self._copies_by_id.get(endpoint_id)
        if not copies:
            self._forget(endpoint_id, "endpoint.gone")
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
            self._note_appeared(best)
        merged = (
            self.has_left(best),
            since,
            max(copy.lease_until for copy in copies.values()),
        )
        if merged != (best.leaving, best.known_since, best.lease_until):
            leaving, since, lease_until = merged
            best = replace(
                best,
                leaving=leaving,
                known_since=since,
                lease_until=lease_until,
            )
            if len(copies) == 1:
                copies[source] = best
        self.endpoints_by_id[endpoint_id] = best

    def _note_appeared(self, endpoint: Endpoint) -> None:
        self._caches_by_id.pop(endpoint.endpoint_id, None)
        hold = self._damping.note_return(endpoint.url, self._clock.monotonic())
        if hold:
            self._timeline.record(
                "endpoint.held", endpoint_id=endpoint.endpoint_id, seconds=hold
            )

    def _forget(self, endpoint_id: str, event: str) -> None:
        self._copies_by_id.pop(endpoint_id, None)
        self._caches_by_id.pop(endpoint_id, None)
        known = self.endpoints_by_id.pop(endpoint_id, None)
        if known is None:
            return
        if self._id_by_url.get(known.url) == endpoint_id:
            del self._id_by_url[known.url]
        self._timeline.record(event, endpoint_id=endpoint_id)
        self._tell()

    def _is_outdated(
        self, endpoint_id: str, url: str, incarnation: int
    ) -> bool:
        known = self.endpoints_by_id.get(endpoint_id)
        newest = self._newest_by_url.get(url, -1)
        if known is not None:
            newest = max(newest, known.incarnation)
        return incarnation < newest

    def _replaces(self, endpoint: Endpoint, other_id: str) -> bool:
        # Two ids that claim one address under one incarnation are a fault
        # of the endpoint; the order of ids keeps all VMs at one of them.
        other = self.endpoints_by_id[other_id]
        new = (endpoint.incarnation, endpoint.endpoint_id)
        return new > (other.incarnation, other_id)

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()

    def _report_seconds(self) -> float:
        if len(self.endpoints_by_id) < MANY_ENDPOINTS:
            return REPORT_SECONDS
        return REPORT_SECONDS_OF_MANY

    def _grant(
        self,
        *,
        known: bool,
        resync: bool = False,
        entries: Iterable[str] = (),
    ) -> LeaseGrant:
        return LeaseGrant(
            lease_seconds=LEASE_SECONDS,
            report_seconds=self._report_seconds(),
            known=known,
            resync=resync,
            entries=list(entries),
        )


def _is_same(endpoint: Endpoint | None, incarnation: int) -> bool:
    return endpoint is not None and endpoint.incarnation == incarnation


def _choose(
    reported: list[str] | None, known: frozenset[str]
) -> frozenset[str]:
    return known if reported is None else frozenset(reported)


def _trim(ordered: collections.OrderedDict) -> None:
    while len(ordered) > MAX_ENDED:
        ordered.popitem(last=False)
