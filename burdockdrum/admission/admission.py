"""Accept a request, or refuse it early and cheaply."""

import asyncio
from dataclasses import dataclass
import math

from burdockdrum.admission.quotas import QuotaHold
from burdockdrum.admission.quotas import QuotaLedger
from burdockdrum.admission.waiting import Waiter
from burdockdrum.admission.waiting import WaitingLine
from burdockdrum.configuration import ConfigurationService
from burdockdrum.ports import Clock
from burdockdrum.routing import Demand
from burdockdrum.routing import Estimate
from burdockdrum.routing import Router
from burdockdrum.settings import PolicySettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# How often waiters are looked at when no attempt ends: summaries of other
# data centres and reports of endpoints come without a call.
TICK_SECONDS = 0.1
# Waiters looked at for a start in one go; those behind wait for the next.
MAX_TRIES = 8
MIN_RETRY_AFTER_SECONDS = 1.0
# How much longer the line of another entry VM must be to be let ahead.
YIELD_FACTOR = 1.3
YIELD_SECONDS = 1.0
_WEIGHT = 0.05


class Permit:
    """A request that was accepted; released exactly once at its end."""

    def __init__(
        self,
        *,
        admission: "Admission",
        hold: QuotaHold | None = None,
    ) -> None:
        """Create a permit."""
        self._admission = admission
        self._hold = hold
        self._released = False

    def release(self, *, completed: bool, tokens: int = 0) -> None:
        """Give the permit back; later calls change nothing."""
        if self._released:
            return
        self._released = True
        self._admission.give_back(self._hold, tokens)


@dataclass(frozen=True, kw_only=True)
class _Drain:
    """How fast a line empties: mean run in seconds, runs at once."""

    mean: float
    capacity: float

    def seconds(self, ahead: float) -> float:
        """Return when so many slot seconds ahead will have started."""
        return (self.mean + ahead) / self.capacity


