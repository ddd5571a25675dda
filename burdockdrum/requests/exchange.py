"""The attempts that one request needs until an answer is there.

Retries are local: a request that was passed on is retried by the entry VM
that received it; the one that passed it on tries elsewhere only if nothing
has run there, or if that entry VM itself was lost.
"""

from dataclasses import dataclass

from burdockdrum.admission import Admission
from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quarantine import Quarantine
from burdockdrum.quarantine import Trial
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import read_refusal
from burdockdrum.requests.attempts import ToDataCentrePlace
from burdockdrum.requests.attempts import ToEndpointPlace
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.attempts import VERDICT_HEADER
from burdockdrum.requests.budget import RetryBudget
from burdockdrum.requests.meters import RequestMeters
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.priority import find_priority
from burdockdrum.requests.residency import find_allowed_regions
from burdockdrum.requests.upstreams import UpstreamOpener
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Demand
from burdockdrum.routing import Nowhere
from burdockdrum.routing import Router
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst

# Attempts at one request by one entry VM, the first included.
MAX_ATTEMPTS = 4
MAX_FORWARDS = 2
# After a failure with no other endpoint left, the same one is asked again.
BACKOFF_SECONDS = 0.25
# Between two times that a suspect asks whether it may run.
TRIAL_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class ExchangeParts:
    """What every exchange of an entry VM shares."""

    clock: Clock
    timeline: Timeline
    configuration: ConfigurationService
    admission: Admission
    router: Router
    opener: UpstreamOpener
    budget: RetryBudget
    quarantine: Quarantine
    identity: VmIdentity
    meters: RequestMeters


# A refusal of one entry VM, whose neighbours may do better.
_OF_ENTRY_ALONE = frozenset(
    {RefusalCode.DRAINING, RefusalCode.CONFIGURATION_STALE}
)


