"""Count what teams use, and refuse what goes beyond their limits."""

from collections.abc import Mapping
from dataclasses import dataclass
import random

from burdockdrum.callers import Caller
from burdockdrum.callers import CallerFinder
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.quotas.decaying import DecayingSum
from burdockdrum.quotas.limits import ASKED_SECONDS
from burdockdrum.quotas.limits import draw_on
from burdockdrum.quotas.limits import is_near
from burdockdrum.quotas.limits import Known
from burdockdrum.quotas.limits import passing_part
from burdockdrum.quotas.limits import seconds_until_room
from burdockdrum.quotas.limits import USED_SECONDS
from burdockdrum.quotas.sharing import UseSharing
from burdockdrum.quotas.sums import Use
from burdockdrum.resources import RateLimit
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 5.0
# Who is refused together must not come back together.
RETRY_SPREAD = 2.0


@dataclass(frozen=True, kw_only=True)
class Taken:
    """What a request has used of its team's limit, in the limit's unit."""

    team: str
    cost: float


class _Tally:
    """What one team uses and asks for here, and has drawn everywhere."""

    def __init__(self, *, limit: RateLimit, now: float) -> None:
        self.limit = limit
        self.used = DecayingSum(seconds=USED_SECONDS, now=now)
        self.asked = DecayingSum(seconds=ASKED_SECONDS, now=now)
        self.drawn = 0.0
        self.drawn_at = now

    def read(self, now: float) -> Use:
        return Use(
            used=self.used.read(now) / USED_SECONDS,
            asked=self.asked.read(now) / ASKED_SECONDS,
        )


class QuotaMeter:
    """Decide which requests of a team fit its limit over all VMs."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        callers: CallerFinder,
        sharing: UseSharing,
        metrics: Metrics,
    ) -> None:
        """Count from nothing."""
        self._clock = clock
        self._rng = rng
        self._callers = callers
        self._sharing = sharing
        self._tally_by_team: dict[str, _Tally] = {}
        sharing.read_own = self.read_own
        sharing.read_drawn = self._read_drawn
        sharing.take_drawn = self._take_drawn
        sharing.read_near = self._is_near
        self._used = metrics.counter(
            "burdockdrum_team_used_total",
            "What teams have used of their limits, in the limits' units.",
        )
        self._refused = metrics.counter(
            "burdockdrum_team_refused_total",
            "Requests that were refused by the limits of teams.",
        )

    def take(self, caller: Caller, tokens: int) -> Taken | None:
        """Count a request, if it fits the limit of its team.

        :param tokens: what it may read and write, 0 if it does not say
        :returns: what to give back if it does not run, None without a limit
        :raises Refusal: with the limit, what is known, and when to come back
        """
        limit, team = caller.limit, caller.team
        if limit is None or team is None:
            return None
        now = self._clock.monotonic()
        tally = self._find_tally(team, limit, now)
        cost = cost_of(limit, tokens)
        tally.asked.add(cost, now)
        known = self._read_known(team, tally, now)
        if self._rng.random() >= passing_part(limit, known):
            self._refused.increment(team=team)
            raise self._refuse(team, limit, known)
        tally.used.add(cost, now)
        self._used.increment(cost, team=team)
        return Taken(team=team, cost=cost)

    def give_back(self, taken: Taken) -> None:
        """Undo what was counted for a request that has not run."""
        tally = self._tally_by_team.get(taken.team)
        if tally is not None:
            tally.used.add(-taken.cost, self._clock.monotonic())
            self._used.increment(-taken.cost, team=taken.team)

    def read_own(self) -> Mapping[str, Use]:
        """Return what began here, of each team that has a limit."""
        now = self._clock.monotonic()
        uses = {}
        for team, caller in self._callers.callers_by_team.items():
            if caller.limit is not None:
                tally = self._find_tally(team, caller.limit, now)
                self._read_known(team, tally, now)
                uses[team] = tally.read(now)
        return uses

    def _find_tally(self, team: str, limit: RateLimit, now: float) -> _Tally:
        tally = self._tally_by_team.get(team)
        if tally is None or tally.limit.unit != limit.unit:
            tally = self._tally_by_team[team] = _Tally(limit=limit, now=now)
        tally.limit = limit
        return tally

    def _read_known(self, team: str, tally: _Tally, now: float) -> Known:
        use = self._sharing.others(team).plus(tally.read(now))
        unheard = self._sharing.unheard(team)
        tally.drawn = draw_on(
            tally.limit,
            tally.drawn,
            use.used,
            unheard,
            now - tally.drawn_at,
        )
        tally.drawn_at = now
        return Known(
            used=use.used,
            asked=use.asked,
            drawn=tally.drawn,
            unheard=unheard,
            age=self._sharing.age,
        )

    def _read_drawn(self, team: str) -> float:
        tally = self._tally_by_team.get(team)
        if tally is None:
            return 0.0
        return self._read_known(team, tally, self._clock.monotonic()).drawn

    def _is_near(self) -> bool:
        """Say whether some team is near its limit."""
        now = self._clock.monotonic()
        return any(
            is_near(tally.limit, self._read_known(team, tally, now))
            for team, tally in self._tally_by_team.items()
        )

    def _take_drawn(self, team: str, drawn: float) -> None:
        """Go on from what the keeper has added up."""
        tally = self._tally_by_team.get(team)
        if tally is not None:
            tally.drawn = drawn
            tally.drawn_at = self._clock.monotonic()

    def _refuse(self, team: str, limit: RateLimit, known: Known) -> Refusal:
        wait = seconds_until_room(limit, known)
        wait *= self._rng.uniform(1.0, RETRY_SPREAD)
        heard = "never" if known.age is None else f"{known.age:.1f} s ago"
        return Refusal(
            code=RefusalCode.QUOTA,
            message=f"team {team!r} is at its limit of {limit.per_second:g} "
            f"{limit.unit} a second: {known.asked:.0f} are asked for "
            f"and {known.used:.0f} used, others heard {heard}, "
            f"{known.unheard:.0%} of the limit kept for those unheard",
            verdict=Verdict.NOT_RUN,
            retry_after=min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait)),
        )


def cost_of(limit: RateLimit, tokens: int) -> float:
    """Return what a request counts, in the unit of a limit."""
    match limit.unit:
        case "requests":
            return 1.0
        case "tokens":
            return float(tokens or limit.plain_tokens)
