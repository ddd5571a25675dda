"""Choose where a request is tried next: here, or in another region."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace
import random

from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Place
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.model import RegionPlace
from burdockdrum.passthrough.regions import RegionRater
from burdockdrum.passthrough.tracks import Choice
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import ServiceRoom
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode

# Sums of load are half a second old and all entries see the same ones: a
# region must look better by this much before work is sent there, or all
# would send at once.
SPILL_MARGIN_SECONDS = 0.15
# Where no endpoint may take a request the next check-in may change that.
RETRY_AFTER_NONE = 1.0
# How much longer a queue may seem in another region, if there is none here.
DOUBT_TIMES = 3
# What is expected within this part of the objective stays here: bytes
# between regions are paid for, and the prompt would be read anew there.
SPILL_PART = 0.5
MIN_RETRY_SECONDS = 0.3
# What is late already is served where that takes little from others.
MIN_QUEUE_SECONDS = 0.1
# Long prompts take up their objective by themselves: they may wait for so
# much of it nevertheless.
MIN_QUEUE_PART = 0.25
MAX_RETRY_SECONDS = 3.0


class Placing:
    """Choose among the endpoints here and the entries of other regions."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        fleet: Fleet,
        region: str,
        read_rooms: Callable[[], list[ServiceRoom]],
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_closed: Callable[[], frozenset[str]],
        hop_address: Callable[[VmIdentity], str],
        mechanisms: MechanismSettings | None = None,
        crossing_seconds: float = 0.0,
    ) -> None:
        """Create it for a region.

        :param read_rooms: returns what each region has under way
        :param read_entries: returns the live entries of other regions
        :param read_closed: returns the data centres that get no new work
        :param hop_address: returns where an entry takes what is passed on
        :param mechanisms: the parts of the policy that are in use; all
        :param crossing_seconds: what a megabyte to another region counts
            against seconds of waiting
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._region = region
        self._regions = RegionRater(
            clock=clock,
            fleet=fleet,
            region=region,
            read_rooms=read_rooms,
            mechanisms=self._mechanisms,
            crossing_seconds=crossing_seconds,
        )
        self._read_entries = read_entries
        self._read_closed = read_closed
        self._hop_address = hop_address

    def place(self, request: PassedRequest, progress: Progress) -> Place:
        """Choose the next place.

        :raises Refusal: with the verdict so far, if there is none
        """
        here = self._choose_here(request, progress)
        elsewhere = self._choose_region(request, progress, here)
        if elsewhere is not None:
            return elsewhere
        left = request.deadline - self._clock.monotonic()
        if here is None:
            known = self._fleet.count_live(request.backend.name)
            reason = f"none of {known} endpoints here may take it"
            raise self._refuse(request, progress, reason, RETRY_AFTER_NONE)
        allowed = self._allowed_queue(request, left, here.wait)
        queue = here.wait.queue
        if queue > allowed:
            reason = f"queue of {queue:.2f} s, {allowed:.2f} s are allowed"
            raise self._refuse(request, progress, reason, queue - allowed)
        return EndpointPlace(choice=here)

    def has_other(
        self, request: PassedRequest, progress: Progress, place: Place
    ) -> bool:
        """Say whether a request would be taken now at another place."""
        tried, regions = set(progress.tried), set(progress.tried_regions)
        match place:
            case EndpointPlace(choice=choice):
                tried.add(choice.endpoint.endpoint_id)
            case RegionPlace(vm_id=vm_id, region=region):
                tried.add(vm_id)
                regions.add(region)
        later = replace(progress, tried=tried, tried_regions=regions)
        try:
            self.place(request, later)
        except Refusal:
            return False
        return True

    def _allowed_queue(
        self, request: PassedRequest, left: float, wait: Wait
    ) -> float:
        """Return how long a request may wait for what came before it.

        What would be late by all that is expected is refused at once, so that
        those who are served are served in time; while it is not late already,
        and not longer than it has.

        :param wait: what is expected at the place in question
        """
        if not self._mechanisms.early_refusal:
            return left
        passed = self._clock.monotonic() - request.received_at
        due = request.route.objective_seconds - passed
        rest = due - wait.own - wait.usual_error
        return min(left, max(rest, due * MIN_QUEUE_PART, MIN_QUEUE_SECONDS))

    def _choose_here(
        self, request: PassedRequest, progress: Progress
    ) -> Choice | None:
        homes = request.route.homes
        if homes and self._region not in homes:
            return None
        return self._fleet.choose(
            route=request.route,
            backend=request.backend,
            prompt=request.prompt,
            seconds_left=request.deadline - self._clock.monotonic(),
            tried=frozenset(progress.tried),
            closed_data_centres=self._read_closed(),
            body_bytes=len(request.head.body),
        )

    def _choose_region(
        self,
        request: PassedRequest,
        progress: Progress,
        here: Choice | None,
    ) -> RegionPlace | None:
        if request.came_from is not None:
            # One hop only: two regions that each think that the other has
            # room would pass a request to and fro.
            return None
        limit = float("inf")
        if here is not None:
            if not self._mechanisms.region_spill:
                return None
            enough = request.route.objective_seconds * SPILL_PART
            if here.wait.total <= enough:
                return None
            limit = here.wait.total - SPILL_MARGIN_SECONDS
        left = request.deadline - self._clock.monotonic()
        for wait, region in self._regions.rate(request, progress):
            if wait.total >= limit:
                return None
            allowed = self._allowed_queue(request, left, wait)
            if here is None:
                # What is known of other regions is half a second old. They
                # refuse for themselves what they have no room for.
                allowed = min(left, allowed * DOUBT_TIMES)
            if wait.queue > allowed:
                continue
            entry = self._choose_entry(region, progress)
            if entry is not None:
                return RegionPlace(
                    region=region,
                    address=self._hop_address(entry),
                    vm_id=entry.vm_id,
                    wait_seconds=wait.total,
                )
        return None

    def _choose_entry(
        self, region: str, progress: Progress
    ) -> VmIdentity | None:
        entries = [
            entry
            for entry in self._read_entries()
            if entry.region == region and entry.vm_id not in progress.tried
        ]
        return self._rng.choice(entries) if entries else None

    def _refuse(
        self,
        request: PassedRequest,
        progress: Progress,
        reason: str,
        wait: float,
    ) -> Refusal:
        if progress.last_reason:
            reason = f"{progress.last_reason}; {reason}"
        return Refusal(
            code=RefusalCode.OVERLOADED,
            message=f"{request.backend.name}: {reason}",
            verdict=progress.verdict,
            retry_after=min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait)),
        )
