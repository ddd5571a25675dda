"""Send the arrivals through the entries, as the request path does.

The driver mirrors ``burdockdrum.requests``: admission, routing, attempts and
retries until the deadline. HTTP and bodies are not simulated, as their cost
does not depend on the policy.
"""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import replace
import enum
import random

from burdockdrum.emulator import EngineCrashed
from burdockdrum.emulator import EngineFailed
from burdockdrum.emulator import Work
from burdockdrum.endpoints import Endpoint
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.routing import Unroutable
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from scripts.experiment.scenarios import Scenario
from scripts.experiment.workload import Arrival
from scripts.experiment.workload import make_arrivals
from scripts.experiment.world import CALLER_DELAY_SECONDS
from scripts.experiment.world import Entry
from scripts.experiment.world import LOCAL_DELAY_SECONDS
from scripts.experiment.world import WIDE_AREA_DELAY_SECONDS
from scripts.experiment.world import World

MAX_ATTEMPTS = 3
MAX_FORWARDS = 5


class Ending(enum.Enum):
    """The result that the caller received."""

    WHOLE = "whole answer"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    LATE = "deadline passed"


@dataclass(kw_only=True)
class Outcome:
    """The result of one request; times are seconds since it was sent."""

    arrival: Arrival
    ending: Ending = Ending.LATE
    code: str = ""
    first_token: float = 0.0
    finish: float = 0.0
    ran_in_region: str = ""
    attempts: int = 0


