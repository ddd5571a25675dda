"""Pass revisions on to the VMs that follow this one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from burdockdrum.configuration.history import RevisionGone
from burdockdrum.configuration.knowledge import Knowledge
from burdockdrum.configuration.messages import Follow
from burdockdrum.configuration.messages import Update
from burdockdrum.configuration.reports import Reports
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock

# Changes that come in a burst are sent together, at most so often.
PUSH_SECONDS = 0.02
RESEND_SECONDS = 0.5
MAX_RESENDS = 3
# A follower that has not been heard of for so long is no follower any more.
FOLLOWER_SECONDS = 12.0


@dataclass(frozen=True, kw_only=True)
class FollowerState:
    """What a follower last said, and what was sent to it since.

    ``sends`` counts since it was last heard of.
    """

    sender: Sender
    revision: int
    echo: float
    content: bool
    heard_at: float
    sent_at: float
    sent_revision: int
    data_centre: str = ""
    control_digest: int = 0
    waits: bool = False
    sends: int = 0


class Publisher:
    """Send each new revision to the followers until they acknowledge it."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        knowledge: Knowledge,
        reports: Reports,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Create a publisher without followers.

        :param is_leaving: says whether this VM is on its way out
        """
        self._is_leaving = is_leaving
        self._peers = peers
        self._clock = clock
        self._knowledge = knowledge
        self._reports = reports
        self._followers_by_address: dict[str, FollowerState] = {}
        self._grown = asyncio.Event()
        self.on_follow: Callable[[Sender, Follow], None] | None = None
        # Called when a follower waits for what only a control VM can tell.
        self.on_wait: Callable[[], None] | None = None
        knowledge.history.listeners.append(lambda _: self._grown.set())
        knowledge.listeners.append(self._tell_known)
        knowledge.current_listeners.append(self._tell_waiting)
        peers.register(Follow, self._take_follow)

    async def run(self) -> None:
        """Send what is new, and again what was not acknowledged."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_new())
            group.create_task(self._push_again())

    async def _push_new(self) -> None:
        while True:
            await self._grown.wait()
            self._grown.clear()
            revision = self._knowledge.current.revision
            for address, state in list(self._followers_by_address.items()):
                is_silent = state.sends > MAX_RESENDS
                if state.sent_revision < revision and not is_silent:
                    self._push(address, state, state.sent_revision)
            await self._clock.sleep(PUSH_SECONDS)

    def _tell_known(self) -> None:
        """Tell every follower that this VM serves by what it knows.

        After a start of all VMs the followers wait for just this; each
        would else ask again a good while later.
        """
        for address, state in list(self._followers_by_address.items()):
            self._push(address, state, state.revision)

    def _tell_waiting(self) -> None:
        """Answer the followers that have asked since their start.

        What was known before a follower started does not prove that it is as
        new as what the follower served before. So it is answered again as soon
        as this VM has made sure.
        """
        current_at = self._knowledge.current_at
        assert current_at is not None
        for address, state in list(self._followers_by_address.items()):
            if state.waits and state.heard_at <= current_at:
                self._push(
                    address, replace(state, waits=False), state.revision
                )

    async def _push_again(self) -> None:
        while True:
            await self._clock.sleep(RESEND_SECONDS)
            now = self._clock.monotonic()
            for address, state in list(self._followers_by_address.items()):
                if now - state.heard_at > FOLLOWER_SECONDS:
                    del self._followers_by_address[address]
                elif self._is_overdue(state, now):
                    self._push(address, state, state.revision)

    def _is_overdue(self, state: FollowerState, now: float) -> bool:
        return (
            state.revision < self._knowledge.current.revision
            and state.sends <= MAX_RESENDS
            and now - state.sent_at >= RESEND_SECONDS
        )

    async def _take_follow(
        self, sender: Sender, message: Follow
    ) -> Message | None:
        known = self._followers_by_address.get(sender.address)
        if known is not None and _is_older(sender, message, known):
            return None
        now = self._clock.monotonic()
        state = FollowerState(
            sender=sender,
            revision=message.revision,
            echo=message.sent_at,
            content=message.content,
            heard_at=now,
            sent_at=now,
            sent_revision=message.revision,
            data_centre=message.report.data_centre if message.report else "",
            control_digest=message.control_digest,
            waits=message.waits,
        )
        self._followers_by_address[sender.address] = state
        self._reports.take_acknowledgement(sender.vm_id, message.revision)
        if message.report is not None:
            self._reports.take_report(message.report)
        if self.on_follow is not None:
            self.on_follow(sender, message)
        if message.waits and self.on_wait is not None:
            self.on_wait()
        self._push(
            sender.address,
            state,
            message.revision,
            snapshot=message.snapshot,
        )
        return None

    def _push(
        self,
        address: str,
        state: FollowerState,
        after: int,
        *,
        snapshot: bool = False,
    ) -> None:
        update = self._make_update(state, after, snapshot)
        self._peers.send(address, update)
        self._followers_by_address[address] = replace(
            state,
            sent_at=self._clock.monotonic(),
            sent_revision=update.revision,
            sends=state.sends + 1,
        )

    # Of a resource that changed often the versions take more bytes than what
    # there is now, and fill the links of entries.
    def _make_update(
        self, state: FollowerState, after: int, snapshot: bool
    ) -> Update:
        current = self._knowledge.current
        control_addresses = None
        if state.control_digest != self._knowledge.control_digest:
            control_addresses = self._knowledge.control_addresses
        changes = []
        resources = None
        if state.content and not snapshot:
            try:
                changes = self._knowledge.history.changes_after(after)
            except RevisionGone:
                snapshot = True
        if len(changes) > len(current.resources_by_key):
            snapshot, changes = True, []
        if state.content and snapshot:
            resources = list(current.resources_by_key.values())
        return Update(
            revision=current.revision,
            digest=current.digest,
            echo=state.echo,
            age=self._age_at(state.heard_at),
            known=self._knowledge.known,
            changes=changes,
            resources=resources,
            vm_ids_digest=self._reports.vm_ids_digest(state.data_centre),
            control_addresses=control_addresses,
            leaving=self._is_leaving(),
        )

    def _age_at(self, heard_at: float) -> float | None:
        """Return how old what is known was when a follower asked."""
        current_at = self._knowledge.current_at
        return None if current_at is None else max(0.0, heard_at - current_at)


def _is_older(sender: Sender, message: Follow, known: FollowerState) -> bool:
    if sender.incarnation != known.sender.incarnation:
        return sender.incarnation < known.sender.incarnation
    return message.sent_at < known.echo
