"""The sequence of attempts at one request.

Retries are made at one hop only: a forwarded request is retried by the entry
VM that received it. The forwarding entry VM retries elsewhere only if nothing
has run there, or if the connection to that entry VM was lost.
"""

from dataclasses import dataclass

from burdockdrum.admission import AdmissionControl
from burdockdrum.configuration import ConfigurationService
from burdockdrum.crashes import SOUND_SECONDS
from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quarantine import Quarantine
from burdockdrum.quarantine import Trial
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import DataCentreTarget
from burdockdrum.requests.attempts import EndpointTarget
from burdockdrum.requests.attempts import read_refusal
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.attempts import VERDICT_HEADER
from burdockdrum.requests.budget import RetryBudget
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.priority import find_priority
from burdockdrum.requests.request_metrics import RequestMetrics
from burdockdrum.requests.residency import find_allowed_regions
from burdockdrum.requests.upstreams import UpstreamOpener
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.routing import Unroutable
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst

# Attempts at one request by one entry VM, including the first.
MAX_ATTEMPTS = 4
MAX_FORWARDS = 2
# Linear backoff: the delay grows by this much with each further attempt.
BACKOFF_STEP_SECONDS = 0.25
# Interval at which a quarantined request polls for its turn.
TRIAL_POLL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class ExchangeServices:
    """The services that all exchanges of an entry VM use."""

    clock: Clock
    timeline: Timeline
    configuration: ConfigurationService
    admission: AdmissionControl
    router: Router
    opener: UpstreamOpener
    budget: RetryBudget
    quarantine: Quarantine
    identity: VmIdentity
    metrics: RequestMetrics


