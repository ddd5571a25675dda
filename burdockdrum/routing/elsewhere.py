"""Choose among the other data centres, by their summaries."""

import collections
from dataclasses import dataclass
import math
import random

from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.routing.model import Demand
from burdockdrum.routing.model import ToDataCentre
from burdockdrum.routing.placements import PlacementMemory
from burdockdrum.routing.speed import Speed
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmDirectory

# A request is passed on at most so many times, by whichever views.
MAX_HOPS = 2
# The share of a data centre's slots that its own callers are thought to
# fill in each second since its summary was made.
FILL_PER_SECOND = 0.02
# Own forwards count against a summary's room until it can show them.
FORWARD_SHOWS_SECONDS = 1.5
# A data centre that refused a request is not asked for so long: its summary
# comes every half second, and is late.
REFUSED_SECONDS = 0.6


@dataclass(frozen=True, kw_only=True)
class Offer:
    """A data centre that would take a request, and when it would begin.

    ``room`` is what it has beyond the part reserved for its own callers;
    ``run`` is the time in a slot there, ``refused`` says that it refused a
    request a moment ago.
    """

    data_centre: str
    room: float
    refused: bool
    first_token: float
    finish: float
    run: float


def reserve_of(slots: int, share: float) -> float:
    """Return the slots that a data centre keeps for its own callers."""
    return max(1.0, slots * share)


class Elsewhere:
    """The other data centres as one VM sees them."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        vms: VmDirectory,
        wide_area_seconds: float,
        spill_reserve: float,
    ) -> None:
        """Create a view without forwards."""
        self._clock = clock
        self._rng = rng
        self._vms = vms
        self._wide_area_seconds = wide_area_seconds
        self._spill_reserve = spill_reserve
        self._placements = PlacementMemory(capacity=10_000)
        self._forwards: dict[str, collections.deque[float]] = {}
        self._refused_at: dict[str, float] = {}

    def find_offers(self, demand: Demand, speed: Speed) -> list[Offer]:
        """Return the data centres that may run a request, best first."""
        summaries = self._find_summaries(demand)
        depths = self._placements.depths(demand.prefix_hashes)
        offers = [
            self._make_offer(name, summary, age, demand, speed, depths)
            for name, (summary, age) in summaries.items()
        ]
        self._rng.shuffle(offers)
        return sorted(offers, key=lambda offer: offer.finish)

    def forward(self, demand: Demand, data_centre: str) -> ToDataCentre:
        """Count a request that is passed on, and name the entries."""
        self._placements.remember(demand.prefix_hashes, data_centre)
        forwards = self._forwards.setdefault(data_centre, collections.deque())
        forwards.append(self._clock.monotonic())
        entries = [
            view.identity
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == data_centre and not view.draining
        ]
        self._rng.shuffle(entries)
        return ToDataCentre(data_centre=data_centre, entries=tuple(entries))

    def note_refused(self, data_centre: str) -> None:
        """Offer nothing of a data centre until its view is newer."""
        self._refused_at[data_centre] = self._clock.monotonic()

    def equal_part(self, service: str) -> float:
        """Return the slots elsewhere that are this data centre's part.

        What survives is split evenly among the data centres that there
        were: it bounds a line where there is no endpoint at home.
        """
        own = self._vms.identity.data_centre
        slots_by_data_centre = {
            view.identity.data_centre: summary.slots
            for view in self._vms.live_vms()[1:]
            for summary in view.services
            if summary.service == service and view.identity.data_centre != own
        }
        slots = sum(slots_by_data_centre.values())
        return slots / (len(slots_by_data_centre) + 1)

    def _find_summaries(
        self, demand: Demand
    ) -> dict[str, tuple[ServiceSummary, float]]:
        """Return each permitted data centre's latest summary and its age."""
        now = self._clock.monotonic()
        own = self._vms.identity.data_centre
        found: dict[str, tuple[ServiceSummary, float]] = {}
        for view in self._vms.live_vms()[1:]:
            identity: VmIdentity = view.identity
            name = identity.data_centre
            if (
                name == own
                or view.draining
                or identity.region not in demand.regions
                or name in demand.hops
                or name in demand.excluded_data_centres
            ):
                continue
            age = now - view.heard_at
            if name in found and found[name][1] <= age:
                continue
            for summary in view.services:
                if summary.service == demand.service and summary.endpoints:
                    found[name] = (summary, age)
        return found

    def _make_offer(
        self,
        name: str,
        summary: ServiceSummary,
        age: float,
        demand: Demand,
        speed: Speed,
        depths: dict[str, int],
    ) -> Offer:
        room = float(summary.room - self._recent_forwards(name))
        room -= summary.slots * FILL_PER_SECOND * age
        room -= reserve_of(summary.slots, self._spill_reserve)
        # The state that is warm here is lost there: the prompt is read
        # again, but for what was sent there before.
        blocks = len(demand.prefix_hashes)
        warm = depths.get(name, 0) / blocks if blocks else 0.0
        read = demand.prompt_tokens * (1 - warm) * speed.prefill
        refused = self._has_refused(name)
        if refused:
            room = min(0.0, room)
        run = demand.max_tokens * speed.token
        wait = 0.0
        if room < 1:
            # What was sent there since has joined the line.
            ahead = self._recent_forwards(name) * run
            wait = summary.queue_seconds + ahead / max(1, summary.slots)
        first = 2 * self._wide_area_seconds + read + wait + speed.token
        return Offer(
            data_centre=name,
            room=room,
            refused=refused,
            first_token=first,
            finish=first + run,
            run=read + run,
        )

    def _has_refused(self, name: str) -> bool:
        refused_at = self._refused_at.get(name, -math.inf)
        return self._clock.monotonic() - refused_at < REFUSED_SECONDS

    def _recent_forwards(self, name: str) -> int:
        forwards = self._forwards.get(name)
        if not forwards:
            return 0
        limit = self._clock.monotonic() - FORWARD_SHOWS_SECONDS
        while forwards and forwards[0] < limit:
            forwards.popleft()
        return len(forwards)
