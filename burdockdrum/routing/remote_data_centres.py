"""Selection among the other data centres.

Each data centre publishes summaries of its free capacity. A summary is out
of date when it arrives, so it is corrected for its age and for the requests
that this VM has forwarded since.
"""

import collections
from dataclasses import dataclass
import math
import random

from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.routing.model import RoutingRequest
from burdockdrum.routing.model import ToDataCentre
from burdockdrum.routing.prefix_placements import PrefixPlacements
from burdockdrum.routing.speed import Speed
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmDirectory

# Maximum number of times that a request is forwarded.
MAX_HOPS = 2
# Estimated fraction of a data centre's slots that its local callers occupy
# per second of the summary's age.
LOCAL_FILL_FRACTION_PER_SECOND = 0.02
# Forwards of this VM are subtracted from a summary's free capacity until
# the summary can be expected to include them.
SUMMARY_DELAY_SECONDS = 1.5
# A data centre that refused a request is avoided until a newer summary has
# arrived; summaries are sent every 0.5 s.
REFUSAL_BACKOFF_SECONDS = 0.6


@dataclass(frozen=True, kw_only=True)
class RemoteOption:
    """A data centre evaluated for one request.

    ``free_capacity`` is in requests, without the reserve for its local
    callers. ``first_token``, ``finish`` and ``run`` are in seconds;
    ``run`` is the time spent in a slot. ``refused`` is true if it refused a
    request within the last ``REFUSAL_BACKOFF_SECONDS``.
    """

    data_centre: str
    free_capacity: float
    refused: bool
    first_token: float
    finish: float
    run: float


def reserved_slots(slots: int, share: float) -> float:
    """Return the slots that a data centre reserves for its local callers."""
    return max(1.0, slots * share)


class RemoteDataCentres:
    """The other data centres, as known to this VM from their summaries."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        vms: VmDirectory,
        wide_area_seconds: float,
        spill_reserve: float,
    ) -> None:
        """Create a view without recorded forwards."""
        self._clock = clock
        self._rng = rng
        self._vms = vms
        self._wide_area_seconds = wide_area_seconds
        self._spill_reserve = spill_reserve
        self._placements = PrefixPlacements(capacity=10_000)
        self._forwards: dict[str, collections.deque[float]] = {}
        self._refused_at: dict[str, float] = {}

    def find_options(
        self, request: RoutingRequest, speed: Speed
    ) -> list[RemoteOption]:
        """Return the eligible data centres, earliest finish first."""
        summaries = self._find_summaries(request)
        depths = self._placements.depths(request.prefix_hashes)
        options = [
            self._evaluate(name, summary, age, request, speed, depths)
            for name, (summary, age) in summaries.items()
        ]
        self._rng.shuffle(options)
        return sorted(options, key=lambda option: option.finish)

    def forward(
        self, request: RoutingRequest, data_centre: str
    ) -> ToDataCentre:
        """Record a forward; return the entry VMs in random order."""
        self._placements.remember(request.prefix_hashes, data_centre)
        forwards = self._forwards.setdefault(data_centre, collections.deque())
        forwards.append(self._clock.monotonic())
        entries = [
            view.identity
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == data_centre and not view.draining
        ]
        self._rng.shuffle(entries)
        return ToDataCentre(data_centre=data_centre, entries=tuple(entries))

    def record_refusal(self, data_centre: str) -> None:
        """Treat a data centre as full for ``REFUSAL_BACKOFF_SECONDS``."""
        self._refused_at[data_centre] = self._clock.monotonic()

    def equal_share(self, service: str) -> float:
        """Return this data centre's equal share of all remote slots.

        It limits the queue of a data centre that has no endpoint itself.
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
        self, request: RoutingRequest
    ) -> dict[str, tuple[ServiceSummary, float]]:
        """Return the latest summary and its age by eligible data centre."""
        now = self._clock.monotonic()
        own = self._vms.identity.data_centre
        found: dict[str, tuple[ServiceSummary, float]] = {}
        for view in self._vms.live_vms()[1:]:
            identity: VmIdentity = view.identity
            name = identity.data_centre
            if (
                name == own
                or view.draining
                or identity.region not in request.regions
                or name in request.hops
                or name in request.excluded_data_centres
            ):
                continue
            age = now - view.heard_at
            if name in found and found[name][1] <= age:
                continue
            for summary in view.services:
                if summary.service == request.service and summary.endpoints:
                    found[name] = (summary, age)
        return found

    def _evaluate(
        self,
        name: str,
        summary: ServiceSummary,
        age: float,
        request: RoutingRequest,
        speed: Speed,
        depths: dict[str, int],
    ) -> RemoteOption:
        free_capacity = float(summary.room - self._recent_forwards(name))
        free_capacity -= summary.slots * LOCAL_FILL_FRACTION_PER_SECOND * age
        free_capacity -= reserved_slots(summary.slots, self._spill_reserve)
        # Cached prefixes are local to a data centre: another one processes
        # the whole prompt, except for prefixes forwarded to it before.
        blocks = len(request.prefix_hashes)
        cached_fraction = depths.get(name, 0) / blocks if blocks else 0.0
        prefill = (
            request.prompt_tokens
            * (1 - cached_fraction)
            * speed.prefill_seconds
        )
        refused = self._refused_recently(name)
        if refused:
            free_capacity = min(0.0, free_capacity)
        run = request.max_tokens * speed.decode_seconds
        wait = 0.0
        if free_capacity < 1:
            # Requests forwarded since the summary are queued there as well.
            ahead = self._recent_forwards(name) * run
            wait = summary.queue_seconds + ahead / max(1, summary.slots)
        first = (
            2 * self._wide_area_seconds + prefill + wait + speed.decode_seconds
        )
        return RemoteOption(
            data_centre=name,
            free_capacity=free_capacity,
            refused=refused,
            first_token=first,
            finish=first + run,
            run=prefill + run,
        )

    def _refused_recently(self, name: str) -> bool:
        refused_at = self._refused_at.get(name, -math.inf)
        return self._clock.monotonic() - refused_at < REFUSAL_BACKOFF_SECONDS

    def _recent_forwards(self, name: str) -> int:
        forwards = self._forwards.get(name)
        if not forwards:
            return 0
        limit = self._clock.monotonic() - SUMMARY_DELAY_SECONDS
        while forwards and forwards[0] < limit:
            forwards.popleft()
        return len(forwards)
