"""Callers, and the way of a request through one or two entries.

The relay is mirrored as far as a choice depends on it: target, attempt,
another target while the work may be repeated. Bodies and sockets are left out.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.endpoint_state import InFlightRequest
from burdockdrum.passthrough.model import EndpointTarget
from burdockdrum.passthrough.model import ProxiedRequest
from burdockdrum.passthrough.model import RegionTarget
from burdockdrum.passthrough.model import RequestProgress
from burdockdrum.resources import Route
from burdockdrum.resources import WeightedService
from burdockdrum.verdicts import Refusal
from scripts.experiment.passed.engine import Job
from scripts.experiment.passed.loads import Arrival
from scripts.experiment.passed.shapes import Kind
from scripts.experiment.passed.shapes import LATE_PART
from scripts.experiment.passed.world import Entry
from scripts.experiment.passed.world import FAR_FETCH_SECONDS
from scripts.experiment.passed.world import FAR_SECONDS
from scripts.experiment.passed.world import SERVICE
from scripts.experiment.passed.world import World

# A caller that can't connect tries again after so long.
RECONNECT_SECONDS = 0.3
# Of the time that is left, the longest pause that a caller keeps to.
MAX_PAUSE_PART = 1 / 3
# A refused caller comes back so often.
RETURNS = 1
MAX_ATTEMPTS = 2


@dataclass(kw_only=True)
class Outcome:
    """What became of one request; seconds count from its first sending."""

    arrival: Arrival
    first_at: float | None = None
    is_whole: bool = False
    longest_pause: float = 0.0
    last_part_at: float = 0.0
    refusals: int = 0
    runs: int = 0
    away: bool = False
    expected_first: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Say whether it earned its whole worth."""
        kind = self.arrival.kind
        return (
            self.is_whole
            and self.first_at is not None
            and self.first_at <= kind.objective_seconds
            and self.longest_pause <= kind.pause_seconds
        )

    @property
    def worth(self) -> float:
        """Return what it earned."""
        if self.is_in_time:
            return self.arrival.kind.worth
        return self.arrival.kind.worth * LATE_PART if self.is_whole else 0.0


def make_route(kind: Kind) -> Route:
    """Return the route that a kind of request takes."""
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
        rank=kind.rank,
    )


@dataclass(kw_only=True, eq=False)
class Call:
    """One request of a caller, through all its returns."""

    world: World
    outcome: Outcome
    rng: random.Random
    sent_at: float
    returns: int = 0
    jobs: list[Job] = field(default_factory=list)
    is_over: bool = False

    @property
    def deadline(self) -> float:
        """Return when the caller gives up."""
        return self.sent_at + self.outcome.arrival.kind.deadline_seconds

    def begin(self) -> None:
        """Send it, and give up at the deadline."""
        self.world.schedule.at(self.deadline, self._give_up)
        self._send()

    def _send(self) -> None:
        if self.is_over:
            return
        schedule = self.world.schedule
        entries = self.world.live_entries(self.outcome.arrival.region)
        if not entries:
            schedule.after(RECONNECT_SECONDS * self.world.times, self._send)
            return
        entry = self.rng.choice(entries)
        Exchange(
            call=self,
            entry=entry,
            request=self._make_request(None),
            refuse=self._take_refusal,
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
        )

    def pass_on(self, request: ProxiedRequest, entry: Entry) -> ProxiedRequest:
        """Return the request as the entry of another region gets it."""
        return self._make_request(entry.identity.region)

    def _take_refusal(self, refusal: Refusal) -> None:
        self.outcome.refusals += 1
        if self.is_over or self.returns >= RETURNS:
            return
        self.returns += 1
        left = self.deadline - self.world.schedule.now
        pause = min(refusal.retry_after or 0.0, left * MAX_PAUSE_PART)
        self.world.schedule.after(pause, self._send)

    def note_part(self) -> None:
        """Take note of an event of the answer."""
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
        """Take note that the answer is whole."""
        if not self.is_over:
            self.outcome.is_whole = True
            self.is_over = True

    def _give_up(self) -> None:
        self.is_over = True
        for job in self.jobs:
            job.is_cancelled = True


@dataclass(kw_only=True, eq=False)
class Exchange:
    """A request at one entry."""

    call: Call
    entry: Entry
    request: ProxiedRequest
    refuse: Callable[[Refusal], None]
    progress: RequestProgress = field(default_factory=RequestProgress)

    def serve(self) -> None:
        """Select a target and send an attempt to it."""
        if self.call.is_over or not self.entry.is_up:
            return
        try:
            target = self.entry.placing.select(self.request, self.progress)
        except Refusal as refusal:
            self.refuse(refusal)
            return
        match target:
            case EndpointTarget():
                self._attempt(target)
            case RegionTarget():
                self._pass_on(target)

    def _attempt(self, target: EndpointTarget) -> None:
        world, fleet = self.call.world, self.entry.fleet
        choice = target.choice
        rank = self.request.route.rank
        in_flight_request = fleet.record_sent(
            choice, self.request.backend, self.request.prompt, rank
        )
        outcome = self.call.outcome
        if outcome.expected_first is None:
            since = world.schedule.now - self.call.sent_at
            expected = choice.wait.queue + choice.wait.service_time
            outcome.expected_first = since + expected
        fetch = choice.fetch
        holder = world.engines_by_id.get(fetch.address) if fetch else None
        outcome.runs += 1

        def on_part() -> None:
            fleet.record_output(in_flight_request)
            self.call.note_part()

        job = Job(
            prompt=self.request.prompt,
            rank=rank,
            output_tokens=outcome.arrival.output_tokens,
            fetch_from=holder,
            fetch_delay=FAR_FETCH_SECONDS * world.times
            if fetch and fetch.is_cross_region
            else 0.0,
            on_part=on_part,
            on_end=lambda whole: self._end(in_flight_request, whole),
        )
        self.call.jobs.append(job)
        world.engines_by_id[choice.endpoint.endpoint_id].submit(job)

    def _end(self, in_flight_request: InFlightRequest, whole: bool) -> None:
        fleet = self.entry.fleet
        fleet.record_end(in_flight_request, self.request.backend, whole=whole)
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

    def _pass_on(self, target: RegionTarget) -> None:
        world = self.call.world
        other = world.entries_by_address[target.address]
        self.call.outcome.away = True
        world.schedule.after(
            FAR_SECONDS * world.times, lambda: self._arrive(target, other)
        )

    def _arrive(self, target: RegionTarget, other: Entry) -> None:
        world = self.call.world

        def refuse(refusal: Refusal) -> None:
            # The answer takes the same way back.
            self.progress.tried.add(target.vm_id)
            self.progress.tried_regions.add(target.region)
            world.schedule.after(FAR_SECONDS * world.times, self.serve)

        Exchange(
            call=self.call,
            entry=other,
            request=self.call.pass_on(self.request, self.entry),
            refuse=refuse,
        ).serve()
