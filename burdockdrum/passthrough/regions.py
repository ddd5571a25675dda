"""Estimate what a request would meet in other regions."""

from collections.abc import Callable

from burdockdrum.passthrough.attempts import HOP_SECONDS
from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.rating import crossing_seconds
from burdockdrum.passthrough.waiting import estimate_queue
from burdockdrum.passthrough.waiting import preemption_seconds
from burdockdrum.passthrough.waiting import RECENT_SECONDS
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.passthrough.waiting import writing_risk
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import ServiceRoom
from burdockdrum.settings import MechanismSettings


class RegionRater:
    """Rate the other regions by their average endpoints.

    Which endpoint is chosen there, an entry there decides by what it knows.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        region: str,
        read_rooms: Callable[[], list[ServiceRoom]],
        mechanisms: MechanismSettings,
        crossing_seconds: float,
    ) -> None:
        """Create it for the entries of a region.

        :param read_rooms: returns what each region has under way
        :param crossing_seconds: what a megabyte to another region counts
            against seconds of waiting
        """
        self._clock = clock
        self._fleet = fleet
        self._region = region
        self._read_rooms = read_rooms
        self._mechanisms = mechanisms
        self._crossing_seconds = crossing_seconds

    def rate(
        self, request: PassedRequest, progress: Progress
    ) -> list[tuple[Wait, str]]:
        """Return the waits in the regions that may take it, best first."""
        waits = [
            (self._estimate(request, room), room.region)
            for room in self._read_rooms()
            if self._may_take(request, progress, room)
        ]
        return sorted(waits, key=lambda pair: pair[0].total)

    def _may_take(
        self, request: PassedRequest, progress: Progress, room: ServiceRoom
    ) -> bool:
        homes = request.route.homes
        return (
            room.service == request.backend.name
            and room.endpoints > 0
            and room.region != self._region
            and room.region not in progress.tried_regions
            and (not homes or room.region in homes)
        )

    def _estimate(self, request: PassedRequest, room: ServiceRoom) -> Wait:
        load = Load.of(room.ranks).times(1 / room.endpoints)
        service = room.service
        token_seconds = self._fleet.engines.token_seconds(service)
        slots = max(1, room.slots // room.endpoints)
        run_seconds = self._fleet.run_seconds(service)
        rank = request.route.rank
        queue = estimate_queue(
            load,
            rank=rank,
            slots=slots,
            run_seconds=run_seconds,
            token_seconds=token_seconds,
            counts_coming=self._mechanisms.urgent_share,
        )
        crossing = crossing_seconds(
            len(request.head.body), self._crossing_seconds
        )
        if request.backend.engine is None:
            return Wait(queue=queue, own=HOP_SECONDS, penalty=crossing)
        preemption = 0.0
        if self._mechanisms.full_slots:
            preemption = preemption_seconds(
                load, rank=rank, slots=slots, run_seconds=run_seconds
            )
        busy = load.recent_tokens * token_seconds / RECENT_SECONDS
        return Wait(
            queue=queue,
            own=self._own(request, room.region) + HOP_SECONDS,
            penalty=self._writing_risk(request, busy) + crossing + preemption,
            usual_error=self._fleet.expect_error(service, rank, busy),
        )

    def _own(self, request: PassedRequest, region: str) -> float:
        """Return how long reading the prompt takes there.

        An endpoint there may hold a beginning of it, or fetch one.
        """
        engines = self._fleet.engines
        service, prompt = request.backend.name, request.prompt
        unread, fetch = self._fleet.beginnings.expect_elsewhere(
            request.backend, prompt, region, request.route.homes
        )
        reading = engines.reading_seconds(service, prompt, unread)
        fetching = engines.fetch_seconds(service, fetch)
        whole = engines.reading_seconds(service, prompt, prompt.tokens)
        return engines.first_seconds(service) + min(whole, reading + fetching)

    def _writing_risk(self, request: PassedRequest, busy: float) -> float:
        if not self._mechanisms.writing_risk:
            return 0.0
        step = self._fleet.engines.step_seconds(request.backend.name, busy)
        left = request.deadline - self._clock.monotonic()
        return writing_risk(request.prompt, step, left)
