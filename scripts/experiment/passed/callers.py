"""Simulated callers and the path of a request through one or two entries.

It mirrors how the relay selects a target and retries an idempotent request at
another one. Bodies and sockets are not simulated.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection import QueueTooLong
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.resources import Route
from burdockdrum.resources import WeightedService
from burdockdrum.verdicts import Refusal
from scripts.experiment.passed.engine import Job
from scripts.experiment.passed.loads import Arrival
from scripts.experiment.passed.shapes import LATE_WORTH_FRACTION
from scripts.experiment.passed.shapes import RequestKind
from scripts.experiment.passed.world import CROSS_REGION_DELAY_SECONDS
from scripts.experiment.passed.world import CROSS_REGION_FETCH_DELAY_SECONDS
from scripts.experiment.passed.world import Entry
from scripts.experiment.passed.world import SERVICE
from scripts.experiment.passed.world import World

# Delay before a caller that can't connect tries again.
RECONNECT_DELAY_SECONDS = 0.3
# Callers limit a retry delay to this fraction of the remaining time.
MAX_RETRY_DELAY_FRACTION = 1 / 3
# Retries of a refused request by its caller.
MAX_RETRIES = 1
MAX_ATTEMPTS = 2
# Those of callers that repeat at once what is refused.
MAX_REPEATS = 30
REPEAT_DELAY_SECONDS = 0.02


@dataclass(kw_only=True)
class Outcome:
    """The result of one request; times are seconds since it was sent."""

    arrival: Arrival
    first_at: float | None = None
    is_complete: bool = False
    longest_pause: float = 0.0
    last_part_at: float = 0.0
    refusals: int = 0
    runs: int = 0
    away: bool = False
    expected_first: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Return whether it met its latency objective and pause limit."""
        kind = self.arrival.kind
        return (
            self.is_complete
            and self.first_at is not None
            and self.first_at <= kind.objective_seconds
            and self.longest_pause <= kind.pause_seconds
        )

    @property
    def worth(self) -> float:
        """Return the worth of the result."""
        if self.is_in_time:
            return self.arrival.kind.worth
        return (
            self.arrival.kind.worth * LATE_WORTH_FRACTION
            if self.is_complete
            else 0.0
        )


def make_route(kind: RequestKind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        name=kind.name,
        host="h",
        path_prefix=f"/{kind.name}/",
        services=[WeightedService(service=SERVICE)],
        idempotent=True,
        streams=True,
        attempts=MAX_ATTEMPTS,
        timeout_seconds=kind.deadline_seconds,
        objective_seconds=kind.objective_seconds,
        max_pause_seconds=kind.pause_seconds,
        rank=kind.rank,
        homes=list(kind.homes),
    )


@dataclass(kw_only=True, eq=False)
class Call:
    """One request of a caller, with its retries."""

    world: World
    outcome: Outcome
    rng: random.Random
    sent_at: float
    retries: int = 0
    jobs: list[Job] = field(default_factory=list)
    record_ends: list[Callable[[], None]] = field(default_factory=list)
    is_over: bool = False

    @property
    def deadline(self) -> float:
        """Return the time at which the caller cancels the request."""
        return self.sent_at + self.outcome.arrival.kind.deadline_seconds

    def start(self) -> None:
        """Send the request; cancel it at the deadline."""
        self.world.schedule.at(self.deadline, self._give_up)
        self._send()

    def _send(self) -> None:
        if self.is_over:
            return
        schedule = self.world.schedule
        entries = self.world.live_entries(self.outcome.arrival.region)
        if not entries:
            schedule.after(
                RECONNECT_DELAY_SECONDS * self.world.time_scale, self._send
            )
            return
        entry = self.rng.choice(entries)
        Exchange(
            call=self,
            entry=entry,
            request=self._make_request(None),
            refuse=self._handle_refusal,
        ).serve()

    def _make_request(self, forwarded_from: str | None) -> ProxiedRequest:
        arrival = self.outcome.arrival
        now = self.world.schedule.now
        return ProxiedRequest(
            request_id="",
            head=RequestHead(
                method=b"POST",
                target=b"/",
                headers=[],
                body=b"",
                keep_alive=True,
                received_at=now,
            ),
            route=make_route(arrival.kind),
            backend=self.world.backend,
            prompt=arrival.prompt,
            received_at=now,
            deadline=self.deadline,
            attempts=MAX_ATTEMPTS,
            forwarded_from=forwarded_from,
            team=f"team-{arrival.team}",
        )

    def make_forwarded_request(
        self, request: ProxiedRequest, entry: Entry
    ) -> ProxiedRequest:
        """Return the request as an entry of another region receives it."""
        return self._make_request(entry.identity.region)

    def _handle_refusal(self, refusal: Refusal) -> None:
        self.outcome.refusals += 1
        repeats = self.outcome.arrival.repeats
        max_retries = MAX_REPEATS if repeats else MAX_RETRIES
        if self.is_over or self.retries >= max_retries:
            return
        self.retries += 1
        if repeats:
            delay = REPEAT_DELAY_SECONDS * self.world.time_scale
            self.world.schedule.after(delay, self._send)
            return
        left = self.deadline - self.world.schedule.now
        pause = min(
            refusal.retry_after or 0.0, left * MAX_RETRY_DELAY_FRACTION
        )
        self.world.schedule.after(pause, self._send)

    def record_event(self) -> None:
        """Record an event of the response."""
        if self.is_over:
            return
        now = self.world.schedule.now
        outcome = self.outcome
        if outcome.first_at is None:
            outcome.first_at = now - self.sent_at
        else:
            pause = now - outcome.last_part_at
            outcome.longest_pause = max(outcome.longest_pause, pause)
        outcome.last_part_at = now

    def finish(self) -> None:
        """Record that the response is complete."""
        if not self.is_over:
            self.outcome.is_complete = True
            self.is_over = True

    def _give_up(self) -> None:
        self.is_over = True
        for job in self.jobs:
            job.is_cancelled = True
        for record_end in self.record_ends:
            record_end()


