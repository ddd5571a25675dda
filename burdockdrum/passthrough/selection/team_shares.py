"""Apply the fair shares of teams to requests that find endpoints busy."""

from dataclasses import dataclass
from dataclasses import replace

from burdockdrum.fairness import FairShares
from burdockdrum.fairness import MICROSECONDS
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.selection.fleet import Fleet
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.passthrough.state import TeamRequest
from burdockdrum.ports import Clock
from burdockdrum.registrations import WorkKey
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Verdict

# No team is refused for its share while the best endpoint's queue is shorter
# than this fraction of what the request may queue, so that engines stay busy.
MIN_SHORT_FRACTION = 0.1
# A written token takes a slot's part of a step of an engine without prefill.
_NO_PREFILL = 0.0


@dataclass(frozen=True, kw_only=True)
class ShareRefusal:
    """Why a request is refused, and after how many seconds to retry."""

    reason: str
    retry_after: float


class TeamShares:
    """Records the work of teams and refuses what exceeds their shares."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        shares: FairShares,
        mechanisms: MechanismSettings,
        metrics: Metrics | None = None,
    ) -> None:
        """Create it for the endpoints of a region.

        :param mechanisms: the enabled parts of the policy
        :param metrics: where decisions are counted; nowhere by default
        """
        self._clock = clock
        self._fleet = fleet
        self._shares = shares
        self._is_enabled = mechanisms.fair_shares
        self._decisions = (metrics or Metrics()).counter(
            "burdockdrum_fair_share_decisions_total",
            "Requests of teams that found endpoints short, by decision.",
        )
        fleet.record_served = self._record_served

    def record_requested(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        local: RatedEndpoint | None,
    ) -> None:
        """Record the work of a request that no other region takes."""
        key = self._key_of(request)
        if key is None or progress.has_requested_work:
            return
        progress.has_requested_work = True
        self._shares.record_request(key, self._work_of(request, local))

    def mark(
        self, request: ProxiedRequest, local: RatedEndpoint
    ) -> RatedEndpoint:
        """Return a chosen endpoint with what the request counts there."""
        key = self._key_of(request)
        if key is None:
            return local
        work = self._work_of(request, local)
        return replace(local, team_request=TeamRequest(key=key, work=work))

    def find_refusal(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        local: RatedEndpoint,
        allowed: float,
    ) -> ShareRefusal | None:
        """Return a refusal if endpoints are short and the share is exceeded.

        :param local: the best endpoint
        :param allowed: seconds that the request may queue
        """
        key = self._key_of(request)
        if key is None or progress.is_within_share is not None:
            return None
        if progress.verdict is not Verdict.NOT_RUN:
            # What an earlier attempt has used would be lost.
            return None
        fullness = local.wait.queue / allowed if allowed > 0 else 1.0
        if not self._is_short(key, fullness):
            return None
        work = self._work_of(request, local)
        progress.is_within_share = self._shares.admits(key, work, fullness)
        if progress.is_within_share:
            self._count("admitted", key)
            return None
        self._count("refused", key)
        share = self._shares.share_of(key)
        requested = share.requested / MICROSECONDS
        fair = share.share / MICROSECONDS
        return ShareRefusal(
            reason=f"team {key.team!r} requests {requested:.2f} engines of "
            f"work, its fair share is {fair:.2f}",
            retry_after=self._shares.seconds_until_admitted(key),
        )

    def _is_short(self, key: WorkKey, fullness: float) -> bool:
        """Return whether the queue is too long for a team's demand.

        The more a team exceeds its share, the shorter the queue that it may
        join, so that the rest has room for the others.

        :param fullness: the queue as a fraction of what the request may queue
        """
        if fullness <= MIN_SHORT_FRACTION:
            return False
        return fullness > self._shares.admitted_fraction(key)

    def _record_served(self, team_request: TeamRequest) -> None:
        """Record that an endpoint serves a request."""
        self._shares.record_served(team_request.key, team_request.work)

    def _work_of(
        self, request: ProxiedRequest, local: RatedEndpoint | None
    ) -> float:
        """Return the work of a request in seconds of an engine."""
        service, prompt = request.backend.name, request.prompt
        slots = local.endpoint.slots if local is not None else 1
        if request.backend.engine is None:
            return self._fleet.run_seconds(service) / slots
        engines = self._fleet.engines
        tokens = float(prompt.tokens)
        if local is not None:
            tokens = local.prefill_cost_tokens
        step = engines.decode_step_seconds(service, _NO_PREFILL)
        return (
            tokens * engines.prefill_token_seconds(service)
            + prompt.expected_output_tokens * step / slots
        )

    def _key_of(self, request: ProxiedRequest) -> WorkKey | None:
        """Return what the request's work is summed by, None if it is not."""
        if request.team is None or not self._is_enabled:
            return None
        return WorkKey(request.backend.name, request.route.rank, request.team)

    def _count(self, decision: str, key: WorkKey) -> None:
        self._decisions.increment(decision=decision, team=key.team)
