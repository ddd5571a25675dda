"""Decide which requests wait in the line, and what becomes of each.

Used by the relay, and by simulations with a clock of their own.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from dataclasses import dataclass

from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection import MAX_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection import MIN_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection import QueueTooLong
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.waiting.line import WaitingLine
from burdockdrum.passthrough.waiting.line import WaitingRequest
from burdockdrum.passthrough.waiting.returns import ReturnTimes
from burdockdrum.passthrough.waiting.throughput import LineThroughput
from burdockdrum.ports import Clock
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

ReadOrder = Callable[[str, int, str | None], float]
# Callers wait at most this fraction of their time left before they come back.
RETURN_FRACTION = 1 / 3
# A request is held if it would be sent in time even by a line that moves so
# much more slowly than expected: a refusal after a wait is worse for a caller
# than one at once.
SAFETY_FACTOR = 3
# Where a region has no endpoint of a service, its line hardly moves.
_MIN_CAPACITY = 1e-3


def no_order(service: str, rank: int, team: str | None) -> float:
    """Return the order of a team where teams have no shares: all are equal."""
    return 0.0


@dataclass(kw_only=True, eq=False)
class HeldRequest(WaitingRequest):
    """A waiting request with what is needed to send or refuse it.

    ``refusal`` is what the caller gets if no target accepts the request;
    ``finish`` is called once with the target or the refusal.
    """

    request: ProxiedRequest
    progress: RequestProgress
    refusal: Refusal
    finish: Callable[[Target | Refusal], None]


class LineDispatcher:
    """Holds requests that can still be served in time, and sends them."""

    def __init__(
        self,
        *,
        clock: Clock,
        selector: TargetSelector,
        line: WaitingLine,
        read_endpoints_per_entry: Callable[[str], float],
        mechanisms: MechanismSettings,
        is_line_enabled: bool = False,
        read_order: ReadOrder = no_order,
    ) -> None:
        """Create it.

        :param read_endpoints_per_entry: returns how many endpoints of a
            service here there are for each entry
        :param mechanisms: the enabled parts of the policy
        :param is_line_enabled: whether requests wait; otherwise those that
            find no capacity are refused
        :param read_order: returns the order of a team among the requests of
            a service and rank; lower is sent first
        """
        self._clock = clock
        self._selector = selector
        self._read_endpoints_per_entry = read_endpoints_per_entry
        self._read_order = read_order
        self._mechanisms = mechanisms
        self._is_line_enabled = is_line_enabled
        self._returns_by_service: dict[str, ReturnTimes] = (
            collections.defaultdict(ReturnTimes)
        )
        self._throughputs_by_service: dict[str, LineThroughput] = (
            collections.defaultdict(LineThroughput)
        )
        self.line = line

    def may_wait(self, request: ProxiedRequest) -> bool:
        """Return whether a request can wait in the line."""
        return self._is_line_enabled and self.handles(request)

    def handles(self, request: ProxiedRequest) -> bool:
        """Return whether a request waits or is told its time here.

        A forwarded one is handled by the entry that read it.
        """
        return (
            request.forwarded_from is None
            and request.backend.engine is not None
        )

    def check_return(self, request: ProxiedRequest) -> None:
        """Check that a request does not return before its time.

        :raises Refusal: with the rest of the time that it was told
        """
        returns = self._returns_by_service.get(request.backend.name)
        if returns is None or not self.handles(request):
            return
        now = self._clock.monotonic()
        seconds = returns.seconds_too_early(_key(request), now)
        if seconds:
            raise Refusal(
                code=RefusalCode.OVERLOADED,
                message=f"{request.backend.name}: the request returned "
                f"before the {seconds:.2f} s that it was told had passed",
                verdict=Verdict.NOT_RUN,
                retry_after=seconds,
            )

    def record_refusal(
        self, request: ProxiedRequest, refusal: Refusal
    ) -> None:
        """Remember when a request that no target accepts may come back."""
        is_overloaded = refusal.code is RefusalCode.OVERLOADED
        if is_overloaded and refusal.retry_after and self.handles(request):
            self._remember(request, refusal.retry_after)

    def offer(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        refusal: QueueTooLong,
        finish: Callable[[Target | Refusal], None],
    ) -> HeldRequest:
        """Let a request wait, if the line is enabled.

        Less urgent requests may have to leave the line for it.

        :param finish: called once with the target or a refusal, unless the
            request is withdrawn
        :raises Refusal: if it can't be sent in time or finds no room, with
            the time at which to come back
        """
        held = self._make(request, progress, refusal, finish)
        if not self._is_line_enabled:
            excess = refusal.queue_seconds - refusal.allowed_seconds
            raise self._refuse(held, excess)
        seconds = self._expected_seconds(held, refusal)
        excess = held.arrived_at + seconds - held.until
        if excess > 0:
            raise self._refuse(held, excess)
        displaced = self.line.add(held)
        if displaced is None:
            raise self._refuse(held, seconds)
        for other in displaced:
            self._finish_refused(other)
        return held

    def check(self, service: str) -> bool:
        """Send the next request, if there is capacity for one.

        :returns: whether one was sent; then the caller has to check again
            once it is recorded at its target
        """
        now = self._clock.monotonic()
        self._record(service, now, work=0.0)
        for overdue in self.line.take_overdue(service, now):
            self._finish_refused(overdue)
        targets: list[Target] = []

        def is_accepted(waiting: WaitingRequest) -> bool:
            target = self._select(_held(waiting))
            if target is None:
                return False
            targets.append(target)
            return True

        accepted = self.line.take_ready(service, is_accepted)
        self._refuse_excluded(service)
        if accepted is None:
            return False
        self._throughputs_by_service[service].record(
            now, work=accepted.work, was_waiting=True
        )
        _held(accepted).finish(targets[0])
        return True

    def withdraw(self, held: HeldRequest) -> None:
        """Remove a request whose caller has left."""
        self.line.remove(held)

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all waiting requests, as this entry stops."""
        for waiting in self.line.take_all():
            _held(waiting).finish(refusal)

    def _make(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        refusal: QueueTooLong,
        finish: Callable[[Target | Refusal], None],
    ) -> HeldRequest:
        now = self._clock.monotonic()
        service, rank = request.backend.name, request.route.rank
        return HeldRequest(
            service=service,
            rank=rank,
            arrived_at=now,
            until=now + refusal.allowed_seconds - refusal.limit_seconds,
            work=refusal.work_seconds,
            order=self._read_order(service, rank, request.team),
            body_bytes=len(request.head.body),
            request=request,
            progress=progress,
            refusal=refusal,
            finish=finish,
        )

    def _expected_seconds(
        self, held: HeldRequest, refusal: QueueTooLong
    ) -> float:
        """Return how long a request waits at the most, with some safety."""
        service = held.service
        self._record(service, held.arrived_at, work=0.0)
        ahead = self.line.work_ahead(held) + held.work
        speed = self._throughputs_by_service[service].per_second(
            self._capacity(service)
        )
        shrinking = refusal.queue_seconds - refusal.limit_seconds
        return max(shrinking, ahead / speed) * SAFETY_FACTOR

    def _record(self, service: str, now: float, *, work: float) -> None:
        """Record what has left the line since the last call."""
        self._throughputs_by_service[service].record(
            now, work=work, was_waiting=self.line.has(service)
        )

    def _capacity(self, service: str) -> float:
        """Return the seconds of work that this entry gets done a second."""
        return max(_MIN_CAPACITY, self._read_endpoints_per_entry(service))

    def _select(self, held: HeldRequest) -> Target | None:
        try:
            return self._selector.select(held.request, held.progress)
        except Refusal as refusal:
            held.refusal = refusal
            return None

    def _refuse_excluded(self, service: str) -> None:
        """Refuse requests that no longer wait for a shorter queue.

        All endpoints may meanwhile be gone, or have asked for a backoff.
        """
        for waiting in self.line.in_order(service):
            held = _held(waiting)
            if not isinstance(held.refusal, QueueTooLong):
                self.line.remove(held)
                held.finish(held.refusal)

    def _finish_refused(self, waiting: WaitingRequest) -> None:
        held = _held(waiting)
        refusal = held.refusal
        if isinstance(refusal, QueueTooLong):
            excess = refusal.queue_seconds - refusal.allowed_seconds
            refusal = self._refuse(held, excess)
        held.finish(refusal)

    def _refuse(self, held: HeldRequest, excess_seconds: float) -> Refusal:
        """Return a refusal with the time at which to come back.

        :param excess_seconds: by how much the present queue is too long
        """
        request, refusal = held.request, held.refusal
        seconds = max(MIN_RETRY_AFTER_SECONDS, excess_seconds)
        seconds = min(MAX_RETRY_AFTER_SECONDS, seconds)
        self._remember(request, seconds)
        return Refusal(
            code=refusal.code,
            message=refusal.message,
            verdict=refusal.verdict,
            retry_after=seconds,
        )

    def _remember(self, request: ProxiedRequest, seconds: float) -> None:
        """Remember when a refused request may come back."""
        if not self._mechanisms.return_times:
            return
        now = self._clock.monotonic()
        limit = max(0.0, request.deadline - now) * RETURN_FRACTION
        self._returns_by_service[request.backend.name].remember(
            _key(request), seconds=min(seconds, limit), now=now
        )


def _held(waiting: WaitingRequest) -> HeldRequest:
    """Return a request of the line, all of which are held requests."""
    if not isinstance(waiting, HeldRequest):
        raise TypeError(f"unexpected request in the line: {waiting!r}")
    return waiting


def _key(request: ProxiedRequest) -> Hashable | None:
    """Return what a request shows again when it comes back, if anything."""
    if not request.prompt.parts:
        return None
    return (
        request.head.peer_host,
        request.route.name,
        request.team,
        request.prompt.parts,
    )
