"""Detects requests that crash endpoints and rejects them.

Requests are identified by a fingerprint of their content, because callers
retry under new idempotency keys. Every request that ran on a lost endpoint
becomes a suspect and is retried alone on an endpoint. A request under which
``MAX_LOSSES`` endpoints were lost is quarantined on all entry VMs.

A part of a prompt that requests share, of which no two are alike, may be the
cause instead. Parts are suspects in the ledger that the pass-through has.
"""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

import msgspec

from burdockdrum.crashes import Assessment
from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import is_part
from burdockdrum.crashes import SoundRuns
from burdockdrum.crashes import Standing
from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.quarantine.messages import EndpointLost
from burdockdrum.quarantine.messages import QuarantineEntry
from burdockdrum.quarantine.messages import SuspectCleared
from burdockdrum.quarantine.messages import TrialEnd
from burdockdrum.quarantine.messages import TrialReply
from burdockdrum.quarantine.messages import TrialRequest
from burdockdrum.quarantine.trials import Trial
from burdockdrum.quarantine.trials import TrialTable
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

# A limit of one would quarantine every request of a lost batch; the second
# loss, of a request that ran alone, identifies the request at fault.
MAX_LOSSES = 2
SUSPICION_DURATION_SECONDS = 300.0
# A request that is quarantined by mistake is refused for so long, unless an
# operator lifts the quarantine.
QUARANTINE_DURATION_SECONDS = 900.0
MAX_SUSPECTS = 10_000
TRIAL_CALL_TIMEOUT_SECONDS = 0.5
# From then on requests with a suspected part of a prompt run one at a time.
MIN_CRASHES_OF_PART = 2


@dataclass(kw_only=True)
class _Suspect:
    """The endpoints lost under a fingerprint, one entry per incarnation."""

    losses: set[tuple[str, int]] = field(default_factory=set)
    expires_at: float = 0.0

    @property
    def quarantined(self) -> bool:
        return len(self.losses) >= MAX_LOSSES