@dataclass(kw_only=True, eq=False)
class Exchange:
    """The handling of a request at one entry."""

    call: Call
    entry: Entry
    request: ProxiedRequest
    refuse: Callable[[Refusal], None]
    progress: RequestProgress = field(default_factory=RequestProgress)

    def serve(self) -> None:
        """Select a target and send an attempt to it."""
        if self.call.is_over or not self.entry.is_up:
            return
        dispatcher = self.entry.dispatcher
        if dispatcher is not None:
            self.progress.may_wait = dispatcher.may_wait(self.request)
            try:
                dispatcher.check_return(self.request)
            except Refusal as refusal:
                self.refuse(refusal)
                return
        try:
            target = self.entry.selector.select(self.request, self.progress)
        except QueueTooLong as refusal:
            self._wait_or_refuse(refusal)
            return
        except Refusal as refusal:
            if dispatcher is not None:
                dispatcher.record_refusal(self.request, refusal)
            self.refuse(refusal)
            return
        self._send(target)

    def _wait_or_refuse(self, refusal: QueueTooLong) -> None:
        dispatcher = self.entry.dispatcher
        if dispatcher is None or not dispatcher.handles(self.request):
            self.refuse(refusal)
            return
        try:
            dispatcher.offer(
                self.request, self.progress, refusal, self._leave_line
            )
        except Refusal as final:
            self.refuse(final)
            return
        self.entry.watch_line()

    def _leave_line(self, result: Target | Refusal) -> None:
        """Continue a request that waited in the line."""
        if self.call.is_over or not self.entry.is_up:
            return
        if isinstance(result, Refusal):
            self.refuse(result)
            return
        self._send(result)

    def _send(self, target: Target) -> None:
        match target:
            case EndpointTarget():
                self._attempt(target)
            case RegionTarget():
                self._forward(target)

    def _attempt(self, target: EndpointTarget) -> None:
        world, fleet = self.call.world, self.entry.fleet
        choice = target.choice
        rank = self.request.route.rank
        in_flight_request = fleet.record_sent(
            choice,
            self.request.backend,
            self.request.prompt,
            rank,
            deadline=self.request.deadline,
        )
        outcome = self.call.outcome
        if outcome.expected_first is None:
            since = world.schedule.now - self.call.sent_at
            expected = choice.wait.queue + choice.wait.service_time
            outcome.expected_first = since + expected
        fetch = choice.fetch
        source = world.engines_by_id.get(fetch.address) if fetch else None
        outcome.runs += 1

        def on_output() -> None:
            is_first = in_flight_request.first_output_at is None
            fleet.record_output(in_flight_request)
            if is_first:
                self.entry.check_line()
            self.call.record_event()

        job = Job(
            prompt=self.request.prompt,
            rank=rank,
            output_tokens=outcome.arrival.output_tokens,
            fetch_from=source,
            fetch_delay=CROSS_REGION_FETCH_DELAY_SECONDS * world.time_scale
            if fetch and fetch.is_cross_region
            else 0.0,
            on_output=on_output,
            on_end=lambda whole: self._end(in_flight_request, whole),
        )
        self.call.jobs.append(job)
        self.call.record_ends.append(
            lambda: fleet.record_end(
                in_flight_request, self.request.backend, whole=False
            )
        )
        world.engines_by_id[choice.endpoint.endpoint_id].submit(job)

    def _end(self, in_flight_request: InFlightRequest, whole: bool) -> None:
        fleet = self.entry.fleet
        fleet.record_end(in_flight_request, self.request.backend, whole=whole)
        self.entry.check_line()
        health = fleet.health_of(in_flight_request.endpoint)
        if whole:
            health.record_success()
            self.call.finish()
            return
        now = self.call.world.schedule.now
        health.record_unreachable(now)
        self.progress.tried.add(in_flight_request.endpoint.endpoint_id)
        self.progress.runs += 1
        if self.progress.runs < self.request.attempts:
            self.call.world.schedule.after(0.0, self.serve)

    def _forward(self, target: RegionTarget) -> None:
        world = self.call.world
        other = world.entries_by_address[target.address]
        self.call.outcome.away = True
        world.schedule.after(
            CROSS_REGION_DELAY_SECONDS * world.time_scale,
            lambda: self._arrive(target, other),
        )

    def _arrive(self, target: RegionTarget, other: Entry) -> None:
        world = self.call.world

        def refuse(refusal: Refusal) -> None:
            # The refusal returns over the same link.
            self.progress.tried.add(target.vm_id)
            self.progress.tried_regions.add(target.region)
            world.schedule.after(
                CROSS_REGION_DELAY_SECONDS * world.time_scale, self.serve
            )

        Exchange(
            call=self.call,
            entry=other,
            request=self.call.make_forwarded_request(self.request, self.entry),
            refuse=refuse,
        ).serve()
