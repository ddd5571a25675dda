"""Permits to send a request to an endpoint that has a rate limit.

An entry that has no capacity left of its own share asks a holder for a
permit. So a limit can be used up wherever the requests arrive.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import random

from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.endpoint_limits import EndpointLimits
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock

# A permit that took longer is not used, as the holder may have counted on
# an earlier arrival. Also the timeout of a request for a permit.
PERMIT_SECONDS = 0.2
# The most endpoints for which a request asks for a permit.
MAX_ENDPOINTS_ASKED = 2
# Holders are not asked again before they expect to have a permit, but after
# this many seconds at the earliest.
MIN_ASK_INTERVAL_SECONDS = 0.05
# After this many seconds a holder that did not reply is asked again.
FAILED_ASK_INTERVAL_SECONDS = 1.0
# Covers the publication of a limit to an entry that has not learned it.
UNKNOWN_LIMIT_SECONDS = 0.3


class PermitRequest(Message, frozen=True, kw_only=True, array_like=True):
    """An entry asks a holder for a permit.

    ``seconds_left`` is the time until the deadline of the request that needs
    it.
    """

    endpoint_id: str
    seconds_left: float = float("inf")


class PermitReply(Message, frozen=True, kw_only=True, array_like=True):
    """A holder grants or denies a permit.

    If denied, the request should come back in ``retry_after`` seconds, and
    the next permit is expected in ``next_after`` seconds.
    """

    is_granted: bool
    retry_after: float = 0.0
    next_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PermitResult:
    """An endpoint that may be used, or when to come back.

    ``endpoint_id`` is None if no permit was granted; ``retry_after`` is in
    seconds.
    """

    endpoint_id: str | None
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True)
class _Denial:
    """When to ask a holder again, and when the denied request may return.

    Both are monotonic.
    """

    ask_again_at: float
    return_at: float


class LimitPermits:
    """Acquires permits from holders, and grants those of own shares."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        limits: EndpointLimits,
        metrics: Metrics,
        read_holders: Callable[[str, float], Mapping[str, str]],
        ask: Callable[[str, PermitRequest], Awaitable[PermitReply]],
    ) -> None:
        """Create the permits of an entry.

        :param read_holders: returns the addresses of the other holders of
            an endpoint's limit, by id
        :param ask: sends a request for a permit to an address; raises
            ``CallFailed``
        """
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._read_holders = read_holders
        self._ask = ask
        self._permits_total = metrics.counter(
            "burdockdrum_endpoint_limit_permits_total",
            "Permits to use endpoints' rate limits, by what holders replied.",
        )
        # The last denials, by the ids of endpoint and holder.
        self._denials_by_key: dict[tuple[str, str], _Denial] = {}

    async def acquire(
        self, endpoint_ids: list[str], seconds_left: float
    ) -> PermitResult:
        """Acquire a permit for one of several endpoints at their limits.

        :param seconds_left: until the deadline of the request
        """
        chosen = self._rng.sample(
            endpoint_ids, min(len(endpoint_ids), MAX_ENDPOINTS_ASKED)
        )
        waits = []
        for endpoint_id in chosen:
            reply = await self._acquire(endpoint_id, seconds_left)
            if reply.is_granted:
                return PermitResult(endpoint_id=endpoint_id)
            waits.append(reply.retry_after)
        return PermitResult(
            endpoint_id=None, retry_after=min(waits, default=None)
        )

    async def handle(
        self, sender: Sender, request: PermitRequest
    ) -> PermitReply:
        """Grant another entry a permit of an own share, or deny it."""
        return self._grant(request.endpoint_id, request.seconds_left)

    def _grant(self, endpoint_id: str, seconds_left: float) -> PermitReply:
        if self._limits.rate_of(endpoint_id) is None:
            # The limit has not been learned here, or has been withdrawn; the
            # requester soon learns of it.
            return self._deny(UNKNOWN_LIMIT_SECONDS, UNKNOWN_LIMIT_SECONDS)
        if self._limits.has_capacity(endpoint_id):
            self._limits.record_sent(endpoint_id)
            return PermitReply(is_granted=True)
        return PermitReply(
            is_granted=False,
            retry_after=self._limits.reserve_return(endpoint_id, seconds_left),
            next_after=self._limits.seconds_until_capacity(endpoint_id),
        )

    async def _acquire(
        self, endpoint_id: str, seconds_left: float
    ) -> PermitReply:
        limit = self._limits.rate_of(endpoint_id)
        if limit is None:
            return PermitReply(is_granted=True)
        holders = self._read_holders(endpoint_id, limit)
        if not holders:
            return self._grant(endpoint_id, seconds_left)
        holder_id = self._rng.choice(sorted(holders))
        key = (endpoint_id, holder_id)
        now = self._clock.monotonic()
        denial = self._denials_by_key.get(key)
        if denial is not None and denial.ask_again_at > now:
            return self._deny(
                denial.return_at - now, denial.ask_again_at - now
            )
        request = PermitRequest(
            endpoint_id=endpoint_id, seconds_left=seconds_left
        )
        reply = await self._ask_holder(request, holders[holder_id])
        self._remember(key, now, reply)
        if self._clock.monotonic() - now > PERMIT_SECONDS:
            return self._deny(reply.retry_after, reply.next_after)
        return reply

    async def _ask_holder(
        self, request: PermitRequest, address: str
    ) -> PermitReply:
        try:
            reply = await self._ask(address, request)
            result = "granted" if reply.is_granted else "denied"
            self._permits_total.increment(result=result)
            return reply
        except CallFailed as error:
            self._permits_total.increment(result="failed")
            log_failure(
                "endpoint.permit_failed",
                endpoint_id=request.endpoint_id,
                address=address,
                reason=str(error),
            )
            return self._deny(
                FAILED_ASK_INTERVAL_SECONDS, FAILED_ASK_INTERVAL_SECONDS
            )

    def _remember(
        self, key: tuple[str, str], now: float, reply: PermitReply
    ) -> None:
        if reply.is_granted:
            self._denials_by_key.pop(key, None)
            return
        wait = max(MIN_ASK_INTERVAL_SECONDS, reply.next_after)
        self._denials_by_key = {
            known: denial
            for known, denial in self._denials_by_key.items()
            if denial.ask_again_at > now
        }
        self._denials_by_key[key] = _Denial(
            ask_again_at=now + wait,
            return_at=now + max(wait, reply.retry_after),
        )

    def _deny(self, retry_after: float, next_after: float) -> PermitReply:
        """Return a denial that spreads the returning requests."""
        return PermitReply(
            is_granted=False,
            retry_after=retry_after * self._rng.uniform(1.0, 2.0),
            next_after=next_after,
        )