class Quarantine:
    """The suspected and quarantined requests known to this entry VM."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: Peers,
        vms: VmDirectory,
        timeline: Timeline,
    ) -> None:
        """Create a quarantine without suspects."""
        self._clock = clock
        self._peers = peers
        self._vms = vms
        self._timeline = timeline
        self._trials = TrialTable(clock=clock)
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._parts = CrashLedger(clock=clock)
        self._sound_runs = SoundRuns()
        peers.register(EndpointLost, self._receive_loss)
        peers.register(SuspectCleared, self._receive_clear)
        peers.register(TrialRequest, self._receive_trial_request)
        peers.register(TrialEnd, self._receive_trial_end)

    def check(self, fingerprint: str, parts: Sequence[str] = ()) -> None:
        """Reject a request that is quarantined, or a part of whose prompt is.

        :raises Refusal: with the remaining time of the quarantine
        """
        self._check_parts(parts)
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.quarantined:
            return
        raise Refusal(
            code=RefusalCode.QUARANTINED,
            message=f"endpoints were lost while running it {MAX_LOSSES} "
            f"times; the request is quarantined as {fingerprint}",
            verdict=Verdict.NOT_RUN,
            retry_after=suspect.expires_at - self._clock.monotonic(),
        )

    def find_suspect(
        self, fingerprint: str, parts: Sequence[str] = ()
    ) -> str | None:
        """Return what of a request must run apart from other suspects.

        That is the fingerprint of the request or of a part of its prompt.
        """
        assessment = self._parts.assess_all(parts)
        if len(assessment.crashes) >= MIN_CRASHES_OF_PART:
            return assessment.fingerprint
        return fingerprint if self._find(fingerprint) is not None else None

    def record_loss(
        self, fingerprint: str, endpoint: Endpoint, parts: Sequence[str] = ()
    ) -> None:
        """Record the loss of an endpoint that ran a request."""
        is_sound = self._sound_runs.outweighs(
            fingerprint, self._clock.monotonic()
        )
        notice = EndpointLost(
            fingerprint="" if is_sound else fingerprint,
            endpoint_id=endpoint.endpoint_id,
            incarnation=endpoint.incarnation,
            parts=list(parts),
        )
        self._apply_loss(notice, self._vms.identity.vm_id)
        self._broadcast(notice)

    def record_completion(
        self,
        fingerprint: str,
        parts: Sequence[str] = (),
        wrote_since: float = float("-inf"),
    ) -> None:
        """Clear a suspect after a run that completed.

        :param wrote_since: when the run began to write, on the monotonic
            clock
        """
        self._sound_runs.record(fingerprint, self._clock.monotonic())
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        is_cleared = suspect is not None and not suspect.quarantined
        self._record_sound(
            fingerprint if is_cleared else "", parts, wrote_since
        )

    def record_output(self, parts: Sequence[str], wrote_since: float) -> None:
        """Clear the parts of a prompt whose run goes on to write.

        :param wrote_since: when it began to, on the monotonic clock
        """
        self._record_sound("", parts, wrote_since)

    def lift(self, fingerprint: str) -> bool:
        """Clear a fingerprint on all VMs; return whether it was known here."""
        was_known = self._find(fingerprint) is not None
        if is_part(fingerprint):
            was_known = fingerprint in self._parts.suspects()
            notice = SuspectCleared(
                fingerprint="", lifted=True, parts=[fingerprint]
            )
        else:
            notice = SuspectCleared(fingerprint=fingerprint, lifted=True)
        self._clear(notice)
        self._broadcast(notice)
        return was_known

    def entries(self) -> list[QuarantineEntry]:
        """Return the suspected and quarantined fingerprints."""
        now = self._clock.monotonic()
        self._parts.prune()
        parts = [
            _describe_part(assessment)
            for assessment in self._parts.suspects().values()
        ]
        return parts + [
            QuarantineEntry(
                fingerprint=fingerprint,
                quarantined=suspect.quarantined,
                lost_endpoints=sorted(name for name, _ in suspect.losses),
                seconds_left=suspect.expires_at - now,
            )
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.expires_at > now
        ]

    async def begin_trial(
        self, fingerprint: str, endpoint_id: str, seconds: float
    ) -> Trial | None:
        """Return permission to run a suspect on an endpoint, or None.

        One VM of the data centre, the coordinator, grants all trials there.
        Otherwise two entry VMs could run the same suspect, or two suspects
        on the same endpoint, at the same time.

        :param seconds: the longest time that the run may take
        """
        coordinator = self._find_coordinator()
        if coordinator is None:
            if not self._trials.grant(fingerprint, endpoint_id, seconds):
                return None
            return Trial(
                on_release=lambda: self._trials.end(fingerprint, endpoint_id)
            )
        address = coordinator.identity.control_address
        call = TrialRequest(
            fingerprint=fingerprint, endpoint_id=endpoint_id, seconds=seconds
        )
        end = TrialEnd(fingerprint=fingerprint, endpoint_id=endpoint_id)
        try:
            reply = await self._peers.call(
                address, call, TrialReply, timeout=TRIAL_CALL_TIMEOUT_SECONDS
            )
        except CallFailed:
            self._peers.send(address, end)
            return None
        if not reply.granted:
            return None
        return Trial(on_release=lambda: self._peers.send(address, end))

    def _find_coordinator(self) -> VmView | None:
        """Return the VM that grants trials, or None if it is this VM."""
        identity = self._vms.identity
        coordinator = self._vms.relay_of(identity.data_centre)
        if coordinator is None or coordinator.identity.vm_id == identity.vm_id:
            return None
        return coordinator

    def _find(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= self._clock.monotonic():
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect

    def _check_parts(self, parts: Sequence[str]) -> None:
        assessment = self._parts.assess_all(parts)
        if assessment.standing is Standing.QUARANTINED:
            raise Refusal(
                code=RefusalCode.QUARANTINED,
                message=assessment.describe(),
                verdict=Verdict.NOT_RUN,
                retry_after=assessment.seconds_left,
            )

    def _record_sound(
        self, fingerprint: str, parts: Sequence[str], wrote_since: float
    ) -> None:
        """Clear what a run shows to be sound, on all VMs."""
        cleared = [
            part for part in parts if self._parts.clear(part, wrote_since)
        ]
        if not fingerprint and not cleared:
            return
        notice = SuspectCleared(
            fingerprint=fingerprint,
            lifted=False,
            parts=cleared,
            seconds=self._clock.monotonic() - wrote_since if cleared else 0.0,
        )
        self._clear(notice)
        self._broadcast(notice)

    def _apply_loss(self, notice: EndpointLost, observer: str) -> None:
        self._parts.prune()
        for part in notice.parts:
            self._parts.add(
                part, f"{notice.endpoint_id}/{notice.incarnation}", observer
            )
        if not notice.fingerprint:
            return
        suspect = self._find(notice.fingerprint)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECTS:
                oldest = next(iter(self._suspects_by_fingerprint))
                del self._suspects_by_fingerprint[oldest]
            suspect = _Suspect()
            self._suspects_by_fingerprint[notice.fingerprint] = suspect
        was_quarantined = suspect.quarantined
        suspect.losses.add((notice.endpoint_id, notice.incarnation))
        seconds = SUSPICION_DURATION_SECONDS
        if suspect.quarantined:
            seconds = QUARANTINE_DURATION_SECONDS
        suspect.expires_at = self._clock.monotonic() + seconds
        if suspect.quarantined and not was_quarantined:
            self._timeline.record(
                "request.quarantined", fingerprint=notice.fingerprint
            )

    def _clear(self, notice: SuspectCleared) -> None:
        wrote_since = self._clock.monotonic() - notice.seconds
        for part in notice.parts:
            self._parts.clear(part, wrote_since)
        suspect = self._suspects_by_fingerprint.get(notice.fingerprint)
        # A report of a completed run may be older than the second loss.
        if suspect is None or (suspect.quarantined and not notice.lifted):
            return
        del self._suspects_by_fingerprint[notice.fingerprint]

    def _broadcast(self, notice: EndpointLost | SuspectCleared) -> None:
        for view in self._data_centre_peers():
            self._peers.send(view.identity.control_address, notice)
        own = self._vms.identity.data_centre
        elsewhere = {v.identity.data_centre for v in self._vms.live_vms()}
        for data_centre in elsewhere - {own}:
            relay = self._vms.relay_of(data_centre)
            if relay is not None:
                self._peers.send(
                    relay.identity.control_address, _with_pass_on(notice)
                )

    def _data_centre_peers(self) -> Iterator[VmView]:
        identity = self._vms.identity
        for view in self._vms.vms_in(identity.data_centre):
            if view.identity.vm_id != identity.vm_id:
                yield view

    def _forward_in_data_centre(
        self, notice: EndpointLost | SuspectCleared
    ) -> None:
        if notice.pass_on:
            for view in self._data_centre_peers():
                self._peers.send(
                    view.identity.control_address, _without_pass_on(notice)
                )

    async def _receive_loss(
        self, sender: Sender, notice: EndpointLost
    ) -> None:
        self._apply_loss(notice, sender.vm_id)
        self._forward_in_data_centre(notice)

    async def _receive_clear(
        self, sender: Sender, notice: SuspectCleared
    ) -> None:
        self._clear(notice)
        self._forward_in_data_centre(notice)

    async def _receive_trial_request(
        self, sender: Sender, call: TrialRequest
    ) -> Message | None:
        granted = self._trials.grant(
            call.fingerprint, call.endpoint_id, call.seconds
        )
        return TrialReply(granted=granted)

    async def _receive_trial_end(self, sender: Sender, end: TrialEnd) -> None:
        self._trials.end(end.fingerprint, end.endpoint_id)


def _describe_part(assessment: Assessment) -> QuarantineEntry:
    return QuarantineEntry(
        fingerprint=assessment.fingerprint,
        quarantined=assessment.standing is Standing.QUARANTINED,
        lost_endpoints=[crash.endpoint_id for crash in assessment.crashes],
        seconds_left=assessment.seconds_left,
    )


def _with_pass_on(
    notice: EndpointLost | SuspectCleared,
) -> EndpointLost | SuspectCleared:
    return msgspec.structs.replace(notice, pass_on=True)


def _without_pass_on(
    notice: EndpointLost | SuspectCleared,
) -> EndpointLost | SuspectCleared:
    return msgspec.structs.replace(notice, pass_on=False)
