"""The sequence of attempts at one request.

Retries are made at one hop only: a forwarded request is retried by the entry
VM that received it. The forwarding entry VM retries elsewhere only if nothing
has run there, or if the connection to that entry VM was lost or is silent.
"""

from dataclasses import replace
from typing import Any

from burdockdrum.attempts import Attempt
from burdockdrum.crashes import SOUND_SECONDS
from burdockdrum.endpoints import Endpoint
from burdockdrum.logs import log_decision
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import DataCentreTarget
from burdockdrum.requests.attempts import EndpointTarget
from burdockdrum.requests.attempts import fail_timed_out
from burdockdrum.requests.attempts import read_refusal
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.attempts import VERDICT_HEADER
from burdockdrum.requests.exchange_services import ExchangeServices
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.priority import find_priority
from burdockdrum.requests.read_timer import ReadTimer
from burdockdrum.requests.refusals import is_entry_specific
from burdockdrum.requests.refusals import is_overloaded
from burdockdrum.requests.refusals import refuse_past_deadline
from burdockdrum.requests.refusals import refuse_unroutable
from burdockdrum.requests.residency import find_allowed_regions
from burdockdrum.requests.retry_allowance import MAX_ATTEMPTS
from burdockdrum.requests.retry_allowance import RetryAllowance
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Choice
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.routing import Unroutable
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst

MAX_FORWARDS = 2
# Linear backoff: the delay grows by this much with each further attempt.
BACKOFF_STEP_SECONDS = 0.25
# Interval at which a quarantined request polls for its turn.
TRIAL_POLL_SECONDS = 0.1


