"""Find the target of a request's next attempt, waiting if need be."""

from dataclasses import replace

from burdockdrum.passthrough.brittle import Place
from burdockdrum.passthrough.brittle import PlaceBroker
from burdockdrum.passthrough.brittle import PlaceDenied
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection import MIN_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection import QueueTooLong
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.state import LimitPermits
from burdockdrum.passthrough.waiting import RequestHolder
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode

# Endpoints that deny a request a place before it is refused.
MAX_PLACES_DENIED = 4


class TargetFinder:
    """Finds targets that accept a request now, with what they require."""

    def __init__(
        self,
        *,
        clock: Clock,
        selector: TargetSelector,
        holder: RequestHolder,
        permits: LimitPermits,
        places: PlaceBroker,
    ) -> None:
        """Create it for an entry."""
        self._clock = clock
        self._selector = selector
        self._holder = holder
        self._permits = permits
        self._places = places

    async def find(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target | None:
        """Find a target.

        :returns: None if it should be asked again
        :raises Refusal: if no target accepts the request in time
        """
        try:
            return await self._select(request, progress)
        except Refusal:
            if await self._ask_for_permit(request, progress):
                return None
            raise

    async def acquire_place(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
    ) -> Target | None:
        """Acquire a place if the target is a brittle endpoint.

        :returns: the target with its place; None if another target should be
            selected
        :raises Refusal: if several endpoints have denied one
        """
        if not isinstance(target, EndpointTarget):
            return target
        place = await self._places.acquire(
            target.choice.endpoint, request.deadline - self._clock.monotonic()
        )
        match place:
            case None:
                return target
            case Place():
                return replace(target, place=place)
            case PlaceDenied():
                progress.record_denied_place(place.retry_after)
        if progress.places_denied % MAX_PLACES_DENIED:
            return None
        raise Refusal(
            code=RefusalCode.OVERLOADED,
            message=f"{request.backend.name}: {progress.places_denied} "
            "endpoints that tolerate few rejections had no place",
            verdict=progress.verdict,
            retry_after=max(
                MIN_RETRY_AFTER_SECONDS, progress.place_retry_after or 0.0
            ),
        )

    async def _select(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target:
        """Select a target, after waiting for capacity if need be.

        :raises Refusal: if no target accepts the request in time
        """
        progress.may_wait = self._holder.may_wait(request)
        if not progress.sent:
            self._holder.check_return(request)
        try:
            return self._selector.select(request, progress)
        except QueueTooLong as refusal:
            if not self._holder.handles(request):
                raise
            return await self._holder.hold(request, progress, refusal)
        except Refusal as refusal:
            if not progress.sent:
                self._holder.record_refusal(request, refusal)
            raise

    async def _ask_for_permit(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> bool:
        """Ask for a permit before a request is refused.

        :returns: whether it was asked for; then a target should be selected
            again, with the permit or with the time to come back
        """
        if progress.permit is not None:
            return False
        endpoint_ids = self._selector.list_at_limit(request, progress)
        if not endpoint_ids:
            return False
        progress.permit = await self._permits.acquire(
            endpoint_ids, request.deadline - self._clock.monotonic()
        )
        return True
