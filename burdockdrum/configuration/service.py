"""The configuration in force on this VM."""

from collections.abc import Callable

from burdockdrum.configuration.messages import InForce
from burdockdrum.configuration.messages import Propose
from burdockdrum.configuration.messages import Proposed
from burdockdrum.configuration.messages import Snapshot
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import ResourceStore
from burdockdrum.timeline import Timeline

PASS_ON_SECONDS = 0.5
PROPOSE_TIMEOUT_SECONDS = 3.0


class ChangeUnknown(Exception):
    """No answer came: the change may be accepted or not; send it again."""


class ConfigurationService:
    """Follow the accepted configuration and pass changes to it on."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        timeline: Timeline,
        store: ResourceStore | None,
        control_addresses: list[str],
    ) -> None:
        """Create a follower, or the keeper where there is a store.

        :param store: the accepted resources, on a control VM
        :param control_addresses: where changes are proposed
        """
        self.current = Configuration()
        self.in_force_by_vm_id: dict[str, int] = {}
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._store = store
        self._control_addresses = control_addresses
        self._followers: set[str] = set()
        self._listeners: list[Callable[[Configuration], None]] = []
        peers.register(Propose, self._take_proposal)
        peers.register(Snapshot, self._take_snapshot)
        peers.register(InForce, self._take_in_force)

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each configuration that comes in force."""
        self._listeners.append(listener)

    async def change(self, change: Change) -> ChangeResult:
        """Propose a change to the control VMs.

        :raises ChangeUnknown: if it may have been accepted; the same change
            id may be sent again
        """
        if self._store is not None:
            return self._apply(change)
        for address in self._control_addresses:
            try:
                reply = await self._peers.call(
                    address,
                    Propose(change=change),
                    Proposed,
                    timeout=PROPOSE_TIMEOUT_SECONDS,
                )
            except CallFailed:
                continue
            return reply.result
        raise ChangeUnknown("no control VM answered")

    async def run(self) -> None:
        """Tell the control VM what is in force, and fetch what is new."""
        while True:
            identity = self._peers.identity
            self.in_force_by_vm_id[identity.vm_id] = self.current.revision
            if self._store is None:
                message = InForce(revision=self.current.revision)
                for address in self._control_addresses:
                    self._peers.send(address, message)
            await self._clock.sleep(PASS_ON_SECONDS)

    def _apply(self, change: Change) -> ChangeResult:
        assert self._store is not None
        result = self._store.apply(change)
        self._put_in_force(self._store.configuration)
        for address in self._followers:
            self._peers.send(address, self._make_snapshot())
        return result

    async def _take_proposal(
        self, sender: Sender, message: Propose
    ) -> Message | None:
        if self._store is None:
            return None
        return Proposed(result=self._apply(message.change))

    async def _take_snapshot(
        self, sender: Sender, message: Snapshot
    ) -> Message | None:
        self._put_in_force(
            Configuration(
                revision=message.revision,
                resources_by_key={r.key: r for r in message.resources},
            )
        )
        return None

    async def _take_in_force(
        self, sender: Sender, message: InForce
    ) -> Message | None:
        self.in_force_by_vm_id[sender.vm_id] = message.revision
        self._followers.add(sender.address)
        if message.revision < self.current.revision:
            self._peers.send(sender.address, self._make_snapshot())
        return None

    def _make_snapshot(self) -> Snapshot:
        return Snapshot(
            revision=self.current.revision,
            resources=list(self.current.resources_by_key.values()),
        )

    def _put_in_force(self, configuration: Configuration) -> None:
        # Messages arrive out of order: an older revision never replaces a
        # newer one.
        if configuration.revision <= self.current.revision:
            return
        self.current = configuration
        self._timeline.record(
            "configuration.in_force", revision=configuration.revision
        )
        for listener in self._listeners:
            listener(configuration)
