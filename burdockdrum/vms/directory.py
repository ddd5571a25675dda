"""The VMs by id, from their signs of life."""

from collections.abc import Callable
from dataclasses import dataclass

from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline
from burdockdrum.vms.messages import Hello
from burdockdrum.vms.messages import ServiceSummary

HELLO_SECONDS = 0.5
DEAD_AFTER_SECONDS = 2.5


@dataclass(frozen=True, kw_only=True)
class VmView:
    """What this VM knows of another; ``heard_at`` is on its own clock."""

    identity: VmIdentity
    draining: bool
    revision: int
    services: tuple[ServiceSummary, ...]
    heard_at: float


class VmDirectory:
    """The VMs that were heard of, this one among them."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        join: list[str],
        read_revision: Callable[[], int],
        read_services: Callable[[], list[ServiceSummary]],
    ) -> None:
        """Create a directory that knows only this VM.

        :param join: control addresses of one or two VMs to begin with
        """
        self.identity = peers.identity
        self.draining = False
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._join = join
        self._read_revision = read_revision
        self._read_services = read_services
        self._others_by_id: dict[str, VmView] = {}
        self._addresses: set[str] = set(join)
        peers.register(Hello, self._take_hello)

    def live_vms(self) -> list[VmView]:
        """Return the VMs heard of lately, this one first."""
        limit = self._clock.monotonic() - DEAD_AFTER_SECONDS
        others = [
            view
            for view in self._others_by_id.values()
            if view.heard_at >= limit
        ]
        return [self._view_self(), *others]

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
        views = [v for v in self.vms_in(data_centre) if not v.draining]
        return min(views, key=lambda v: v.identity.vm_id, default=None)

    async def run(self) -> None:
        """Say hello to every known VM until cancelled."""
        while True:
            hello = self._make_hello()
            for address in self._addresses:
                if address != self.identity.control_address:
                    self._peers.send(address, hello)
            await self._clock.sleep(HELLO_SECONDS)

    async def _take_hello(
        self, sender: Sender, hello: Hello
    ) -> Message | None:
        identity = hello.identity
        known = self._others_by_id.get(identity.vm_id)
        if known and known.identity.incarnation > identity.incarnation:
            return None
        if known is None:
            self._timeline.record("vm.joined", vm_id=identity.vm_id)
        self._others_by_id[identity.vm_id] = VmView(
            identity=identity,
            draining=hello.draining,
            revision=hello.revision,
            services=tuple(hello.services),
            heard_at=self._clock.monotonic(),
        )
        self._addresses.add(identity.control_address)
        for other in hello.known:
            self._addresses.add(other.control_address)
        return None

    def _make_hello(self) -> Hello:
        return Hello(
            identity=self.identity,
            draining=self.draining,
            revision=self._read_revision(),
            services=self._read_services(),
            known=[view.identity for view in self.live_vms()[1:]],
        )

    def _view_self(self) -> VmView:
        return VmView(
            identity=self.identity,
            draining=self.draining,
            revision=self._read_revision(),
            services=tuple(self._read_services()),
            heard_at=self._clock.monotonic(),
        )
