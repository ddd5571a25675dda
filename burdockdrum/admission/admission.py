"""Admission control of requests.

Requests that no endpoint has capacity for wait in a queue ordered by
priority; those that would miss their deadline are refused early.
"""

import asyncio
from dataclasses import dataclass
import math

from burdockdrum.admission.quotas import QuotaEnforcer
from burdockdrum.admission.quotas import QuotaReservation
from burdockdrum.admission.waiting import Waiter
from burdockdrum.admission.waiting import WaitQueue
from burdockdrum.configuration import ConfigurationService
from burdockdrum.ports import Clock
from burdockdrum.routing import Estimate
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.settings import PolicySettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# How often queues are processed if no attempt ends: capacity also appears in
# summaries of other data centres and reports of endpoints.
RECHECK_INTERVAL_SECONDS = 0.1
# Limits the cost of one pass over a queue.
MAX_START_CANDIDATES = 8
MIN_RETRY_AFTER_SECONDS = 1.0
# Another entry VM gets the next slot if its wait exceeds this VM's wait by
# this factor plus the margin.
YIELD_WAIT_FACTOR = 1.3
YIELD_WAIT_MARGIN_SECONDS = 1.0
_MEAN_WEIGHT = 0.05


class Permit:
    """Permission for a request to run; released when it ends."""

    def __init__(
        self,
        *,
        admission: "AdmissionControl",
        reservation: QuotaReservation | None = None,
    ) -> None:
        """Create a permit."""
        self._admission = admission
        self._reservation = reservation
        self._released = False

    def release(self, *, completed: bool, tokens: int = 0) -> None:
        """Release the permit; later calls have no effect."""
        if self._released:
            return
        self._released = True
        self._admission.release(self._reservation, tokens)


@dataclass(frozen=True, kw_only=True)
class _DrainRate:
    """How fast a queue drains: mean run time, and concurrent requests."""

    mean_seconds: float
    capacity: float

    def seconds(self, ahead: float) -> float:
        """Return the wait behind the given slot seconds of other requests."""
        return (self.mean_seconds + ahead) / self.capacity