class Driver:
    """The callers of one run."""

    def __init__(self, *, world: World, scenario: Scenario, seed: int) -> None:
        """Create callers that are not started."""
        self._world = world
        self._scenario = scenario
        self._seed = seed
        self._rng = random.Random(seed + 1)
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Send every arrival at its time and wait for all results."""
        arrivals = make_arrivals(
            self._world.user,
            self._scenario.load_of,
            self._scenario.seconds,
            self._seed,
        )
        # Entries receive reports and summaries before the first request.
        await asyncio.sleep(2.0)
        start = _now()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                await asyncio.sleep(max(0.0, start + arrival.at - _now()))
                group.create_task(self._call(arrival))

    async def _call(self, arrival: Arrival) -> None:
        outcome = Outcome(arrival=arrival)
        self.outcomes.append(outcome)
        sent_at = _now()
        deadline = sent_at + arrival.request_class.deadline
        entries = self._world.entries_by_region[arrival.region]
        entry = self._rng.choice(entries)
        request = self._make_request(arrival, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(CALLER_DELAY_SECONDS)
                exchange = _Exchange(self._world, arrival, outcome, sent_at)
                await exchange.serve(entry, request, CALLER_DELAY_SECONDS)
                await asyncio.sleep(CALLER_DELAY_SECONDS)
            outcome.ending = Ending.WHOLE
        except Refusal as refusal:
            outcome.code = refusal.code.value
            outcome.ending = Ending.NOT_RUN
            if refusal.verdict is not Verdict.NOT_RUN:
                outcome.ending = Ending.MAY_HAVE_RUN
        except TimeoutError:
            outcome.ending = Ending.LATE
        outcome.finish = _now() - sent_at

    def _make_request(
        self, arrival: Arrival, deadline: float
    ) -> RoutingRequest:
        chosen = arrival.request_class
        return RoutingRequest(
            service=chosen.service,
            regions=frozenset(
                {arrival.region}
                if arrival.is_region_bound
                else self._world.user.regions
            ),
            deadline=deadline,
            rank=chosen.rank,
            worth=chosen.worth,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.answer_tokens,
            prefix_hashes=arrival.prefix_hashes,
        )


class _Exchange:
    """The path of one request through one or two entries."""

    def __init__(
        self, world: World, arrival: Arrival, outcome: Outcome, sent_at: float
    ) -> None:
        self._world = world
        self._arrival = arrival
        self._outcome = outcome
        self._sent_at = sent_at

    async def serve(
        self, entry: Entry, request: RoutingRequest, return_seconds: float
    ) -> None:
        """Serve the request at an entry.

        :param return_seconds: delay of a token from the entry to the caller
        """
        for _ in range(MAX_ATTEMPTS + MAX_FORWARDS):
            permit = await entry.admission.admit("client", request)
            try:
                match entry.router.choose(request):
                    case ToEndpoint(endpoint=endpoint):
                        name = endpoint.endpoint_id
                        if await self._attempt(
                            entry, endpoint, request, return_seconds
                        ):
                            return
                        tried = request.excluded_endpoints | {name}
                        request = replace(request, excluded_endpoints=tried)
                    case ToDataCentre() as choice:
                        if await self._forward(
                            entry, choice, request, return_seconds
                        ):
                            return
                        entry.router.record_forward_refused(choice.data_centre)
                    case Unroutable() as unroutable:
                        raise _overloaded(unroutable.message)
            finally:
                permit.release(completed=True)
        raise _overloaded("attempts exhausted")

    async def _forward(
        self,
        entry: Entry,
        choice: ToDataCentre,
        request: RoutingRequest,
        return_seconds: float,
    ) -> bool:
        """Forward the request; return whether it was answered there."""
        entries = self._world.entries_by_region[choice.data_centre]
        vm_id = choice.entries[0].vm_id
        other = next(e for e in entries if e.identity.vm_id == vm_id)
        hops = (*request.hops, entry.identity.data_centre)
        displaced = entry.router.is_displaced(request)
        forwarded = replace(request, hops=hops, displaced=displaced)
        await asyncio.sleep(WIDE_AREA_DELAY_SECONDS)
        try:
            await self.serve(
                other, forwarded, return_seconds + WIDE_AREA_DELAY_SECONDS
            )
            return True
        except Refusal:
            return False
        finally:
            await asyncio.sleep(WIDE_AREA_DELAY_SECONDS)

    async def _attempt(
        self,
        entry: Entry,
        endpoint: Endpoint,
        request: RoutingRequest,
        return_seconds: float,
    ) -> bool:
        """Run at an endpoint; return whether the response was complete."""
        engine = self._world.hosts_by_id[endpoint.endpoint_id].engine
        attempt = entry.router.begin(endpoint, request)
        self._outcome.attempts += 1
        outcome = AttemptOutcome.FAILED
        work = Work(
            request_id=f"{self._arrival.number}-{self._outcome.attempts}",
            chat=True,
            stream=True,
            prompt=b"",
            max_tokens=request.max_tokens,
            rank=request.rank,
            prompt_tokens=request.prompt_tokens,
            prefix_hashes=request.prefix_hashes,
        )
        try:
            await asyncio.sleep(LOCAL_DELAY_SECONDS)
            async with contextlib.aclosing(engine.generate(work)) as tokens:
                async for _ in tokens:
                    attempt.record_first_token()
                    self._record_first_token(
                        return_seconds + LOCAL_DELAY_SECONDS
                    )
            await asyncio.sleep(LOCAL_DELAY_SECONDS)
            outcome = AttemptOutcome.COMPLETED
            self._outcome.ran_in_region = entry.identity.region
        except EngineCrashed:
            outcome = AttemptOutcome.UNREACHABLE
        except EngineFailed:
            outcome = AttemptOutcome.FAILED
        except asyncio.CancelledError:
            outcome = AttemptOutcome.CANCELLED
            if not self._outcome.first_token:
                outcome = AttemptOutcome.TIMED_OUT
            raise
        finally:
            attempt.finish(outcome, tokens=request.max_tokens)
        return outcome is AttemptOutcome.COMPLETED

    def _record_first_token(self, return_seconds: float) -> None:
        if not self._outcome.first_token:
            self._outcome.first_token = _now() + return_seconds - self._sent_at


def _now() -> float:
    return asyncio.get_running_loop().time()


def _overloaded(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.OVERLOADED,
        message=message,
        verdict=Verdict.NOT_RUN,
    )
