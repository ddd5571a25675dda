"""Select the target of a request's next attempt, or refuse the request.

Compares the best local endpoint with other regions (spill-over), or with other
entry VMs of this region if this one may not reach all endpoints, and sheds
load that would miss its latency objective.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
from dataclasses import replace
import random

from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import must_return
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection.fleet import Fleet
from burdockdrum.passthrough.selection.output_pace import delays_urgent
from burdockdrum.passthrough.selection.output_pace import OutputNeeds
from burdockdrum.passthrough.selection.region_rating import RegionRater
from burdockdrum.passthrough.selection.team_shares import TeamShares
from burdockdrum.passthrough.selection.versions import ANY_VERSION
from burdockdrum.passthrough.selection.versions import ESTABLISHED_VERSION
from burdockdrum.passthrough.selection.versions import OnlyVersion
from burdockdrum.passthrough.selection.versions import VersionFilter
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import ServiceCapacity
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode

# How much better another region must be. All entry VMs see the same load
# reports, half a second old, and would otherwise move there all at once.
SPILL_MARGIN_SECONDS = 0.15
# Retry-After if no endpoint is eligible; the next heartbeat may change that.
NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
# Factor by which a remote queue may exceed the limit if there is no local
# endpoint: load reports are stale, and the other region can still refuse.
REMOTE_QUEUE_FACTOR = 3
# Requests expected within this fraction of the latency objective stay local:
# traffic between regions costs money and loses cached prefixes.
SPILL_OBJECTIVE_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.3
# Queue limit of requests that have already missed their objective: they are
# served only where that takes little time from others.
MIN_QUEUE_SECONDS = 0.1
# Fraction of the objective that a request may always queue, as the prefill of
# a long prompt alone can exceed the objective.
MIN_QUEUE_FRACTION = 0.25
MAX_RETRY_AFTER_SECONDS = 3.0
# Fraction of the objective up to which the queue of an endpoint may grow by
# requests that can wait at the entry instead. It covers the age of the loads
# that other entries report, so that no endpoint runs out of work.
SENT_QUEUE_FRACTION = 0.5
# Endpoints that a request is sent to in vain before other entries are asked.
MAX_UNREACHED_ENDPOINTS = 2
# An entry that reaches no endpoint is not asked again for this time.
CUT_ENTRY_SECONDS = 1.0
# Requests refused because of a backoff return over its length after its end,
# and over so many seconds at most.
MAX_RETURN_SPREAD_SECONDS = 5.0


class QueueTooLong(Refusal):
    """A refusal because the queues of all targets are too long.

    Times are in seconds: ``queue_seconds`` is the best queue here,
    ``limit_seconds`` the longest that the request is sent to,
    ``allowed_seconds`` how long it may queue in all and ``work_seconds``
    what it takes of an engine.
    """

    def __init__(
        self,
        *,
        refusal: Refusal,
        queue_seconds: float,
        limit_seconds: float,
        allowed_seconds: float,
        work_seconds: float,
    ) -> None:
        """Create it from the refusal that the caller would get."""
        super().__init__(
            code=refusal.code,
            message=refusal.message,
            verdict=refusal.verdict,
            retry_after=refusal.retry_after,
        )
        self.queue_seconds = queue_seconds
        self.limit_seconds = limit_seconds
        self.allowed_seconds = allowed_seconds
        self.work_seconds = work_seconds


class TargetSelector:
    """Selects among local endpoints and other entry VMs."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        fleet: Fleet,
        region: str,
        read_capacities: Callable[[], list[ServiceCapacity]],
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_closed_data_centres: Callable[[], frozenset[str]],
        hop_address: Callable[[VmIdentity], str],
        mechanisms: MechanismSettings | None = None,
        crossing_seconds: float = 0.0,
        team_shares: TeamShares | None = None,
        vm_id: str = "",
    ) -> None:
        """Create it for a region.

        :param read_capacities: returns the load and capacity of each region
        :param read_entries: returns the live entry VMs of all regions
        :param read_closed_data_centres: returns the data centres that get no
            new requests
        :param hop_address: returns where an entry VM accepts forwarded
            requests
        :param mechanisms: the enabled parts of the policy; default all
        :param crossing_seconds: seconds of waiting that equal the cost of
            sending a megabyte to another region
        :param team_shares: shares of teams where endpoints are short; none by
            default
        :param vm_id: the id of this entry VM, which is not forwarded to
        """
        self._vm_id = vm_id
        # When to ask an entry VM again, by its id and the service.
        self._ask_again_at_by_key: dict[tuple[str, str], float] = {}
        self._mechanisms = mechanisms or MechanismSettings()
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._region = region
        self._regions = RegionRater(
            clock=clock,
            fleet=fleet,
            region=region,
            read_capacities=read_capacities,
            mechanisms=self._mechanisms,
            crossing_seconds=crossing_seconds,
        )
        self._read_entries = read_entries
        self._read_closed_data_centres = read_closed_data_centres
        self._hop_address = hop_address
        self._team_shares = team_shares

    def select(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target:
        """Select the target of the next attempt.

        :raises Refusal: with the verdict so far, if no target accepts it
        """
        return self._select(request, progress, self._team_shares)

    def _select(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        shares: TeamShares | None,
    ) -> Target:
        local = self._choose_local(request, progress)
        is_unlinked = progress.unreached >= MAX_UNREACHED_ENDPOINTS
        remote = self._choose_region(
            request, progress, None if is_unlinked else local
        )
        if remote is not None:
            return remote
        remaining = request.deadline - self._clock.monotonic()
        if shares is not None:
            shares.record_requested(request, progress, local)
        if local is None:
            raise self._refuse_without_endpoint(request, progress)
        self._check_links(request, progress)
        allowed = self._max_queue_seconds(
            request, progress, remaining, local.wait
        )
        if shares is not None:
            self._check_share(request, progress, shares, local, allowed)
        queue = local.wait.queue
        limit = self._limit_to_send(request, progress, allowed)
        if queue > limit:
            raise self._refuse_queue(
                request, progress, local, limit=limit, allowed=allowed
            )
        self._check_finish(request, progress, local, remaining)
        if shares is not None:
            local = shares.mark(request, local)
        return EndpointTarget(choice=local)

    def _check_links(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> None:
        """Refuse a request of another entry of this region in vain.

        That entry may not reach the endpoints; another region may serve it.

        :raises Refusal: if this entry may not reach any of them either
        """
        service = request.backend.name
        is_near_hop = request.forwarded_from == self._region
        if is_near_hop and self._fleet.are_all_doubtful(service):
            raise self._make_refusal(
                request,
                progress,
                "all local endpoints are in doubt here as well",
                NO_ENDPOINT_RETRY_AFTER_SECONDS,
                code=RefusalCode.NO_ENDPOINT,
            )

    def _check_share(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        shares: TeamShares,
        local: RatedEndpoint,
        allowed: float,
    ) -> None:
        """Refuse a request of a team above its share if endpoints are short.

        :param allowed: how many seconds the request may queue
        :raises Refusal: with the time at which its share admits it
        """
        refusal = shares.find_refusal(request, progress, local, allowed)
        if refusal is not None:
            raise self._make_refusal(
                request,
                progress,
                refusal.reason,
                refusal.retry_after,
                code=RefusalCode.OVERLOADED,
            )

    def _check_finish(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        local: RatedEndpoint,
        remaining: float,
    ) -> None:
        """Refuse a request if a response would be cut at its deadline.

        That may be its own, or a more urgent one that it would delay. A
        response that has begun is continued as far as possible.

        :param remaining: seconds until the caller's deadline
        :raises Refusal: if a response would not be complete
        """
        needs = self._output_needs(request, remaining)
        if needs is None or progress.first_chunk_at is not None:
            return
        if delays_urgent(local.wait):
            raise self._refuse(
                request,
                progress,
                "more urgent responses are behind their deadline",
                self._fleet.run_seconds(request.backend.name),
            )
        late = needs.seconds_too_late(local)
        if late > 0:
            reason = (
                f"response expected after {local.wait.until_complete:.2f} s, "
                f"deadline in {remaining:.2f} s"
            )
            raise self._refuse(request, progress, reason, late)

    def _output_needs(
        self, request: ProxiedRequest, remaining: float
    ) -> OutputNeeds | None:
        engine = request.backend.engine
        if engine is None or not self._mechanisms.output_pace:
            return None
        return OutputNeeds.of(request.route, engine, request.prompt, remaining)

    def has_alternative(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        target: Target,
    ) -> bool:
        """Return whether another target would accept the request now."""
        tried, regions = set(progress.tried), set(progress.tried_regions)
        match target:
            case EndpointTarget(choice=choice):
                tried.add(choice.endpoint.endpoint_id)
            case RegionTarget(vm_id=vm_id, region=region):
                tried.add(vm_id)
                regions.add(region)
        next_progress = replace(
            progress, tried=tried, tried_regions=regions, may_wait=False
        )
        try:
            self._select(request, next_progress, None)
        except Refusal:
            return False
        return True

    def _max_queue_seconds(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        remaining: float,
        wait: ExpectedWait,
    ) -> float:
        """Return how many seconds a request may queue.

        A request that would miss its objective is refused early, so that it
        doesn't delay those that can still be served in time.

        :param remaining: seconds until the caller's deadline
        :param wait: the expected wait at the target
        """
        if not self._mechanisms.early_refusal:
            return remaining
        passed = self._clock.monotonic() - request.received_at
        if progress.origin is not None or progress.withdrawn:
            # What its caller has would be lost, and few endpoints may go on;
            # or this entry made it late.
            passed = 0.0
        seconds_to_objective = request.route.objective_seconds - passed
        rest = seconds_to_objective - wait.service_time - wait.expected_error
        return min(
            remaining,
            max(
                rest,
                seconds_to_objective * MIN_QUEUE_FRACTION,
                MIN_QUEUE_SECONDS,
            ),
        )

    def _limit_to_send(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        allowed: float,
    ) -> float:
        """Return the longest queue of an endpoint that a request is sent to.

        A request that may wait here is not sent to a long queue: there it
        could not go elsewhere any more, nor let a more urgent one pass.

        :param allowed: how many seconds the request may queue
        """
        if not progress.may_wait:
            return allowed
        objective = request.route.objective_seconds
        return min(allowed, objective * SENT_QUEUE_FRACTION)

    def _choose_local(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> RatedEndpoint | None:
        if not self._may_run_here(request):
            return None
        if progress.avoided:
            apart = self._choose_untried(
                request, progress, progress.tried | progress.avoided
            )
            if apart is not None or progress.must_avoid:
                return apart
        return self._choose_untried(request, progress, progress.tried)

    def _choose_untried(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        tried: Set[str],
    ) -> RatedEndpoint | None:
        permit = progress.permit
        return self._fleet.choose(
            route=request.route,
            backend=request.backend,
            prompt=request.prompt,
            seconds_left=request.deadline - self._clock.monotonic(),
            tried=frozenset(tried - progress.returnable),
            closed_data_centres=self._read_closed_data_centres(),
            body_bytes=len(request.head.body),
            permitted=permit.endpoint_id if permit is not None else None,
            versions=_versions_for(request, progress),
            only=progress.returnable
            if must_return(request, progress)
            else None,
        )

    def _choose_region(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        local: RatedEndpoint | None,
    ) -> RegionTarget | None:
        if request.forwarded_from is not None:
            # Forwarding loop: two entry VMs that each see free capacity at the
            # other would send a request back and forth.
            return None
        if must_return(request, progress):
            return None
        limit = float("inf")
        remaining = request.deadline - self._clock.monotonic()
        needs: OutputNeeds | None = None
        if local is not None:
            if not self._mechanisms.region_spill:
                return None
            spill_threshold = (
                request.route.objective_seconds * SPILL_OBJECTIVE_FRACTION
            )
            needs = self._output_needs(request, remaining)
            is_met = needs is None or needs.are_met(local.wait)
            if is_met and local.wait.total <= spill_threshold:
                return None
            if is_met:
                limit = local.wait.total - SPILL_MARGIN_SECONDS
        for wait, region in self._regions.rate(request, progress):
            if needs is not None and not needs.are_met(wait):
                continue
            if wait.total >= limit:
                return None
            allowed = self._max_queue_seconds(
                request, progress, remaining, wait
            )
            allowed = self._limit_to_send(request, progress, allowed)
            if local is None:
                # The load reports are stale; the other region refuses the
                # request itself if it has no free capacity.
                allowed = min(remaining, allowed * REMOTE_QUEUE_FACTOR)
            if wait.queue > allowed:
                continue
            entry = self._choose_entry(region, request, progress)
            if entry is not None:
                return RegionTarget(
                    region=region,
                    address=self._hop_address(entry),
                    vm_id=entry.vm_id,
                    wait_seconds=wait.total,
                )
        return None

    def _choose_entry(
        self, region: str, request: ProxiedRequest, progress: RequestProgress
    ) -> VmIdentity | None:
        service = request.backend.name
        if self._ask_again_at_by_key:
            self._forget_cut_off()
        entries = [
            entry
            for entry in self._read_entries()
            if entry.region == region
            and entry.vm_id != self._vm_id
            and entry.vm_id not in progress.tried
            and (entry.vm_id, service) not in self._ask_again_at_by_key
        ]
        return self._rng.choice(entries) if entries else None

    def record_cut_off(self, vm_id: str, service: str) -> None:
        """Record that an entry VM is of no use for a service.

        It reaches no endpoint of the service, or is not reached itself.
        """
        now = self._clock.monotonic()
        self._ask_again_at_by_key[(vm_id, service)] = now + CUT_ENTRY_SECONDS

    def _forget_cut_off(self) -> None:
        now = self._clock.monotonic()
        self._ask_again_at_by_key = {
            key: at
            for key, at in self._ask_again_at_by_key.items()
            if at > now
        }

    def list_at_limit(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> list[str]:
        """Return the ids of local endpoints that only limits exclude."""
        if not self._may_run_here(request):
            return []
        return self._fleet.list_at_limit(
            request.backend,
            frozenset(progress.tried),
            self._read_closed_data_centres(),
            _versions_for(request, progress),
        )

    def seconds_until_backoffs_end(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> float | None:
        """Return when a request should return if all endpoints back off.

        The times of several requests are spread. Another region may have
        given an earlier time.

        :returns: the seconds, or None if an endpoint is in no backoff
        """
        if not self._may_run_here(request):
            return None
        backoff = self._fleet.find_first_backoff(
            request.backend,
            self._read_closed_data_centres(),
            _versions_for(request, progress),
        )
        if backoff is None:
            return None
        spread = min(backoff.seconds, MAX_RETURN_SPREAD_SECONDS)
        seconds = backoff.ends_at - self._clock.monotonic()
        seconds += self._rng.uniform(0.0, spread)
        if progress.region_retry_after is not None:
            return min(seconds, progress.region_retry_after)
        return seconds

    def _may_run_here(self, request: ProxiedRequest) -> bool:
        homes = request.route.homes
        return not homes or self._region in homes

    def _refuse_without_endpoint(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Refusal:
        self._check_version(request, progress)
        if not self._may_run_here(request):
            return self._refuse(
                request,
                progress,
                f"region {self._region!r} is none of its home regions",
                NO_ENDPOINT_RETRY_AFTER_SECONDS,
            )
        service = request.backend.name
        live_count = self._fleet.count_live(service)
        draining_count = self._fleet.count_draining(service)
        backoff_seconds = self.seconds_until_backoffs_end(request, progress)
        if backoff_seconds is not None:
            return self._make_refusal(
                request,
                progress,
                f"all of {live_count} local endpoints requested a backoff "
                f"or recover from one",
                backoff_seconds,
                code=RefusalCode.ENDPOINT_BACKOFF,
            )
        if self._fleet.is_cut_off(service):
            return self._make_refusal(
                request,
                progress,
                f"none of {live_count} local endpoints can be reached",
                NO_ENDPOINT_RETRY_AFTER_SECONDS,
                code=RefusalCode.NO_ENDPOINT,
            )
        reason = (
            f"none of {live_count} local endpoints is eligible, "
            f"{draining_count} more drain"
        )
        reason += self._explain_versions(request, progress)
        if not self.list_at_limit(request, progress):
            wait = NO_ENDPOINT_RETRY_AFTER_SECONDS
            if progress.place_retry_after is not None:
                wait = progress.place_retry_after
                reason += f", {progress.places_denied} had no place"
            return self._refuse(request, progress, reason, wait)
        wait = NO_ENDPOINT_RETRY_AFTER_SECONDS
        if progress.permit is not None and progress.permit.retry_after:
            wait = progress.permit.retry_after
        return self._make_refusal(
            request,
            progress,
            f"{reason} below its announced rate limit",
            max(MIN_RETRY_AFTER_SECONDS, wait),
            code=RefusalCode.ENDPOINT_LIMIT,
        )

    def _check_version(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> None:
        """Refuse a stream for good if only other versions serve.

        Where nothing serves, endpoints of its version may come back.

        :raises Refusal: without a time to return
        """
        origin = progress.origin
        if origin is None:
            return
        is_service_used = origin.service == request.backend.name
        if is_service_used and (
            self._is_served(request, origin.software_version)
            or not self._is_served(request, None)
        ):
            return
        reason = (
            f"no endpoint of software version {origin.software_version!r}, "
            "which began the stream, accepts requests"
        )
        if progress.last_reason:
            reason = f"{progress.last_reason}; {reason}"
        raise Refusal(
            code=RefusalCode.VERSION_GONE,
            message=f"{origin.service}: {reason}",
            verdict=progress.verdict,
        )

    def _explain_versions(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> str:
        """Return a part of a reason, empty if no version is in the way."""
        if progress.origin is not None or not request.is_resumable:
            return ""
        service = request.backend.name
        established = self._fleet.count_live(service, ESTABLISHED_VERSION)
        unknown = self._fleet.count_live(service) - established
        if not unknown:
            return ""
        return f", {unknown} have a version that no quorum is known to know"

    def _is_served(
        self, request: ProxiedRequest, software_version: str | None
    ) -> bool:
        """Return whether endpoints of a version accept such requests.

        :param software_version: any one if None
        """
        versions = (
            ANY_VERSION
            if software_version is None
            else OnlyVersion(software_version=software_version)
        )
        if self._may_run_here(request) and self._fleet.count_live(
            request.backend.name, versions
        ):
            return True
        return request.forwarded_from is None and self._regions.serve_version(
            request, software_version
        )

    def _refuse(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        reason: str,
        wait: float,
    ) -> Refusal:
        return self._make_refusal(
            request,
            progress,
            reason,
            min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait)),
            code=RefusalCode.OVERLOADED,
        )

    def _refuse_queue(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        local: RatedEndpoint,
        *,
        limit: float,
        allowed: float,
    ) -> QueueTooLong:
        queue = local.wait.queue
        reason = f"queue of {queue:.2f} s exceeds {limit:.2f} s"
        refusal = self._refuse(request, progress, reason, queue - allowed)
        token_seconds = self._fleet.engines.prefill_token_seconds(
            request.backend.name
        )
        return QueueTooLong(
            refusal=refusal,
            queue_seconds=queue,
            limit_seconds=limit,
            allowed_seconds=allowed,
            work_seconds=local.prefill_cost_tokens * token_seconds,
        )

    def _make_refusal(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        reason: str,
        retry_after: float,
        code: RefusalCode,
    ) -> Refusal:
        if progress.last_reason:
            reason = f"{progress.last_reason}; {reason}"
        return Refusal(
            code=code,
            message=f"{request.backend.name}: {reason}",
            verdict=progress.verdict,
            retry_after=retry_after,
        )


def _versions_for(
    request: ProxiedRequest, progress: RequestProgress
) -> VersionFilter:
    """Return the software versions that may serve a request."""
    if progress.origin is not None:
        return OnlyVersion(software_version=progress.origin.software_version)
    return ESTABLISHED_VERSION if request.is_resumable else ANY_VERSION