class AdmissionControl:
    """Decides which requests may start, and in which order.

    Requests wait here rather than in the queues of the endpoints, so that
    they can still be reordered, or refused as "not run".
    """

    is_restartable = True

    def __init__(
        self,
        *,
        clock: Clock,
        configuration: ConfigurationService | None,
        router: Router,
        policy: PolicySettings | None = None,
        quotas: QuotaEnforcer | None = None,
    ) -> None:
        """Create an admission control without requests."""
        self._quotas = quotas
        self._clock = clock
        self._configuration = configuration
        self._router = router
        self._policy = policy or PolicySettings()
        self._queues_by_service: dict[str, WaitQueue] = {}
        self._mean_seconds_by_worth: dict[float, float] = {}
        self._has_waiters = asyncio.Event()
        self.running = 0
        router.estimate_queue_seconds = self.estimate_wait
        router.add_listener(self._process_queue)

    async def admit(self, client_id: str, request: RoutingRequest) -> Permit:
        """Wait until a request may start.

        A request forwarded by another data centre was charged to its quotas
        there.

        :raises Refusal: with the verdict "not run" and a time to retry after
        """
        reservation = None
        if self._quotas is not None and not request.hops:
            reservation = await self._quotas.acquire(client_id, request)
        try:
            await self._wait_for_capacity(self._team_of(client_id), request)
        except BaseException:
            if reservation is not None:
                reservation.release(tokens=0)
            raise
        self.running += 1
        return Permit(admission=self, reservation=reservation)

    async def wait_again(
        self, client_id: str, request: RoutingRequest
    ) -> None:
        """Wait again after the chosen endpoint had no free capacity.

        The request keeps its permit, and is not charged again.

        :raises Refusal: with the verdict "not run" and a time to retry after
        """
        await self._wait_for_capacity(self._team_of(client_id), request)

    def release(
        self, reservation: QuotaReservation | None, tokens: int
    ) -> None:
        """Release the quota that a permit holds."""
        self.running -= 1
        if reservation is not None:
            reservation.release(tokens=tokens)

    async def run(self) -> None:
        """Process the queues periodically until cancelled."""
        while True:
            await self._has_waiters.wait()
            await self._clock.sleep(RECHECK_INTERVAL_SECONDS)
            for service in list(self._queues_by_service):
                self._process_queue(service)
            if not any(self._queues_by_service.values()):
                self._has_waiters.clear()

    def queue_seconds(self, service: str) -> float:
        """Return the estimated wait of a request of median priority."""
        queue = self._queues_by_service.get(service) or ()
        if not queue and self._router.free_capacity(service) >= 1:
            return 0.0
        ahead = sum(waiter.slot_seconds for waiter in queue) / 2
        return self._read_drain_rate(service).seconds(ahead)

    def estimate_wait(self, request: RoutingRequest) -> float:
        """Return the estimated wait of a request in this VM's queue."""
        queue = self._queues_by_service.get(request.service)
        if not queue:
            return 0.0
        key = self._queue_key(request, math.inf)
        ahead = queue.seconds_ahead(key)
        return self._read_drain_rate(request.service).seconds(ahead)

    async def _wait_for_capacity(
        self, team: str, request: RoutingRequest
    ) -> None:
        estimate = self._router.estimate(request)
        if estimate is None:
            # No endpoint can serve it; the router reports the reason.
            return
        self._check_deadline(request, estimate)
        queue = self._queues_by_service.setdefault(
            request.service, WaitQueue()
        )
        self._update_mean_seconds(request, estimate.run)
        start_tag = queue.assign_start_tag(team, request.rank, estimate.run)
        key = self._queue_key(request, start_tag)
        if not queue.seconds_ahead(key) and self._can_start(request):
            return
        if request.hops and not request.displaced:
            # Forwarded requests wait only at the entry that forwarded them,
            # which can choose another data centre.
            raise _make_refusal(
                RefusalCode.OVERLOADED,
                "no free capacity for forwarded requests",
                1.0,
            )
        waiter = Waiter(
            request=request,
            key=key,
            start_tag=start_tag,
            slot_seconds=estimate.run,
            since=self._clock.monotonic(),
        )
        queue.add(waiter)
        self._has_waiters.set()
        try:
            self._shed(queue, self._read_drain_rate(request.service))
            await waiter.started
        finally:
            queue.remove(waiter)
        # Runs after this request has started and counts as load.
        asyncio.get_running_loop().call_soon(
            self._process_queue, request.service
        )

    def _can_start(self, request: RoutingRequest) -> bool:
        # Reading the drain rate visits all endpoints, so it is done only if
        # the request can't start at once.
        if self._router.can_start(request):
            return True
        wait = self._read_drain_rate(request.service).seconds(0.0)
        return self._router.can_start(request, wait=wait)

    def _check_deadline(
        self, request: RoutingRequest, estimate: Estimate
    ) -> None:
        left = request.deadline - self._clock.monotonic()
        if estimate.run > left:
            raise _make_refusal(
                RefusalCode.DEADLINE,
                f"the estimated run time is {estimate.run:.1f} s, but the "
                f"deadline is in {max(0.0, left):.1f} s",
                MIN_RETRY_AFTER_SECONDS,
            )

    def _team_of(self, client_id: str) -> str:
        if self._configuration is None:
            return client_id
        client = self._configuration.current.clients_by_id.get(client_id)
        return client.team or client_id if client else client_id

    def _queue_key(
        self, request: RoutingRequest, start_tag: float
    ) -> tuple[float, ...]:
        """Return the sort key of a request in its queue.

        :param start_tag: its fair-queueing tag among the teams of its rank

        Worth is divided by the mean run time of the request's class, not by
        its own: otherwise short requests of low worth overtake long ones of
        high worth, which then miss their deadlines.
        """
        if self._policy.prefer == "worth":
            mean = self._mean_seconds_by_worth.get(request.worth, 1.0)
            return (-request.worth / mean, len(request.hops), start_tag)
        return (request.rank, len(request.hops), start_tag)

    def _update_mean_seconds(
        self, request: RoutingRequest, seconds: float
    ) -> None:
        means = self._mean_seconds_by_worth
        mean = means.get(request.worth, seconds)
        means[request.worth] = max(
            0.01, mean + _MEAN_WEIGHT * (seconds - mean)
        )

    def _process_queue(self, service: str) -> None:
        """Start the first waiter that can, and shed late waiters."""
        queue = self._queues_by_service.get(service)
        if not queue:
            return
        drain = self._read_drain_rate(service)
        if not self._should_yield(service):
            self._start_one(queue, drain)
        self._shed(queue, drain)

    def _start_one(self, queue: WaitQueue, drain: _DrainRate) -> None:
        ahead = 0.0
        for index, waiter in enumerate(queue):
            if index >= MAX_START_CANDIDATES:
                return
            wait = drain.seconds(ahead)
            ahead += waiter.slot_seconds
            if self._router.can_start(waiter.request, wait=wait):
                queue.remove(waiter)
                queue.advance_virtual_time(waiter)
                waiter.admit()
                return

    def _should_yield(self, service: str) -> bool:
        """Return whether another entry VM here should get the next slot.

        The VM whose request ends sees the free slot before the others do.
        Without yielding, a VM that holds most slots would keep them and
        starve the queues of the others.
        """
        share = self._router.capacity_share(service)
        own_wait = self.queue_seconds(service)
        others_wait_longer = (
            share.peer_queue_seconds
            > own_wait * YIELD_WAIT_FACTOR + YIELD_WAIT_MARGIN_SECONDS
        )
        return others_wait_longer and share.local > share.equal_share

    def _shed(self, queue: WaitQueue, drain: _DrainRate) -> None:
        """Refuse the waiters whose estimated wait is too long.

        The wait grows along the queue, so the lowest priorities are shed
        first.
        """
        now = self._clock.monotonic()
        ahead = 0.0
        for waiter in queue:
            wait = drain.seconds(ahead)
            ahead += waiter.slot_seconds
            finish = now + wait + waiter.slot_seconds
            if finish > waiter.request.deadline:
                ahead -= waiter.slot_seconds
                self._refuse_waiter(queue, waiter, RefusalCode.DEADLINE, wait)
            elif now + wait - waiter.since > self._max_wait(drain, waiter):
                ahead -= waiter.slot_seconds
                self._refuse_waiter(
                    queue, waiter, RefusalCode.OVERLOADED, wait
                )

    def _refuse_waiter(
        self,
        queue: WaitQueue,
        waiter: Waiter,
        code: RefusalCode,
        wait: float,
    ) -> None:
        queue.remove(waiter)
        message = f"the estimated wait is {wait:.1f} s"
        waiter.refuse(_make_refusal(code, message, wait))

    def _max_wait(self, drain: _DrainRate, waiter: Waiter) -> float:
        if self._policy.prefer == "worth":
            # The worth of a response is constant until its deadline.
            return math.inf
        limit = self._policy.max_wait_seconds
        if waiter.since < self._clock.monotonic():
            # The estimate does not fall while a slot is in use. This allows
            # for the time until the next slot is free.
            limit += drain.mean_seconds / drain.capacity
        return limit

    def _read_drain_rate(self, service: str) -> _DrainRate:
        return _DrainRate(
            mean_seconds=self._router.mean_service_seconds(service),
            capacity=max(1.0, self._router.capacity_share(service).capacity),
        )


def _make_refusal(
    code: RefusalCode, message: str, retry_after: float
) -> Refusal:
    return Refusal(
        code=code,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
    )
