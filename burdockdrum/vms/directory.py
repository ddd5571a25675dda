"""The VMs that this VM knows: those here, and a few of each elsewhere."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.peers import Distance
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline
from burdockdrum.vms.group import VmGroup
from burdockdrum.vms.joining import Joining
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.members import Member
from burdockdrum.vms.members import VmState
from burdockdrum.vms.messages import DataCentreSummary
from burdockdrum.vms.messages import EntryAddress
from burdockdrum.vms.messages import ServiceSummary
from burdockdrum.vms.remote import choose_by_hash
from burdockdrum.vms.remote import ENTRIES_A_SUMMARY
from burdockdrum.vms.remote import make_figures
from burdockdrum.vms.remote import RemoteDataCentre
from burdockdrum.vms.remote import RemoteDataCentres

# Each request asks for the views; making them costs a step for each VM.
VIEWS_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class VmView:
    """What this VM knows of another; ``heard_at`` is on its own clock.

    ``in_flight`` are the requests that it serves; it is 0 for a VM of
    another data centre, as only summaries travel between them.
    """

    identity: VmIdentity
    draining: bool
    revision: int
    services: tuple[ServiceSummary, ...]
    heard_at: float
    suspected: bool = False
    in_flight: int = 0


@dataclass(frozen=True, kw_only=True)
class DataCentreView:
    """What this VM knows of a data centre; the age is in seconds.

    The room of its services is discounted by its age.
    """

    data_centre: str
    region: str
    revision: int
    age_seconds: float
    services: tuple[ServiceSummary, ...]
    entries: tuple[VmIdentity, ...]


class VmDirectory:
    """The VMs that were heard of, this one among them."""

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

        :param join: control addresses of one or two VMs to begin with
        """
        self.identity = peers.identity
        self.in_flight = 0
        self._draining = False
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
            read_headline=self._read_headline,
            relay_ids=self._relay_ids,
        )
        self._joining = Joining(
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
        """Say whether this VM is to be left out of the lists."""
        return self._draining

    @draining.setter
    def draining(self, value: bool) -> None:
        self._draining = value
        self._views_at = float("-inf")
        self.group.urge()

    @property
    def summaries_by_data_centre(self) -> dict[str, DataCentreView]:
        """Return the data centres heard of lately, this one among them."""
        own = self.identity
        entries = tuple(
            view.identity
            for view in self._views_here()
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
        """Return the VMs heard of lately, this one first.

        Of another data centre these are a few to forward to.
        """
        now = self._clock.monotonic()
        if now - self._views_at > VIEWS_SECONDS:
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
        """Return the VM that passes messages on for a data centre.

        Every VM that sees the same live VMs names the same one.
        """
        views = [
            view
            for view in self.vms_in(data_centre)
            if not view.draining and not view.suspected
        ]
        return min(views, key=lambda v: v.identity.vm_id, default=None)

    def read_distance(self, address: str) -> Distance:
        """Return how far the VM at a control address is away."""
        for member in self.group.members_by_id.values():
            if member.identity.control_address == address:
                return Distance.DATA_CENTRE
        for name, remote in self._remote.known_by_name.items():
            for identity in self._remote.contacts_in(name):
                if identity.control_address == address:
                    if remote.region == self.identity.region:
                        return Distance.REGION
                    return Distance.ELSEWHERE
        return Distance.UNKNOWN

    async def run(self) -> None:
        """Keep up with the other VMs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.group.run())
            tasks.create_task(self._remote.run())
            tasks.create_task(self._joining.run())

    def _list_views(self) -> list[VmView]:
        views = self._views_here()
        for remote in self._remote.live():
            views += self._view_remote(remote)
        return views

    def _read_state(self) -> VmState:
        return VmState(self._draining, self._read_revision(), self.in_flight)

    def _views_here(self) -> list[VmView]:
        services = tuple(self._read_services())
        own = VmView(
            identity=self.identity,
            draining=self._draining,
            revision=self._read_revision(),
            services=services,
            heard_at=self._clock.monotonic(),
            in_flight=self.in_flight,
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
                heard_at=remote.heard_at,
            )
            for identity in remote.entries
        ]

    def _discounted_services(
        self, remote: RemoteDataCentre
    ) -> tuple[ServiceSummary, ...]:
        share = self._freshness(remote)
        return tuple(
            ServiceSummary(
                service=service.service,
                endpoints=service.endpoints,
                slots=service.slots,
                room=int(service.room * share),
                queue_seconds=service.queue_seconds,
                warmth=service.warmth,
            )
            for service in remote.services
        )

    def _freshness(self, remote: RemoteDataCentre) -> float:
        # All others see the same room and fill it while the next summary
        # is on its way: what is older counts for less.
        over = self._remote.age_of(remote.name)
        over -= self._remote.interval_seconds()
        limit = self._remote.stale_seconds()
        return min(1.0, max(0.0, 1.0 - over / limit))

    def _relay_ids(self) -> list[str]:
        ids = [] if self._draining else [self.identity.vm_id]
        for member in self.group.live_members():
            is_fit = member.health is Health.ALIVE
            if is_fit and member.state and not member.state.draining:
                ids.append(member.identity.vm_id)
        return ids

    def _read_headline(self) -> frozenset[str]:
        services = [s.service for s in self._read_services() if s.endpoints]
        return frozenset([*services, *self._relay_ids()])

    def _make_summary(self, data_centre: str) -> DataCentreSummary:
        # Each data centre is told of other entries, so that what comes from
        # all of them spreads over the VMs here.
        by_id = {v.identity.vm_id: v.identity for v in self._views_here()}
        # A VM that takes no callers has no address for them.
        entries = [n for n in self._relay_ids() if by_id[n].http_address]
        names = choose_by_hash(entries, data_centre, ENTRIES_A_SUMMARY)
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
            figures=[make_figures(summary) for summary in summaries],
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
    )