# Refusals that concern one entry VM and not its whole data centre.
_ENTRY_SPECIFIC_CODES = frozenset(
    {RefusalCode.DRAINING, RefusalCode.CONFIGURATION_STALE}
)


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
        self.verdict = Verdict.NOT_RUN
        self._services = services
        self._attempts = 0
        self._excluded_endpoints: frozenset[str] = frozenset()
        self._excluded_data_centres: frozenset[str] = frozenset()
        self._trial: Trial | None = None
        # When the attempt began, and to write, on the monotonic clock.
        self._opened_at = 0.0
        self._wrote_since: float | None = None
        self._is_sound = False
        self._last_refusal: Refusal | None = None

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
        may = self._attempts < MAX_ATTEMPTS - 1 and self.remaining() > 0
        return may and self.request.may_run_again

    async def open(self) -> Upstream:
        """Make attempts until one returns an answer.

        :raises Refusal: with the combined verdict of all attempts
        """
        while True:
            try:
                upstream = await self._open_once()
                if upstream is not None:
                    return upstream
            except AttemptFailed as failure:
                await self._handle_failure(failure)
            except Refusal as refusal:
                raise self._with_combined_verdict(refusal) from None

    async def give_up(
        self, upstream: Upstream, failure: AttemptFailed
    ) -> None:
        """End a failed attempt; return normally if a retry is allowed.

        :raises Refusal: with the combined verdict, if it is not allowed
        """
        await self._end(upstream, failure.outcome)
        if failure.lost and isinstance(upstream.target, EndpointTarget):
            self._report_loss(upstream.target.endpoint)
        self._exclude(upstream)
        await self._handle_failure(failure)

    async def abandon(self, upstream: Upstream) -> None:
        """End an attempt whose caller has disconnected."""
        await self._end(upstream, AttemptOutcome.CANCELLED)

    def complete(self, upstream: Upstream, *, tokens: int = 0) -> None:
        """End an attempt whose answer is complete."""
        upstream.finish(AttemptOutcome.COMPLETED, tokens=tokens)
        self._release_trial()
        self.verdict = Verdict.RAN
        if isinstance(upstream.target, EndpointTarget):
            self._services.quarantine.record_completion(
                self.request.fingerprint,
                self.request.parts,
                self._opened_at
                if self._wrote_since is None
                else self._wrote_since,
            )
        self._services.timeline.record(
            "request.answered", request_id=self.request.request_id
        )

    def record_output(self, upstream: Upstream) -> None:
        """Record that an attempt has written more of its answer."""
        now = self._services.clock.monotonic()
        if self._wrote_since is None:
            self._wrote_since = now
        if self._is_sound or now - self._wrote_since < SOUND_SECONDS:
            return
        self._is_sound = True
        if isinstance(upstream.target, EndpointTarget):
            self._services.quarantine.record_output(
                self.request.parts, self._wrote_since
            )

    async def _open_once(self) -> Upstream | None:
        if self.remaining() <= 0:
            raise _refuse_past_deadline()
        self._services.quarantine.check(
            self.request.fingerprint, self.request.parts
        )
        routing_request = self.make_routing_request()
        match self._services.router.choose(routing_request):
            case ToEndpoint(endpoint=endpoint):
                self._check_region(
                    self._services.identity.region, routing_request
                )
                return await self._open_endpoint(endpoint, routing_request)
            case ToDataCentre() as choice:
                return await self._open_forward(choice, routing_request)
            case Unroutable() as unroutable:
                return await self._retry_excluded(unroutable)

    async def _open_endpoint(
        self, endpoint: Endpoint, routing_request: RoutingRequest
    ) -> Upstream | None:
        suspect = self._find_suspect()
        if suspect is not None:
            self._trial = await self._services.quarantine.begin_trial(
                suspect, endpoint.endpoint_id
            )
            if self._trial is None:
                await self._services.clock.sleep(TRIAL_POLL_SECONDS)
                return None
        self._opened_at = self._services.clock.monotonic()
        self._wrote_since, self._is_sound = None, False
        attempt = self._services.router.begin(endpoint, routing_request)
        try:
            upstream = await self._services.opener.open_endpoint(
                self.request,
                endpoint,
                attempt,
                attempt_id=self._next_attempt_id(),
                offset=self.delivered_tokens,
            )
        except AttemptFailed as failure:
            attempt.finish(failure.outcome)
            self._release_trial()
            self._excluded_endpoints |= {endpoint.endpoint_id}
            if failure.lost:
                self._report_loss(endpoint)
            raise
        except BaseException:
            attempt.finish(AttemptOutcome.CANCELLED)
            self._release_trial()
            self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
            raise
        self.verdict = worst(self.verdict, Verdict.MAY_HAVE_RUN)
        return upstream

    async def _open_forward(
        self, choice: ToDataCentre, routing_request: RoutingRequest
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
            try:
                upstream = await self._services.opener.open_forward(
                    self.request,
                    entry,
                    attempt_id=self.request.request_id,
                    offset=self.delivered_tokens,
                    displaced=self._services.router.is_displaced(
                        routing_request
                    ),
                    software_version=self.software_version,
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
            if not _is_entry_specific(failure):
                break
        assert failure is not None, "ToDataCentre without entry VMs"
        if _is_overloaded(failure):
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

    async def _retry_excluded(self, unroutable: Unroutable) -> Upstream:
        refusal = _refuse_unroutable(unroutable, self._last_refusal)
        tried = self._excluded_endpoints or self._excluded_data_centres
        if not tried:
            raise refusal
        # Excluded targets may have recovered, so they are retried once more
        # before the request is refused.
        self._excluded_endpoints = frozenset()
        self._excluded_data_centres = frozenset()
        raise AttemptFailed(refusal, outcome=AttemptOutcome.REFUSED)

    async def _handle_failure(self, failure: AttemptFailed) -> None:
        refusal = failure.refusal
        self.verdict = worst(self.verdict, refusal.verdict)
        self._last_refusal = refusal
        self._services.metrics.record_failure(refusal)
        self._attempts += 1
        self._services.timeline.record(
            "request.attempt_failed",
            request_id=self.request.request_id,
            code=refusal.code.value,
            attempt=self._attempts,
        )
        if self.remaining() <= 0:
            raise self._with_combined_verdict(_refuse_past_deadline())
        if failure.final or self._attempts >= MAX_ATTEMPTS:
            raise self._with_combined_verdict(refusal)
        if refusal.verdict is not Verdict.NOT_RUN:
            self._check_may_run_again(refusal, failure)
        backoff = BACKOFF_STEP_SECONDS * (self._attempts - 1)
        if self.remaining() <= backoff:
            raise self._with_combined_verdict(refusal)
        if backoff:
            await self._services.clock.sleep(backoff)

    def _check_may_run_again(
        self, refusal: Refusal, failure: AttemptFailed
    ) -> None:
        if not self.request.may_run_again:
            raise self._with_combined_verdict(refusal)
        # Lost connections don't count against the budget: one request that
        # crashes an engine would exhaust it for all others in its batch.
        if failure.lost:
            return
        if not self._services.budget.try_withdraw():
            raise self._with_combined_verdict(refusal)

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

    def _exclude(self, upstream: Upstream) -> None:
        match upstream.target:
            case EndpointTarget(endpoint=endpoint):
                self._excluded_endpoints |= {endpoint.endpoint_id}
            case DataCentreTarget(data_centre=data_centre):
                self._excluded_data_centres |= {data_centre}

    async def _end(self, upstream: Upstream, outcome: AttemptOutcome) -> None:
        upstream.finish(outcome)
        self._release_trial()
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

    def _release_trial(self) -> None:
        if self._trial is not None:
            self._trial.release()
            self._trial = None

    def _next_attempt_id(self) -> str:
        """Return an id that differs between attempts.

        It identifies a delayed answer to an earlier attempt.
        """
        path = f"{len(self.request.hops)}{self._attempts}"
        return f"{self.request.request_id}.{path}.{self.delivered_tokens}"


def _refuse_past_deadline() -> Refusal:
    return Refusal(
        code=RefusalCode.DEADLINE,
        message="the deadline has passed",
        verdict=Verdict.NOT_RUN,
    )


def _is_entry_specific(failure: AttemptFailed) -> bool:
    """Return whether another entry VM of the data centre may succeed."""
    if failure.outcome is AttemptOutcome.UNREACHABLE:
        return True
    return failure.refusal.code in _ENTRY_SPECIFIC_CODES


def _is_overloaded(failure: AttemptFailed) -> bool:
    refusal = failure.refusal
    is_full = refusal.code is RefusalCode.OVERLOADED
    return is_full and refusal.verdict is Verdict.NOT_RUN


def _refuse_unroutable(
    unroutable: Unroutable, last: Refusal | None
) -> Refusal:
    code = RefusalCode.OVERLOADED
    if last is not None:
        # The last failure is more specific than the lack of alternatives.
        code = last.code
    elif unroutable.loop:
        code = RefusalCode.LOOP
    elif unroutable.no_endpoint:
        code = RefusalCode.NO_ENDPOINT
    elif unroutable.missed_deadline:
        code = RefusalCode.DEADLINE
    return Refusal(
        code=code,
        message=unroutable.message,
        verdict=Verdict.NOT_RUN,
        retry_after=unroutable.retry_after,
    )