class Exchange:
    """One request, its attempts so far, and their combined verdict."""

    def __init__(
        self, *, services: ExchangeServices, request: InboundRequest
    ) -> None:
        """Create an exchange without attempts."""
        self.request = request
        self.delivered_tokens = request.resume_offset
        # That of the endpoint which began the stream, None if none has.
        self.software_version = request.software_version
        # Whether another attempt can go on with the stream.
        self.resumable = True
        self.verdict = Verdict.NOT_RUN
        self._services = services
        self._allowance = RetryAllowance(budget=services.budget)
        self._is_complete = False
        self._excluded_endpoints: frozenset[str] = frozenset()
        self._excluded_data_centres: frozenset[str] = frozenset()
        self._last_refusal: Refusal | None = None
        # Entry VMs of other data centres that were silent.
        self._silent_entries: frozenset[str] = frozenset()

    def make_routing_request(self) -> RoutingRequest:
        """Return the current routing parameters of the request.

        :raises Refusal: if residency allows no region
        """
        request = self.request
        priority = find_priority(self._services.configuration, request)
        return RoutingRequest(
            service=request.service,
            regions=find_allowed_regions(
                self._services.configuration, request
            ),
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
            isolated=self._find_suspect() is not None,
            software_version=self.software_version,
        )

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self.request.deadline - self._services.clock.monotonic()

    def may_retry(self) -> bool:
        """Return whether a request that may have run can be retried."""
        is_last = self._allowance.counted >= MAX_ATTEMPTS - 1
        may = not is_last and self.remaining() > 0
        return may and self.request.may_run_again

    async def open(
        self, attempt: Attempt[Target, Any], timer: ReadTimer
    ) -> Upstream:
        """Find a target for an attempt and return the open answer.

        :raises AttemptFailed: if it fails
        :raises Refusal: if there is no target for it
        """
        while True:
            upstream = await self._open_once(attempt, timer)
            if upstream is not None:
                return upstream

    def report_silence(
        self, attempt: Attempt[Target, Any], timer: ReadTimer
    ) -> None:
        """Let another attempt start beside a silent one, if it may.

        An attempt at an endpoint that has started again meanwhile is ended.
        """
        target = attempt.target
        match target:
            case None:
                return
            case EndpointTarget(endpoint=endpoint):
                target.attempt.record_silence()
                if self._services.router.is_replaced(endpoint):
                    timer.abort()
                    return
            case DataCentreTarget(vm_id=vm_id):
                self._silent_entries |= {vm_id}
        self._exclude(target)
        if attempt.may_have_successor and self._may_start_beside(attempt):
            log_decision(
                "attempt.stalled",
                request_id=self.request.request_id,
                place=_name(target),
            )
            attempt.stall()

    def record_stall(self, attempt: Attempt[Target, Any]) -> None:
        """Record that another attempt starts beside a silent one."""
        if self._allowance.count(attempt):
            self._worsen(Verdict.MAY_HAVE_RUN)
            refusal = fail_timed_out("no data within the timeout").refusal
            self._services.metrics.record_failure(refusal)

    def record_superseded(self, attempt: Attempt[Target, Any]) -> None:
        """Record that an attempt was ended because another one responds."""
        if attempt.was_sent:
            self._allowance.count(attempt)

    async def end_failed(
        self, upstream: Upstream, failure: AttemptFailed
    ) -> None:
        """End a failed attempt and exclude its target."""
        await self._end(upstream, failure.outcome)
        if failure.lost and isinstance(upstream.target, EndpointTarget):
            self._report_loss(upstream.target.endpoint)
        self._exclude(upstream.target)

    def record_failure(
        self, attempt: Attempt[Target, Any], failure: AttemptFailed
    ) -> None:
        """Record the failure of an attempt that has ended."""
        refusal = failure.refusal
        self._allowance.is_final |= failure.final
        self._worsen(refusal.verdict)
        self._last_refusal = refusal
        self._services.metrics.record_failure(refusal)
        self._allowance.count(attempt)
        self._services.timeline.record(
            "request.attempt_failed",
            request_id=self.request.request_id,
            code=refusal.code.value,
            attempt=self._allowance.counted,
        )

    async def prepare_retry(self, failure: AttemptFailed) -> None:
        """Wait until the request may be retried after its last attempt.

        :raises Refusal: with the combined verdict, if it may not
        """
        refusal = failure.refusal
        if self.remaining() <= 0:
            raise self.combine(refuse_past_deadline())
        if self._allowance.is_spent:
            raise self.combine(refusal)
        if refusal.verdict is not Verdict.NOT_RUN:
            self._check_may_run_again(refusal, failure)
        backoff = BACKOFF_STEP_SECONDS * (self._allowance.counted - 1)
        if self.remaining() <= backoff:
            raise self.combine(refusal)
        if backoff:
            await self._services.clock.sleep(backoff)

    def combine(self, refusal: Refusal) -> Refusal:
        """Return a refusal with the combined verdict of all attempts."""
        return self._with_combined_verdict(refusal)

    def log_not_replaced(self, refusal: Refusal) -> None:
        """Log that an attempt beside a silent one could not replace it."""
        log_decision(
            "attempt.not_replaced",
            request_id=self.request.request_id,
            reason=refusal.message,
        )

    async def abandon(self, upstream: Upstream) -> None:
        """End an attempt whose caller has disconnected."""
        await self._end(upstream, AttemptOutcome.CANCELLED)

    def complete(self, upstream: Upstream, *, tokens: int = 0) -> None:
        """End an attempt whose answer is complete."""
        upstream.finish(AttemptOutcome.COMPLETED, tokens=tokens)
        _release_trial(upstream.target)
        self.verdict = Verdict.RAN
        self._is_complete = True
        if isinstance(upstream.target, EndpointTarget):
            self._services.quarantine.record_completion(
                self.request.fingerprint,
                self.request.parts,
                upstream.target.opened_at
                if upstream.wrote_since is None
                else upstream.wrote_since,
            )
        self._services.timeline.record(
            "request.answered", request_id=self.request.request_id
        )

    def record_output(self, upstream: Upstream) -> None:
        """Record that an attempt has written more of its answer."""
        now = self._services.clock.monotonic()
        if upstream.wrote_since is None:
            upstream.wrote_since = now
        if upstream.is_sound or now - upstream.wrote_since < SOUND_SECONDS:
            return
        upstream.is_sound = True
        if isinstance(upstream.target, EndpointTarget):
            self._services.quarantine.record_output(
                self.request.parts, upstream.wrote_since
            )

    async def _open_once(
        self, attempt: Attempt[Target, Any], timer: ReadTimer
    ) -> Upstream | None:
        if self.remaining() <= 0:
            raise refuse_past_deadline()
        self._services.quarantine.check(
            self.request.fingerprint, self.request.parts
        )
        routing_request = self.make_routing_request()
        match self._choose(routing_request):
            case ToEndpoint(endpoint=endpoint):
                self._check_region(
                    self._services.identity.region, routing_request
                )
                return await self._open_endpoint(
                    endpoint, routing_request, attempt, timer
                )
            case ToDataCentre() as choice:
                return await self._open_forward(
                    choice, routing_request, attempt, timer
                )
            case Unroutable() as unroutable:
                raise self._refuse_without_target(unroutable, attempt)

    async def _open_endpoint(
        self,
        endpoint: Endpoint,
        routing_request: RoutingRequest,
        attempt: Attempt[Target, Any],
        timer: ReadTimer,
    ) -> Upstream | None:
        suspect = self._find_suspect()
        trial = None
        if suspect is not None:
            trial = await self._services.quarantine.begin_trial(
                suspect, endpoint.endpoint_id, self.remaining()
            )
            if trial is None:
                await self._services.clock.sleep(TRIAL_POLL_SECONDS)
                return None
        target = EndpointTarget(
            endpoint=endpoint,
            attempt=self._services.router.begin(endpoint, routing_request),
            opened_at=self._services.clock.monotonic(),
            trial=trial,
        )
        has_grant = self._begin(attempt, target)
        try:
            upstream = await self._services.opener.open_endpoint(
                self.request,
                target,
                timer,
                attempt_id=self._next_attempt_id(),
                offset=self.delivered_tokens,
            )
        except AttemptFailed as failure:
            target.attempt.finish(failure.outcome)
            _release_trial(target)
            self._exclude(target)
            self._return_grant(has_grant, failure)
            if failure.lost:
                self._report_loss(endpoint)
            raise
        except BaseException:
            target.attempt.finish(AttemptOutcome.CANCELLED)
            _release_trial(target)
            self._worsen(Verdict.MAY_HAVE_RUN)
            raise
        self._worsen(Verdict.MAY_HAVE_RUN)
        return upstream

    async def _open_forward(
        self,
        choice: ToDataCentre,
        routing_request: RoutingRequest,
        attempt: Attempt[Target, Any],
        timer: ReadTimer,
    ) -> Upstream | None:
        self._check_forward(choice, routing_request)
        self._services.metrics.record_forward(choice.data_centre)
        failure: AttemptFailed | None = None
        for entry in choice.entries:
            self._services.timeline.record(
                "request.forwarded",
                request_id=self.request.request_id,
                to=entry.vm_id,
            )
            target = DataCentreTarget(
                data_centre=entry.data_centre, vm_id=entry.vm_id
            )
            has_grant = self._begin(attempt, target)
            try:
                upstream = await self._services.opener.open_forward(
                    self.request,
                    target,
                    entry,
                    timer,
                    attempt_id=self.request.request_id,
                    offset=self.delivered_tokens,
                    displaced=self._services.router.is_displaced(
                        routing_request
                    ),
                    software_version=self.software_version,
                )
                if VERDICT_HEADER not in upstream.headers:
                    self._worsen(Verdict.MAY_HAVE_RUN)
                    return upstream
                failure = await read_refusal(upstream, self.remaining())
            except AttemptFailed as error:
                failure = error
            except BaseException:
                self._worsen(Verdict.MAY_HAVE_RUN)
                raise
            self._return_grant(has_grant, failure)
            if not is_entry_specific(failure):
                break
        assert failure is not None, "ToDataCentre without entry VMs"
        if is_overloaded(failure):
            await self._requeue(choice.data_centre)
            return None
        self._excluded_data_centres |= {choice.data_centre}
        raise failure

    async def _requeue(self, data_centre: str) -> None:
        """Queue the request again after a data centre refused it as full.

        Retrying elsewhere at once would overtake the queued requests and
        fill the queue of an overloaded engine.
        """
        self._services.router.record_forward_refused(data_centre)
        await self._services.admission.wait_again(
            self.request.client_id, self.make_routing_request()
        )

    def _refuse_without_target(
        self, unroutable: Unroutable, attempt: Attempt[Target, Any]
    ) -> Refusal | AttemptFailed:
        refusal = refuse_unroutable(unroutable, self._last_refusal)
        tried = self._excluded_endpoints or self._excluded_data_centres
        # A silent attempt still runs at one of them.
        if not tried or not attempt.is_alone:
            return refusal
        # Excluded targets may have recovered, so they are retried once more
        # before the request is refused.
        self._excluded_endpoints = frozenset()
        self._excluded_data_centres = frozenset()
        self._silent_entries = frozenset()
        return AttemptFailed(refusal, outcome=AttemptOutcome.REFUSED)

    def _check_may_run_again(
        self, refusal: Refusal, failure: AttemptFailed
    ) -> None:
        if not self.request.may_run_again:
            raise self.combine(refusal)
        # Lost connections don't count against the budget: one request that
        # crashes an engine would exhaust it for all others in its batch.
        if failure.lost:
            return
        if not self._allowance.acquire_grant():
            raise self.combine(refusal)

    def _may_start_beside(self, attempt: Attempt[Target, Any]) -> bool:
        """Return whether another attempt may start beside a silent one now.

        Charges it to the retry budget. A suspect must not run twice at once.
        """
        if not self._allowance.may_begin_beside(attempt):
            return False
        if self.remaining() <= 0:
            return False
        if not self.request.may_run_again or not self.resumable:
            return False
        if self._find_suspect() is not None:
            return False
        # Asked before the router, which records the forwards that it chooses.
        if not self._allowance.can_acquire_grant:
            return False
        try:
            choice = self._choose(self.make_routing_request())
        except Refusal:
            return False
        if isinstance(choice, Unroutable):
            return False
        return self._allowance.acquire_grant()

    def _choose(self, routing_request: RoutingRequest) -> Choice:
        router = self._services.router
        choice = router.choose(routing_request)
        if not self._silent_entries or not isinstance(choice, Unroutable):
            return choice
        # The entry VM may be silent, and not its data centre.
        other = router.choose(
            replace(routing_request, excluded_data_centres=frozenset())
        )
        if not isinstance(other, ToDataCentre):
            return choice
        entries = tuple(
            entry
            for entry in other.entries
            if entry.vm_id not in self._silent_entries
        )
        return replace(other, entries=entries) if entries else choice

    def _worsen(self, verdict: Verdict) -> None:
        # Attempts beside the one that has answered may end after it.
        if not self._is_complete:
            self.verdict = worst(self.verdict, verdict)

    def _begin(self, attempt: Attempt[Target, Any], target: Target) -> bool:
        """Begin an attempt at a target; return whether it uses a grant."""
        attempt.target, attempt.was_sent = target, True
        return self._allowance.use_grant()

    def _return_grant(self, has_grant: bool, failure: AttemptFailed) -> None:
        if has_grant and failure.refusal.verdict is Verdict.NOT_RUN:
            self._allowance.return_grant()

    def _check_region(
        self, region: str, routing_request: RoutingRequest
    ) -> None:
        # Routing selects within the residency already. This last check
        # guards against an error there before data leaves the region.
        if region not in routing_request.regions:
            raise Refusal(
                code=RefusalCode.RESIDENCY,
                message=f"region {region!r} is not in the client's residency",
                verdict=Verdict.NOT_RUN,
            )

    def _check_forward(
        self, choice: ToDataCentre, routing_request: RoutingRequest
    ) -> None:
        for entry in choice.entries:
            self._check_region(entry.region, routing_request)
        hops = self.request.hops
        if len(hops) >= MAX_FORWARDS or choice.data_centre in hops:
            raise Refusal(
                code=RefusalCode.LOOP,
                message=f"too many hops: {', '.join(hops)}",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )

    def _with_combined_verdict(self, refusal: Refusal) -> Refusal:
        return refusal.with_verdict(worst(self.verdict, refusal.verdict))

    def _exclude(self, target: Target) -> None:
        match target:
            case EndpointTarget(endpoint=endpoint):
                self._excluded_endpoints |= {endpoint.endpoint_id}
            case DataCentreTarget(data_centre=data_centre):
                self._excluded_data_centres |= {data_centre}

    async def _end(self, upstream: Upstream, outcome: AttemptOutcome) -> None:
        upstream.finish(outcome)
        _release_trial(upstream.target)
        self._services.opener.cancel(self.request, upstream)
        await upstream.close()

    def _report_loss(self, endpoint: Endpoint) -> None:
        self._services.quarantine.record_loss(
            self.request.fingerprint, endpoint, self.request.parts
        )

    def _find_suspect(self) -> str | None:
        """Return what of the request must run apart from other suspects."""
        return self._services.quarantine.find_suspect(
            self.request.fingerprint, self.request.parts
        )

    def _next_attempt_id(self) -> str:
        """Return an id that differs between attempts.

        It identifies a delayed answer to an earlier attempt.
        """
        path = f"{len(self.request.hops)}{self._allowance.counted}"
        return f"{self.request.request_id}.{path}.{self.delivered_tokens}"


def _release_trial(target: Target) -> None:
    if isinstance(target, EndpointTarget) and target.trial is not None:
        target.trial.release()


def _name(target: Target) -> str:
    match target:
        case EndpointTarget(endpoint=endpoint):
            return endpoint.endpoint_id
        case DataCentreTarget(vm_id=vm_id):
            return vm_id
