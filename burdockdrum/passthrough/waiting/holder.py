"""Hold requests of callers until a target accepts them.

The entry that read a request holds it; nothing is told to other processes.
"""

import asyncio
from collections.abc import Callable

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection import QueueTooLong
from burdockdrum.passthrough.waiting.dispatcher import HeldRequest
from burdockdrum.passthrough.waiting.dispatcher import LineDispatcher
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal

# Capacity can become free without a response to this entry.
RECHECK_SECONDS = 0.05
# After a check that sent nothing, the next waits so long: responses come more
# often than endpoints' queues change.
MIN_CHECK_SECONDS = 0.02


class RequestHolder:
    """Holds requests, and checks for capacity while some wait."""

    def __init__(
        self,
        *,
        clock: Clock,
        dispatcher: LineDispatcher,
        check_drain: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Create it.

        :param check_drain: raises a refusal if this entry shuts down
        """
        self._clock = clock
        self._dispatcher = dispatcher
        self._check_drain = check_drain
        self._timers_by_service: dict[str, asyncio.TimerHandle] = {}
        self._earliest_by_service: dict[str, float] = {}
        line = dispatcher.line
        metrics.gauge(
            "burdockdrum_waiting_requests",
            "Requests that this entry holds until there is capacity.",
            lambda: len(line),
        )
        metrics.gauge(
            "burdockdrum_waiting_bytes",
            "Memory of the requests that this entry holds.",
            lambda: line.held_bytes,
        )
        self._waited_seconds = metrics.histogram(
            "burdockdrum_waited_seconds",
            "How long requests were held at this entry, by outcome.",
        )

    def may_wait(self, request: ProxiedRequest) -> bool:
        """Return whether a request can wait at this entry."""
        return self._dispatcher.may_wait(request)

    def handles(self, request: ProxiedRequest) -> bool:
        """Return whether a request waits or is told its time here."""
        return self._dispatcher.handles(request)

    def check_return(self, request: ProxiedRequest) -> None:
        """Check that a refused request does not return before its time.

        :raises Refusal: with the rest of the time that it was told
        """
        self._dispatcher.check_return(request)

    def record_refusal(
        self, request: ProxiedRequest, refusal: Refusal
    ) -> None:
        """Remember when a request that no target accepts may come back."""
        self._dispatcher.record_refusal(request, refusal)

    async def hold(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        refusal: QueueTooLong,
    ) -> Target:
        """Wait until a target accepts a request.

        :raises Refusal: at once if it can't be served in time, later if it
            is displaced, its time is over or this entry shuts down
        """
        self._check_drain()
        result: asyncio.Future[Target | Refusal] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(outcome: Target | Refusal) -> None:
            if not result.done():
                result.set_result(outcome)

        held = self._dispatcher.offer(request, progress, refusal, finish)
        self._schedule(held.service, RECHECK_SECONDS)
        outcome: Target | Refusal | None = None
        try:
            outcome = await result
        finally:
            self._dispatcher.withdraw(held)
            self._report(held, outcome)
        if isinstance(outcome, Refusal):
            raise outcome
        return outcome

    def wake(self, service: str) -> None:
        """Check for capacity, as some may have become free."""
        if self._dispatcher.line.has(service):
            self._schedule(service, 0.0)

    def wake_all(self) -> None:
        """Check for capacity of all services, as loads were reported."""
        for service in self._dispatcher.line.services():
            self._schedule(service, 0.0)

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all held requests, as this entry stops."""
        self._dispatcher.refuse_all(refusal)

    def _schedule(self, service: str, seconds: float) -> None:
        """Check a service after some seconds, or sooner if that is planned."""
        now = self._clock.monotonic()
        earliest = self._earliest_by_service.get(service, now)
        seconds = max(seconds, earliest - now)
        loop = asyncio.get_running_loop()
        timer = self._timers_by_service.get(service)
        if timer is not None:
            if timer.when() <= loop.time() + seconds:
                return
            timer.cancel()
        self._timers_by_service[service] = loop.call_later(
            seconds, self._check, service
        )

    def _check(self, service: str) -> None:
        del self._timers_by_service[service]
        is_sent = False
        try:
            self._check_drain()
            is_sent = self._dispatcher.check(service)
        except Refusal as refusal:
            self._dispatcher.refuse_all(refusal)
        finally:
            self._plan_next(service, is_sent=is_sent)

    def _plan_next(self, service: str, *, is_sent: bool) -> None:
        if not self._dispatcher.line.has(service):
            self._earliest_by_service.pop(service, None)
            return
        if is_sent:
            # The task of the request that was sent runs first, and records
            # it at its target.
            self._schedule(service, 0.0)
            return
        now = self._clock.monotonic()
        self._earliest_by_service[service] = now + MIN_CHECK_SECONDS
        self._schedule(service, RECHECK_SECONDS)

    def _report(
        self, held: HeldRequest, outcome: Target | Refusal | None
    ) -> None:
        seconds = self._clock.monotonic() - held.arrived_at
        name = _name(outcome)
        self._waited_seconds.record(seconds, outcome=name)
        write_log = log_decision if name in _SENT else log_failure
        write_log(
            "request.waited",
            request_id=held.request.request_id,
            route=held.request.route.name,
            team=held.request.team,
            rank=held.rank,
            seconds=round(seconds, 4),
            outcome=name,
        )


_SENT = ("sent", "forwarded")


def _name(outcome: Target | Refusal | None) -> str:
    """Return the name of an outcome in metrics and logs."""
    match outcome:
        case None:
            return "left"
        case Refusal():
            return "refused"
        case EndpointTarget():
            return "sent"
        case _:
            return "forwarded"