class Exchange:
    """One request, its attempts so far, and the verdict on them."""

    def __init__(
        self, *, parts: ExchangeParts, request: InboundRequest
    ) -> None:
        """Begin without an attempt."""
        self.request = request
        self.delivered = request.resume_offset
        self.verdict = Verdict.NOT_RUN
        self._parts = parts
        self._attempts = 0
        self._excluded_endpoints: frozenset[str] = frozenset()
        self._excluded_data_centres: frozenset[str] = frozenset()
        self._trial: Trial | None = None
        self._last: Refusal | None = None

    def make_demand(self) -> Demand:
        """Describe the request for routing, as it stands now.

        :raises Refusal: if residency does not allow it to run anywhere
        """
        request = self.request
        priority = find_priority(self._parts.configuration, request)
        return Demand(
            service=request.service,
            regions=find_allowed_regions(self._parts.configuration, request),
            deadline=request.deadline,
            rank=priority.rank,
            worth=priority.worth,
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=request.prefix_hashes,
            repeatable=not request.unrepeatable,
            hops=request.hops,
            excluded_endpoints=self._excluded_endpoints,
            excluded_data_centres=self._excluded_data_centres,
            displaced=request.displaced,
            isolated=self._parts.quarantine.is_suspect(request.fingerprint),
        )

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self.request.deadline - self._parts.clock.monotonic()

    def may_try_elsewhere(self) -> bool:
        """Say whether another attempt may be made after one that ran."""
        may = self._attempts < MAX_ATTEMPTS - 1 and self.remaining() > 0
        return may and self.request.may_run_again

    async def open(self) -> Upstream:
        """Open attempts until one answers.

        :raises Refusal: with the verdict over all attempts
        """
        while True:
            try:
                upstream = await self._open_once()
                if upstream is not None:
                    return upstream
            except AttemptFailed as failure:
                await self._weigh(failure)
            except Refusal as refusal:
                raise self._admit(refusal) from None

    async def give_up(
        self, upstream: Upstream, failure: AttemptFailed
    ) -> None:
        """End an attempt that failed; return if another may be made.

        :raises Refusal: with the verdict over all attempts, if none may
        """
        await self._end(upstream, failure.outcome)
        if failure.lost and isinstance(upstream.place, ToEndpointPlace):
            self._note_loss(upstream.place.endpoint)
        self._exclude(upstream)
        await self._weigh(failure)

    async def abandon(self, upstream: Upstream) -> None:
        """End an attempt whose caller has gone."""
        await self._end(upstream, AttemptOutcome.CANCELLED)

    def complete(self, upstream: Upstream, *, tokens: int = 0) -> None:
        """End an attempt whose answer is whole."""
        upstream.finish(AttemptOutcome.COMPLETED, tokens=tokens)
        self._release_trial()
        self.verdict = Verdict.RAN
        if isinstance(upstream.place, ToEndpointPlace):
            self._parts.quarantine.note_completed(self.request.fingerprint)
        self._parts.timeline.record(
            "request.answered", request_id=self.request.request_id
        )

    async def _open_once(self) -> Upstream | None:
        if self.remaining() <= 0:
            raise _refuse_late()
        self._parts.quarantine.check(self.request.fingerprint)
        demand = self.make_demand()
        match self._parts.router.choose(demand):
            case ToEndpoint(endpoint=endpoint):
                self._check_region(self._parts.identity.region, demand)
                return await self._open_endpoint(endpoint, demand)
            case ToDataCentre() as choice:
                return await self._open_forward(choice, demand)
            case Nowhere() as nowhere:
                return await self._wait_for_room(nowhere)

    async def _open_endpoint(
        self, endpoint: Endpoint, demand: Demand
    ) -> Upstream | None:
        if demand.isolated:
            self._trial = await self._parts.quarantine.begin_trial(
                self.request.fingerprint, endpoint.endpoint_id
            )
            if self._trial is None:
                await self._parts.clock.sleep(TRIAL_PAUSE_SECONDS)
                return None
        attempt = self._parts.router.begin(endpoint, demand)
        try:
            upstream = await self._parts.opener.open_endpoint(
                self.request,
                endpoint,
                attempt,
                attempt_id=self._next_attempt_id(),
                offset=self.delivered,
            )
        except AttemptFailed as failure:
            attempt.finish(failure.outcome)
            self._release_trial()
            self._excluded_endpoints |= {endpoint.endpoint_id}
            if failure.lost:
                self._note_loss(endpoint)
            raise
        except BaseException:
            attempt.finish(AttemptOutcome.CANCELLED)
            self._release_trial()
            self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
            raise
        self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
        return upstream

    async def _open_forward(
        self, choice: ToDataCentre, demand: Demand
    ) -> Upstream | None:
        self._check_forward(choice, demand)
        self._parts.meters.note_forward(choice.data_centre)
        failure: AttemptFailed | None = None
        for entry in choice.entries:
            self._parts.timeline.record(
                "request.forwarded",
                request_id=self.request.request_id,
                to=entry.vm_id,
            )
            try:
                upstream = await self._parts.opener.open_forward(
                    self.request,
                    entry,
                    attempt_id=self.request.request_id,
                    offset=self.delivered,
                    displaced=self._parts.router.is_displaced(demand),
                )
                if VERDICT_HEADER not in upstream.headers:
                    self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
                    return upstream
                failure = await read_refusal(upstream, self.remaining())
            except AttemptFailed as error:
                failure = error
            except BaseException:
                self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
                raise
            if not _is_of_entry_alone(failure):
                break
        assert failure is not None, "a choice without entries"
        if _has_no_room(failure):
            await self._wait_again(choice.data_centre)
            return None
        self._excluded_data_centres |= {choice.data_centre}
        raise failure

    async def _wait_again(self, data_centre: str) -> None:
        """Go back to the line after a data centre turned out to be full.

        Sent on at once to whatever is left, the request would get past
        those who wait, into the queue of an engine that has no room.
        """
        self._parts.router.note_forward_refused(data_centre)
        await self._parts.admission.wait_again(
            self.request.client_id, self.make_demand()
        )

    async def _wait_for_room(self, nowhere: Nowhere) -> Upstream:
        refusal = _refuse_nowhere(nowhere, self._last)
        tried = self._excluded_endpoints or self._excluded_data_centres
        if not tried:
            raise refusal
        # Whatever failed may be back, and an answer that has begun is worth
        # more than a new one: ask it once more rather than give up.
        self._excluded_endpoints = frozenset()
        self._excluded_data_centres = frozenset()
        raise AttemptFailed(refusal, outcome=AttemptOutcome.REFUSED)

    async def _weigh(self, failure: AttemptFailed) -> None:
        refusal = failure.refusal
        self.verdict = worst(self.verdict, refusal.verdict)
        self._last = refusal
        self._parts.meters.note_failure(refusal)
        self._attempts += 1
        self._parts.timeline.record(
            "request.attempt_failed",
            request_id=self.request.request_id,
            code=refusal.code.value,
            attempt=self._attempts,
        )
        if self.remaining() <= 0:
            raise self._admit(_refuse_late())
        if failure.final or self._attempts >= MAX_ATTEMPTS:
            raise self._admit(refusal)
        if refusal.verdict is not Verdict.NOT_RUN:
            self._check_may_run_again(refusal, failure)
        pause = BACKOFF_SECONDS * (self._attempts - 1)
        if self.remaining() <= pause:
            raise self._admit(refusal)
        if pause:
            await self._parts.clock.sleep(pause)

    def _check_may_run_again(
        self, refusal: Refusal, failure: AttemptFailed
    ) -> None:
        if not self.request.may_run_again:
            raise self._admit(refusal)
        # Those that were in the batch of a crashing request pay nothing:
        # else the innocent would fail once the budget is used up.
        if failure.lost:
            return
        if not self._parts.budget.spend():
            raise self._admit(refusal)

    def _check_region(self, region: str, demand: Demand) -> None:
        # Routing chooses within the bounds; this is the last check before
        # data leaves, in case it ever does not.
        if region not in demand.regions:
            raise Refusal(
                code=RefusalCode.RESIDENCY,
                message=f"{region!r} is outside of the client's residency",
                verdict=Verdict.NOT_RUN,
            )

    def _check_forward(self, choice: ToDataCentre, demand: Demand) -> None:
        for entry in choice.entries:
            self._check_region(entry.region, demand)
        hops = self.request.hops
        if len(hops) >= MAX_FORWARDS or choice.data_centre in hops:
            raise Refusal(
                code=RefusalCode.LOOP,
                message=f"passed on too often: {', '.join(hops)}",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )

    def _admit(self, refusal: Refusal) -> Refusal:
        return refusal.with_verdict(worst(self.verdict, refusal.verdict))

    def _exclude(self, upstream: Upstream) -> None:
        match upstream.place:
            case ToEndpointPlace(endpoint=endpoint):
                self._excluded_endpoints |= {endpoint.endpoint_id}
            case ToDataCentrePlace(data_centre=data_centre):
                self._excluded_data_centres |= {data_centre}

    async def _end(self, upstream: Upstream, outcome: AttemptOutcome) -> None:
        upstream.finish(outcome)
        self._release_trial()
        self._parts.opener.cancel(self.request, upstream)
        await upstream.close()

    def _note_loss(self, endpoint: Endpoint) -> None:
        self._parts.quarantine.note_loss(self.request.fingerprint, endpoint)

    def _release_trial(self) -> None:
        if self._trial is not None:
            self._trial.release()
            self._trial = None

    def _next_attempt_id(self) -> str:
        """Return an id by which a late answer of an earlier attempt shows."""
        path = f"{len(self.request.hops)}{self._attempts}"
        return f"{self.request.request_id}.{path}.{self.delivered}"


