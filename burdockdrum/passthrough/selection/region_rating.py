"""Estimate how long a request would wait in other regions.

Used for spill-over: only sums of load are known of other regions.
"""

from collections.abc import Callable

from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.selection.endpoint_rater import crossing_seconds
from burdockdrum.passthrough.selection.fleet import Fleet
from burdockdrum.passthrough.selection.output_pace import delay_of_others
from burdockdrum.passthrough.state import decode_risk_seconds
from burdockdrum.passthrough.state import estimate_queue
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import memory_wait_seconds
from burdockdrum.passthrough.state import preemption_seconds
from burdockdrum.passthrough.state import RECENT_WINDOW_SECONDS
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import ServiceCapacity
from burdockdrum.settings import MechanismSettings

# Round trip between two regions, plus the processing at the other entry VM.
HOP_DELAY_SECONDS = 0.12
# The same within a region.
NEAR_HOP_DELAY_SECONDS = 0.01


class RegionRater:
    """Rates regions by the average load of their endpoints.

    The endpoint is selected by an entry VM of the other region, or by another
    entry VM of this region if this one may not reach all endpoints.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        region: str,
        read_capacities: Callable[[], list[ServiceCapacity]],
        mechanisms: MechanismSettings,
        crossing_seconds: float,
    ) -> None:
        """Create it for the entry VMs of a region.

        :param read_capacities: returns the load and capacity of each region
        :param crossing_seconds: seconds of waiting that equal the cost of
            sending a megabyte to another region
        """
        self._clock = clock
        self._fleet = fleet
        self._region = region
        self._read_capacities = read_capacities
        self._mechanisms = mechanisms
        self._crossing_seconds = crossing_seconds

    def rate(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> list[tuple[ExpectedWait, str]]:
        """Return the waits in all eligible regions, best first."""
        waits = [
            (self._estimate(request, candidate), candidate.region)
            for candidate in self._read_capacities()
            if self._is_eligible(request, progress, candidate)
        ]
        return sorted(waits, key=lambda pair: pair[0].total)

    def serve_version(
        self, request: ProxiedRequest, software_version: str | None
    ) -> bool:
        """Return whether any allowed region has endpoints of a version.

        :param software_version: any one if None
        """
        homes = request.route.homes
        return any(
            candidate.service == request.backend.name
            and candidate.endpoints > 0
            and (not homes or candidate.region in homes)
            and _has_version(candidate, software_version)
            for candidate in self._read_capacities()
        )

    def _is_eligible(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        candidate: ServiceCapacity,
    ) -> bool:
        homes = request.route.homes
        return (
            candidate.service == request.backend.name
            and candidate.endpoints > 0
            and (
                candidate.region != self._region
                or self._fleet.has_doubtful(candidate.service)
            )
            and candidate.region not in progress.tried_regions
            and (not homes or candidate.region in homes)
            and (
                progress.origin is None
                or _has_version(candidate, progress.origin.software_version)
            )
        )

    def _estimate(
        self, request: ProxiedRequest, candidate: ServiceCapacity
    ) -> ExpectedWait:
        load = Load.from_ranks(candidate.ranks).scaled(1 / candidate.endpoints)
        service = candidate.service
        prefill_token_seconds = self._fleet.engines.prefill_token_seconds(
            service
        )
        slots = max(1, candidate.slots // candidate.endpoints)
        run_seconds = self._fleet.run_seconds(service)
        rank = request.route.rank
        queue = estimate_queue(
            load,
            rank=rank,
            slots=slots,
            run_seconds=run_seconds,
            prefill_token_seconds=prefill_token_seconds,
            counts_arrivals=self._mechanisms.urgent_share,
            memory_wait_seconds=self._memory_wait(request, load),
        )
        crossing = crossing_seconds(
            len(request.head.body), self._crossing_seconds
        )
        hop_delay = HOP_DELAY_SECONDS
        if candidate.region == self._region:
            hop_delay, crossing = NEAR_HOP_DELAY_SECONDS, 0.0
        if request.backend.engine is None:
            return ExpectedWait(
                queue=queue, service_time=hop_delay, penalty=crossing
            )
        preemption = 0.0
        if self._mechanisms.full_slots:
            preemption = preemption_seconds(
                load, rank=rank, slots=slots, run_seconds=run_seconds
            )
        prefill_share = (
            load.recent_tokens * prefill_token_seconds / RECENT_WINDOW_SECONDS
        )
        output = self._output_seconds(request, prefill_share)
        own_seconds = self._service_time(request, candidate.region)
        return ExpectedWait(
            queue=queue,
            service_time=own_seconds + hop_delay,
            penalty=self._decode_risk(request, output)
            + self._delay_of_others(service, load, own_seconds)
            + crossing
            + preemption,
            expected_error=self._fleet.estimate_error(
                service, rank, prefill_share
            ),
            output=output,
            urgent_behind=load.up_to(rank - 1).behind,
        )

    def _memory_wait(self, request: ProxiedRequest, load: Load) -> float:
        engine = request.backend.engine
        if engine is None or not self._mechanisms.memory_room:
            return 0.0
        return memory_wait_seconds(
            load,
            rank=request.route.rank,
            request_tokens=request.prompt.memory_tokens,
            memory_tokens=engine.memory_tokens,
            held_seconds=self._fleet.held_seconds(request.backend.name),
        )

    def _service_time(self, request: ProxiedRequest, region: str) -> float:
        """Return the expected prefill time in a region.

        An endpoint there may have a prefix cached, or fetch one.
        """
        engines = self._fleet.engines
        service, prompt = request.backend.name, request.prompt
        uncached, fetch = self._fleet.prefixes.estimate_in_region(
            request.backend, prompt, region, request.route.homes
        )
        prefill = engines.prefill_seconds(service, prompt, uncached)
        fetching = engines.fetch_seconds(service, fetch)
        full_prefill = engines.prefill_seconds(service, prompt, prompt.tokens)
        return engines.first_token_seconds(service) + min(
            full_prefill, prefill + fetching
        )

    def _delay_of_others(
        self, service: str, load: Load, own_seconds: float
    ) -> float:
        if not self._mechanisms.output_pace:
            return 0.0
        prefill = own_seconds - self._fleet.engines.first_token_seconds(
            service
        )
        return delay_of_others(load, prefill_seconds=max(0.0, prefill))

    def _output_seconds(
        self, request: ProxiedRequest, prefill_share: float
    ) -> float:
        tokens = request.prompt.expected_output_tokens
        step = self._fleet.engines.decode_step_seconds(
            request.backend.name, prefill_share, tokens
        )
        return tokens * step

    def _decode_risk(
        self, request: ProxiedRequest, output_seconds: float
    ) -> float:
        if not self._mechanisms.writing_risk:
            return 0.0
        left = request.deadline - self._clock.monotonic()
        return decode_risk_seconds(output_seconds, left)


def _has_version(
    candidate: ServiceCapacity, software_version: str | None
) -> bool:
    """Return whether a region has endpoints of a version, or of any.

    A control VM of an earlier release reports no versions.
    """
    return (
        software_version is None
        or not candidate.software_versions
        or software_version in candidate.software_versions
    )