class Admission:
    """Decide which requests may start, and in which order.

    Where no endpoint has room, requests wait here and not in the engines'
    queues: here the order can still be changed and the wait ended by a
    refusal that is truthfully "not run".
    """

    def __init__(
        self,
        *,
        clock: Clock,
        configuration: ConfigurationService | None,
        router: Router,
        policy: PolicySettings | None = None,
        quotas: QuotaLedger | None = None,
    ) -> None:
        """Create an admission without load."""
        self._quotas = quotas
        self._clock = clock
        self._configuration = configuration
        self._router = router
        self._policy = policy or PolicySettings()
        self._lines_by_service: dict[str, WaitingLine] = {}
        self._mean_seconds_by_worth: dict[float, float] = {}
        self._filled = asyncio.Event()
        self.running = 0
        router.read_wait = self.expect_wait
        router.add_listener(self._reconsider)

    async def admit(self, client_id: str, demand: Demand) -> Permit:
        """Wait, within bounds, until a request may start.

        A request that another data centre passed on was counted against
        its quotas there.

        :raises Refusal: with the verdict "not run" and when to come back
        """
        hold = None
        if self._quotas is not None and not demand.hops:
            hold = await self._quotas.take(client_id, demand)
        try:
            await self._wait_for_room(self._team_of(client_id), demand)
        except BaseException:
            if hold is not None:
                hold.release(tokens=0)
            raise
        self.running += 1
        return Permit(admission=self, hold=hold)

    async def wait_again(self, client_id: str, demand: Demand) -> None:
        """Wait for another turn: what was chosen had no room after all.

        The request keeps its permit, and is not counted twice.

        :raises Refusal: with the verdict "not run" and when to come back
        """
        await self._wait_for_room(self._team_of(client_id), demand)

    def give_back(self, hold: QuotaHold | None, tokens: int) -> None:
        """Give back what a permit held."""
        self.running -= 1
        if hold is not None:
            hold.release(tokens=tokens)

    async def run(self) -> None:
        """Look at the waiters from time to time until cancelled."""
        while True:
            await self._filled.wait()
            await self._clock.sleep(TICK_SECONDS)
            for service in list(self._lines_by_service):
                self._reconsider(service)
            if not any(self._lines_by_service.values()):
                self._filled.clear()

    def queue_seconds(self, service: str) -> float:
        """Return how long a request of middling rank would wait."""
        line = self._lines_by_service.get(service) or ()
        if not line and self._router.room(service) >= 1:
            return 0.0
        ahead = sum(waiter.slot_seconds for waiter in line) / 2
        return self._read_drain(service).seconds(ahead)

    def expect_wait(self, demand: Demand) -> float:
        """Return how long a request would wait for its turn here."""
        line = self._lines_by_service.get(demand.service)
        if not line:
            return 0.0
        key = self._key(demand, math.inf)
        ahead = line.seconds_ahead(key)
        return self._read_drain(demand.service).seconds(ahead)

    async def _wait_for_room(self, team: str, demand: Demand) -> None:
        estimate = self._router.estimate(demand)
        if estimate is None:
            # The router says why there is none.
            return
        self._check_deadline(demand, estimate)
        line = self._lines_by_service.setdefault(demand.service, WaitingLine())
        self._learn_seconds(demand, estimate.run)
        turn = line.take_turn(team, demand.rank, estimate.run)
        key = self._key(demand, turn)
        if not line.seconds_ahead(key) and self._can_start(demand):
            return
        if demand.hops and not demand.displaced:
            # A spilled request never waits here: its own entry has a line,
            # and knows better where else there is room.
            raise _refuse(RefusalCode.OVERLOADED, "no room for others", 1.0)
        waiter = Waiter(
            demand=demand,
            key=key,
            turn_tag=turn,
            slot_seconds=estimate.run,
            since=self._clock.monotonic(),
        )
        line.add(waiter)
        self._filled.set()
        try:
            self._shed(line, self._read_drain(demand.service))
            await waiter.turn
        finally:
            line.remove(waiter)
        # Others are looked at once this one has begun and counts as load.
        asyncio.get_running_loop().call_soon(self._reconsider, demand.service)

    def _can_start(self, demand: Demand) -> bool:
        # The drain looks at all endpoints: it is read only where there is
        # no room here, and waiting is weighed against going elsewhere.
        if self._router.can_start(demand):
            return True
        wait = self._read_drain(demand.service).seconds(0.0)
        return self._router.can_start(demand, wait=wait)

    def _check_deadline(self, demand: Demand, estimate: Estimate) -> None:
        left = demand.deadline - self._clock.monotonic()
        if estimate.run > left:
            raise _refuse(
                RefusalCode.DEADLINE,
                f"an answer takes about {estimate.run:.1f} s, and "
                f"{max(0.0, left):.1f} s are left",
                MIN_RETRY_AFTER_SECONDS,
            )

    def _team_of(self, client_id: str) -> str:
        if self._configuration is None:
            return client_id
        client = self._configuration.current.clients_by_id.get(client_id)
        return client.team or client_id if client else client_id

    def _key(self, demand: Demand, turn: float) -> tuple[float, ...]:
        """Return the place of a request in its line.

        :param turn: its fair turn among the teams of its rank

        Worth counts a second of a class's mean run and not of the request
        itself: otherwise the long requests of the best class are overtaken
        by the shortest of the others and miss their deadlines.
        """
        if self._policy.prefer == "worth":
            mean = self._mean_seconds_by_worth.get(demand.worth, 1.0)
            return (-demand.worth / mean, len(demand.hops), turn)
        return (demand.rank, len(demand.hops), turn)

    def _learn_seconds(self, demand: Demand, seconds: float) -> None:
        means = self._mean_seconds_by_worth
        mean = means.get(demand.worth, seconds)
        means[demand.worth] = max(0.01, mean + _WEIGHT * (seconds - mean))

    def _reconsider(self, service: str) -> None:
        """Start the first waiter that can, and shed those that can't."""
        line = self._lines_by_service.get(service)
        if not line:
            return
        drain = self._read_drain(service)
        if not self._should_yield(service):
            self._start_one(line, drain)
        self._shed(line, drain)

    def _start_one(self, line: WaitingLine, drain: _Drain) -> None:
        ahead = 0.0
        for tries, waiter in enumerate(line):
            if tries >= MAX_TRIES:
                return
            wait = drain.seconds(ahead)
            ahead += waiter.slot_seconds
            if self._router.can_start(waiter.demand, wait=wait):
                line.remove(waiter)
                line.note_started(waiter)
                waiter.admit()
                return

    def _should_yield(self, service: str) -> bool:
        """Say whether another entry VM here should have the next slot.

        The VM whose request ends sees the free slot first, others only in
        the next report. Without this the VM that once has most slots keeps
        them, while better requests wait in vain at the other.
        """
        share = self._router.share(service)
        mine = self.queue_seconds(service)
        behind = share.peers_wait > mine * YIELD_FACTOR + YIELD_SECONDS
        return behind and share.own > share.equal_part

    def _shed(self, line: WaitingLine, drain: _Drain) -> None:
        """Refuse the waiters that would wait too long, at once.

        Those who come later in the order wait for all before them, so the
        lowest class is shed first.
        """
        now = self._clock.monotonic()
        ahead = 0.0
        for waiter in line:
            wait = drain.seconds(ahead)
            ahead += waiter.slot_seconds
            finish = now + wait + waiter.slot_seconds
            if finish > waiter.demand.deadline:
                ahead -= waiter.slot_seconds
                self._refuse_waiter(line, waiter, RefusalCode.DEADLINE, wait)
            elif now + wait - waiter.since > self._max_wait(drain, waiter):
                ahead -= waiter.slot_seconds
                self._refuse_waiter(line, waiter, RefusalCode.OVERLOADED, wait)

    def _refuse_waiter(
        self,
        line: WaitingLine,
        waiter: Waiter,
        code: RefusalCode,
        wait: float,
    ) -> None:
        line.remove(waiter)
        message = f"the wait would be about {wait:.1f} s"
        waiter.refuse(_refuse(code, message, wait))

    def _max_wait(self, drain: _Drain, waiter: Waiter) -> float:
        if self._policy.prefer == "worth":
            # An answer is worth the same until its deadline.
            return math.inf
        limit = self._policy.max_wait_seconds
        if waiter.since < self._clock.monotonic():
            # The drain counts in whole slots, and time passes until the
            # next one is free: that alone is no reason to give up.
            limit += drain.mean / drain.capacity
        return limit

    def _read_drain(self, service: str) -> _Drain:
        return _Drain(
            mean=self._router.mean_service_seconds(service),
            capacity=max(1.0, self._router.share(service).capacity),
        )


def _refuse(code: RefusalCode, message: str, retry_after: float) -> Refusal:
    return Refusal(
        code=code,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
    )