def _refuse_late() -> Refusal:
    return Refusal(
        code=RefusalCode.DEADLINE,
        message="the deadline has passed",
        verdict=Verdict.NOT_RUN,
    )


def _is_of_entry_alone(failure: AttemptFailed) -> bool:
    """Say whether another entry VM of the data centre may do better."""
    if failure.outcome is AttemptOutcome.UNREACHABLE:
        return True
    return failure.refusal.code in _OF_ENTRY_ALONE


def _has_no_room(failure: AttemptFailed) -> bool:
    refusal = failure.refusal
    is_full = refusal.code is RefusalCode.OVERLOADED
    return is_full and refusal.verdict is Verdict.NOT_RUN


def _refuse_nowhere(nowhere: Nowhere, last: Refusal | None) -> Refusal:
    code = RefusalCode.OVERLOADED
    if last is not None:
        # What failed before says more than that nothing else is left.
        code = last.code
    elif nowhere.loop:
        code = RefusalCode.LOOP
    elif nowhere.no_endpoint:
        code = RefusalCode.NO_ENDPOINT
    elif nowhere.missed_deadline:
        code = RefusalCode.DEADLINE
    return Refusal(
        code=code,
        message=nowhere.message,
        verdict=Verdict.NOT_RUN,
        retry_after=nowhere.retry_after,
    )
