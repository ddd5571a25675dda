"""Find the request that crashes endpoints, and refuse it.

A request is known by the fingerprint of its content, as its caller sends it
again under a new key. All requests that ran on a lost endpoint are suspects
and run again one at an endpoint; the one that loses a second endpoint is
quarantined at every entry VM that hears of it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

import msgspec

from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.quarantine.messages import ClearNote
from burdockdrum.quarantine.messages import LossNote
from burdockdrum.quarantine.messages import QuarantineEntry
from burdockdrum.quarantine.messages import TrialCall
from burdockdrum.quarantine.messages import TrialEnd
from burdockdrum.quarantine.messages import TrialReply
from burdockdrum.quarantine.trials import Trial
from burdockdrum.quarantine.trials import TrialTable
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

# Endpoints that one request may cost before it is refused. With one, every
# request of a lost batch would be refused; two suffice to tell the one.
MAX_LOSSES = 2
SUSPECT_SECONDS = 300.0
# A false alarm costs its caller so long, unless an operator lifts it.
QUARANTINE_SECONDS = 900.0
MAX_SUSPECTS = 10_000
KEEPER_TIMEOUT_SECONDS = 0.5


@dataclass(kw_only=True)
class _Suspect:
    """The endpoints lost under a fingerprint, each start counted once."""

    losses: set[tuple[str, int]] = field(default_factory=set)
    until: float = 0.0

    @property
    def quarantined(self) -> bool:
        return len(self.losses) >= MAX_LOSSES


class Quarantine:
    """The suspects that this entry VM knows."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: Peers,
        vms: VmDirectory,
        timeline: Timeline,
    ) -> None:
        """Create a quarantine that suspects nothing."""
        self._clock = clock
        self._peers = peers
        self._vms = vms
        self._timeline = timeline
        self._trials = TrialTable(clock=clock)
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        peers.register(LossNote, self._take_loss)
        peers.register(ClearNote, self._take_clear)
        peers.register(TrialCall, self._take_trial)
        peers.register(TrialEnd, self._take_trial_end)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that is quarantined.

        :raises Refusal: with how long the quarantine still lasts
        """
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.quarantined:
            return
        raise Refusal(
            code=RefusalCode.QUARANTINED,
            message=f"endpoints were lost under this request {MAX_LOSSES} "
            f"times; it is quarantined as {fingerprint}",
            verdict=Verdict.NOT_RUN,
            retry_after=suspect.until - self._clock.monotonic(),
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Say whether a request has to run apart from other suspects."""
        return self._find(fingerprint) is not None

    def note_loss(self, fingerprint: str, endpoint: Endpoint) -> None:
        """Note that an endpoint was lost while it ran a request."""
        note = LossNote(
            fingerprint=fingerprint,
            endpoint_id=endpoint.endpoint_id,
            incarnation=endpoint.incarnation,
        )
        self._add(note)
        self._tell(note)

    def note_completed(self, fingerprint: str) -> None:
        """Clear a suspect whose run has completed."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.quarantined:
            return
        note = ClearNote(fingerprint=fingerprint, lifted=False)
        self._clear(note)
        self._tell(note)

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint everywhere; say whether it was known."""
        known = self._find(fingerprint) is not None
        note = ClearNote(fingerprint=fingerprint, lifted=True)
        self._clear(note)
        self._tell(note)
        return known

    def entries(self) -> list[QuarantineEntry]:
        """Return what is suspected and quarantined, as operators see it."""
        now = self._clock.monotonic()
        return [
            QuarantineEntry(
                fingerprint=fingerprint,
                quarantined=suspect.quarantined,
                lost_endpoints=sorted(name for name, _ in suspect.losses),
                seconds_left=suspect.until - now,
            )
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.until > now
        ]

    async def begin_trial(
        self, fingerprint: str, endpoint_id: str
    ) -> Trial | None:
        """Let a suspect run at an endpoint, or return None for not now.

        One VM of the data centre grants the trials, so that two entry VMs
        don't try one suspect, or two suspects at one endpoint, at once.
        """
        keeper = self._find_keeper()
        if keeper is None:
            if not self._trials.grant(fingerprint, endpoint_id):
                return None
            return Trial(
                on_release=lambda: self._trials.end(fingerprint, endpoint_id)
            )
        address = keeper.identity.control_address
        call = TrialCall(fingerprint=fingerprint, endpoint_id=endpoint_id)
        end = TrialEnd(fingerprint=fingerprint, endpoint_id=endpoint_id)
        try:
            reply = await self._peers.call(
                address, call, TrialReply, timeout=KEEPER_TIMEOUT_SECONDS
            )
        except CallFailed:
            self._peers.send(address, end)
            return None
        if not reply.granted:
            return None
        return Trial(on_release=lambda: self._peers.send(address, end))

    def _find_keeper(self) -> VmView | None:
        """Return the VM that grants trials, or None if it is this one."""
        identity = self._vms.identity
        keeper = self._vms.relay_of(identity.data_centre)
        if keeper is None or keeper.identity.vm_id == identity.vm_id:
            return None
        return keeper

    def _find(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if suspect.until <= self._clock.monotonic():
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect

    def _add(self, note: LossNote) -> None:
        suspect = self._find(note.fingerprint)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECTS:
                oldest = next(iter(self._suspects_by_fingerprint))
                del self._suspects_by_fingerprint[oldest]
            suspect = _Suspect()
            self._suspects_by_fingerprint[note.fingerprint] = suspect
        was_quarantined = suspect.quarantined
        suspect.losses.add((note.endpoint_id, note.incarnation))
        seconds = SUSPECT_SECONDS
        if suspect.quarantined:
            seconds = QUARANTINE_SECONDS
        suspect.until = self._clock.monotonic() + seconds
        if suspect.quarantined and not was_quarantined:
            self._timeline.record(
                "request.quarantined", fingerprint=note.fingerprint
            )

    def _clear(self, note: ClearNote) -> None:
        suspect = self._suspects_by_fingerprint.get(note.fingerprint)
        # News that a run completed may be older than a second loss.
        if suspect is None or (suspect.quarantined and not note.lifted):
            return
        del self._suspects_by_fingerprint[note.fingerprint]

    def _tell(self, note: LossNote | ClearNote) -> None:
        for view in self._others_here():
            self._peers.send(view.identity.control_address, note)
        own = self._vms.identity.data_centre
        elsewhere = {v.identity.data_centre for v in self._vms.live_vms()}
        for data_centre in elsewhere - {own}:
            relay = self._vms.relay_of(data_centre)
            if relay is not None:
                self._peers.send(
                    relay.identity.control_address, _with_pass_on(note)
                )

    def _others_here(self) -> Iterator[VmView]:
        identity = self._vms.identity
        for view in self._vms.vms_in(identity.data_centre):
            if view.identity.vm_id != identity.vm_id:
                yield view

    def _pass_on(self, note: LossNote | ClearNote) -> None:
        if note.pass_on:
            for view in self._others_here():
                self._peers.send(
                    view.identity.control_address, _without_pass_on(note)
                )

    async def _take_loss(self, sender: Sender, note: LossNote) -> None:
        self._add(note)
        self._pass_on(note)

    async def _take_clear(self, sender: Sender, note: ClearNote) -> None:
        self._clear(note)
        self._pass_on(note)

    async def _take_trial(
        self, sender: Sender, call: TrialCall
    ) -> Message | None:
        granted = self._trials.grant(call.fingerprint, call.endpoint_id)
        return TrialReply(granted=granted)

    async def _take_trial_end(self, sender: Sender, end: TrialEnd) -> None:
        self._trials.end(end.fingerprint, end.endpoint_id)


def _with_pass_on(note: LossNote | ClearNote) -> LossNote | ClearNote:
    return msgspec.structs.replace(note, pass_on=True)


def _without_pass_on(note: LossNote | ClearNote) -> LossNote | ClearNote:
    return msgspec.structs.replace(note, pass_on=False)
