"""The directory of live VMs.

It knows all VMs of this data centre and a few entry VMs of each other one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.peers import Distance
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline
from burdockdrum.vms.discovery import Discovery
from burdockdrum.vms.group import VmGroup
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.members import Member
from burdockdrum.vms.members import VmState
from burdockdrum.vms.messages import DataCentreSummary
from burdockdrum.vms.messages import EntryAddress
from burdockdrum.vms.messages import ServiceSummary
from burdockdrum.vms.remote import choose_by_hash
from burdockdrum.vms.remote import encode_figures
from burdockdrum.vms.remote import ENTRIES_PER_SUMMARY
from burdockdrum.vms.remote import RemoteDataCentre
from burdockdrum.vms.remote import RemoteDataCentres

# Every request reads the views, and building them takes time per VM.
VIEWS_MAX_AGE_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class VmView:
    """The state of a VM as known to this one.

    ``heard_at`` is when it was last heard from, on this VM's monotonic clock.
    ``in_flight`` is the number of requests that it serves; it is 0 for VMs of
    other data centres, which only send summaries. ``is_cut_off`` says that
    it reaches no endpoint.
    """

    identity: VmIdentity
    draining: bool
    revision: int
    services: tuple[ServiceSummary, ...]
    heard_at: float
    suspected: bool = False
    in_flight: int = 0
    is_cut_off: bool = False


@dataclass(frozen=True, kw_only=True)
class DataCentreView:
    """The state of a data centre as known to this VM.

    The free capacity of its services is reduced by the age of the summary.
    """

    data_centre: str
    region: str
    revision: int
    age_seconds: float
    services: tuple[ServiceSummary, ...]
    entries: tuple[VmIdentity, ...]


class VmDirectory:
    """The live VMs known to this one, including itself."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        rng: random.Random,
        join: list[str],
        read_revision: Callable[[], int],
        read_services: Callable[[], list[ServiceSummary]],
    ) -> None:
        """Create a directory that knows only this VM.

        :param join: control addresses of one or two VMs to join through
        """
        self.identity = peers.identity
        self.in_flight = 0
        self._draining = False
        # Returns whether this VM reaches no endpoint.
        self.read_cut_off: Callable[[], bool] = bool
        self._views: list[VmView] = []
        self._views_at = float("-inf")
        self._clock = clock
        self._timeline = timeline
        self._read_revision = read_revision
        self._read_services = read_services
        self.group = VmGroup(
            peers=peers,
            clock=clock,
            timeline=timeline,
            rng=rng,
            read_state=self._read_state,
        )
        self._remote = RemoteDataCentres(
            peers=peers,
            clock=clock,
            timeline=timeline,
            group=self.group,
            make_summary=self._make_summary,
            read_urgent_state=self._read_urgent_state,
            relay_ids=self._relay_ids,
        )
        self._joining = Discovery(
            peers=peers,
            clock=clock,
            rng=rng,
            join=join,
            group=self.group,
            remote=self._remote,
        )
        peers.traffic.read_distance = self.read_distance

    @property
    def draining(self) -> bool:
        """Return whether this VM is draining and so not listed as an entry."""
        return self._draining

    @draining.setter
    def draining(self, value: bool) -> None:
        self._draining = value
        self._views_at = float("-inf")
        self.group.request_tick()

    @property
    def summaries_by_data_centre(self) -> dict[str, DataCentreView]:
        """Return the reachable data centres, including this one."""
        own = self.identity
        entries = tuple(
            view.identity
            for view in self._local_views()
            if not view.draining and not view.suspected
        )
        views = {
            own.data_centre: DataCentreView(
                data_centre=own.data_centre,
                region=own.region,
                revision=self._read_revision(),
                age_seconds=0.0,
                services=tuple(self._read_services()),
                entries=entries,
            )
        }
        for remote in self._remote.live():
            views[remote.name] = self._view_data_centre(remote)
        return views

    def live_vms(self) -> list[VmView]:
        """Return the live VMs, this one first.

        Of another data centre these are a few entry VMs to forward to.
        """
        now = self._clock.monotonic()
        if now - self._views_at > VIEWS_MAX_AGE_SECONDS:
            self._views = self._list_views()
            self._views_at = now
        return list(self._views)

    def vms_in(self, data_centre: str) -> list[VmView]:
        """Return the live VMs of a data centre."""
        return [
            view
            for view in self.live_vms()
            if view.identity.data_centre == data_centre
        ]

    def relay_of(self, data_centre: str) -> VmView | None:
        """Return the VM that forwards messages within a data centre.

        All VMs with the same view of the live VMs choose the same one.
        """
        views = [
            view
            for view in self.vms_in(data_centre)
            if not view.draining and not view.suspected
        ]
        return min(views, key=lambda v: v.identity.vm_id, default=None)

    def read_distance(self, address: str) -> Distance:
        """Return the distance to the VM at a control address."""
        for member in self.group.members_by_id.values():
            if member.identity.control_address == address:
                return Distance.DATA_CENTRE
        for name, remote in self._remote.known_by_name.items():
            for identity in self._remote.contacts_in(name):
                if identity.control_address == address:
                    if remote.region == self.identity.region:
                        return Distance.REGION
                    return Distance.OTHER_REGION
        return Distance.UNKNOWN

    async def run(self) -> None:
        """Run the membership protocol until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.group.run())
            tasks.create_task(self._remote.run())
            tasks.create_task(self._joining.run())

    def _list_views(self) -> list[VmView]:
        views = self._local_views()
        for remote in self._remote.live():
            views += self._view_remote(remote)
        return views

    def _read_state(self) -> VmState:
        return VmState(
            self._draining,
            self._read_revision(),
            self.in_flight,
            self.read_cut_off(),
        )

    def _local_views(self) -> list[VmView]:
        services = tuple(self._read_services())
        own = VmView(
            identity=self.identity,
            draining=self._draining,
            revision=self._read_revision(),
            services=services,
            heard_at=self._clock.monotonic(),
            in_flight=self.in_flight,
            is_cut_off=self.read_cut_off(),
        )
        others = [
            _view_member(member, services)
            for member in self.group.live_members()
        ]
        return [own, *others]

    def _view_data_centre(self, remote: RemoteDataCentre) -> DataCentreView:
        return DataCentreView(
            data_centre=remote.name,
            region=remote.region,
            revision=remote.revision,
            age_seconds=self._remote.age_of(remote.name),
            services=self._discounted_services(remote),
            entries=remote.entries,
        )

    def _view_remote(self, remote: RemoteDataCentre) -> list[VmView]:
        services = self._discounted_services(remote)
        return [
            VmView(
                identity=identity,
                draining=False,
                revision=remote.revision,
                services=services,
                heard_at=remote.updated_at,
            )
            for identity in remote.entries
        ]

    def _discounted_services(
        self, remote: RemoteDataCentre
    ) -> tuple[ServiceSummary, ...]:
        factor = self._capacity_factor(remote)
        return tuple(
            ServiceSummary(
                service=service.service,
                endpoints=service.endpoints,
                slots=service.slots,
                room=int(service.room * factor),
                queue_seconds=service.queue_seconds,
                warmth=service.warmth,
            )
            for service in remote.services
        )

    def _capacity_factor(self, remote: RemoteDataCentre) -> float:
        # All data centres see the same free capacity and use it before the
        # next summary arrives, so an overdue summary counts for less.
        overdue_seconds = self._remote.age_of(remote.name)
        overdue_seconds -= self._remote.interval_seconds()
        limit = self._remote.stale_seconds()
        return min(1.0, max(0.0, 1.0 - overdue_seconds / limit))

    def _relay_ids(self) -> list[str]:
        ids = [] if self._draining else [self.identity.vm_id]
        for member in self.group.live_members():
            is_alive = member.health is Health.ALIVE
            if is_alive and member.state and not member.state.draining:
                ids.append(member.identity.vm_id)
        return ids

    def _read_urgent_state(self) -> frozenset[str]:
        services = [s.service for s in self._read_services() if s.endpoints]
        entries = ",".join(sorted(self._entry_ids()))
        return frozenset([*services, *self._relay_ids(), entries])

    def _entry_ids(self) -> list[str]:
        """Return the VMs that other data centres should forward to."""
        views_by_id = {v.identity.vm_id: v for v in self._local_views()}
        # A VM that serves no callers has no HTTP address.
        entries = [
            views_by_id[name]
            for name in self._relay_ids()
            if views_by_id[name].identity.http_address
        ]
        reaching = [view for view in entries if not view.is_cut_off]
        return [view.identity.vm_id for view in reaching or entries]

    def _make_summary(self, data_centre: str) -> DataCentreSummary:
        # Each data centre gets different entries, so that the forwarded
        # requests spread over the VMs here.
        by_id = {v.identity.vm_id: v.identity for v in self._local_views()}
        names = choose_by_hash(
            self._entry_ids(), data_centre, ENTRIES_PER_SUMMARY
        )
        summaries = self._read_services()
        return DataCentreSummary(
            data_centre=self.identity.data_centre,
            region=self.identity.region,
            made_at=self._timeline.clock.tick(),
            revision=self._read_revision(),
            entries=[
                EntryAddress(
                    name,
                    by_id[name].incarnation,
                    by_id[name].control_address,
                    by_id[name].http_address,
                )
                for name in names
            ],
            services=[summary.service for summary in summaries],
            figures=[encode_figures(summary) for summary in summaries],
        )


def _view_member(
    member: Member, services: tuple[ServiceSummary, ...]
) -> VmView:
    assert member.state is not None
    return VmView(
        identity=member.identity,
        draining=member.state.draining,
        revision=member.state.revision,
        services=services,
        heard_at=member.heartbeat.advanced_at,
        suspected=member.health is Health.SUSPECTED,
        in_flight=member.state.in_flight,
        is_cut_off=member.state.is_cut_off,
    )
