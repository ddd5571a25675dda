"""Open attempts: the calls to endpoints and to other entry VMs."""

import asyncio
from dataclasses import dataclass

from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import fail_lost
from burdockdrum.requests.attempts import fail_silent
from burdockdrum.requests.attempts import fail_unreachable
from burdockdrum.requests.attempts import Place
from burdockdrum.requests.attempts import REQUEST_ID_HEADER
from burdockdrum.requests.attempts import ToDataCentrePlace
from burdockdrum.requests.attempts import ToEndpointPlace
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.forwarding import FORWARD_HEADER
from burdockdrum.requests.forwarding import ForwardHeader
from burdockdrum.requests.forwarding import seal_header
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.routing import Attempt

CONNECT_SECONDS = 1.0
CANCEL_SECONDS = 2.0
# The other entry VM notices silence at its endpoint first and retries there.
FORWARD_PATIENCE = 2.0
# Of a whole answer nothing comes before its end; so much of the time that is
# left is given to an attempt that could be made again.
WHOLE_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class SilenceLimits:
    """How long nothing may come, in seconds."""

    first_token: float = 15.0
    between_tokens: float = 10.0


class UpstreamOpener:
    """Open answers, and cancel what nobody waits for any more."""

    def __init__(
        self,
        *,
        http: HttpClient,
        clock: Clock,
        seal: Seal,
        data_centre: str,
        limits: SilenceLimits,
    ) -> None:
        """Create an opener for the VMs of a data centre."""
        self._http = http
        self._clock = clock
        self._seal = seal
        self._data_centre = data_centre
        self._limits = limits
        self._cancels: set[asyncio.Task[None]] = set()

    async def open_endpoint(
        self,
        request: InboundRequest,
        endpoint: Endpoint,
        attempt: Attempt,
        *,
        attempt_id: str,
        offset: int,
    ) -> Upstream:
        """Send a request to an endpoint and wait for the answer's head.

        :param offset: tokens that the caller has already
        :raises AttemptFailed: with the verdict on this attempt
        """
        remaining = request.deadline - self._clock.monotonic()
        headers = {
            "content-type": request.content_type,
            REQUEST_ID_HEADER: attempt_id,
            "x-deadline-seconds": f"{remaining:.3f}",
        }
        headers.update(request.headers)
        if request.idempotency_key is not None:
            headers["idempotency-key"] = request.idempotency_key
        if offset:
            headers["x-resume-offset"] = str(offset)
        limit = self._first_limit(request, remaining)
        call = UpstreamCall(
            method=request.method,
            url=endpoint.url + request.path,
            headers=headers,
            body=request.body,
            connect_timeout=min(CONNECT_SECONDS, remaining),
            head_timeout=limit,
        )
        place = ToEndpointPlace(endpoint=endpoint, attempt=attempt)
        silence = self._limits.between_tokens
        if request.unrepeatable:
            silence = remaining
        return await self._open(call, place, attempt_id, limit, silence)

    async def open_forward(
        self,
        request: InboundRequest,
        entry: VmIdentity,
        *,
        attempt_id: str,
        offset: int,
        displaced: bool,
    ) -> Upstream:
        """Pass a request on to an entry VM of another data centre.

        :raises AttemptFailed: with the verdict on this attempt
        """
        now = self._clock.monotonic()
        remaining = request.deadline - now
        header = ForwardHeader.from_request(
            request,
            data_centre=self._data_centre,
            now=now,
            displaced=displaced,
            resume_offset=offset,
        )
        limit = remaining
        silence = remaining
        if not request.unrepeatable:
            first = self._first_limit(request, remaining)
            limit = min(remaining, first * FORWARD_PATIENCE)
            silence = self._limits.between_tokens * FORWARD_PATIENCE
        call = UpstreamCall(
            method="POST",
            url=entry.http_address + "/v1/forward",
            headers={
                "content-type": request.content_type,
                FORWARD_HEADER: seal_header(self._seal, header, request.body),
            },
            body=request.body,
            connect_timeout=min(CONNECT_SECONDS, remaining),
            head_timeout=limit,
        )
        place = ToDataCentrePlace(
            data_centre=entry.data_centre, vm_id=entry.vm_id
        )
        return await self._open(call, place, attempt_id, limit, silence)

    def cancel(self, request: InboundRequest, upstream: Upstream) -> None:
        """Tell an engine that nobody waits for an attempt any more.

        Closing the connection is not enough: an engine may not notice it
        while it waits for a slot.
        """
        if request.kind is RequestKind.PLAIN:
            return
        match upstream.place:
            case ToEndpointPlace(endpoint=endpoint):
                name = upstream.attempt_id.decode()
                url = f"{endpoint.url}/v1/requests/{name}"
                task = asyncio.create_task(self._send_cancel(url))
                self._cancels.add(task)
                task.add_done_callback(self._cancels.discard)
            case ToDataCentrePlace():
                # The other entry VM sees the connection close.
                pass

    async def close(self) -> None:
        """Stop the cancels that are still on their way."""
        for task in self._cancels:
            task.cancel()
        await asyncio.gather(*self._cancels, return_exceptions=True)

    def _first_limit(self, request: InboundRequest, remaining: float) -> float:
        if request.unrepeatable:
            return remaining
        limit = self._limits.first_token
        if not request.stream:
            limit = max(limit, remaining * WHOLE_SHARE)
        return min(limit, remaining)

    async def _open(
        self,
        call: UpstreamCall,
        place: Place,
        attempt_id: str,
        limit: float,
        silence: float,
    ) -> Upstream:
        started_at = self._clock.monotonic()
        try:
            answer = await self._http.open(call)
        except ConnectFailed as error:
            raise fail_unreachable(error) from error
        except AnswerLost as error:
            # The port does not tell silence from a broken connection, but
            # only the latter comes before the limit.
            if self._clock.monotonic() - started_at >= limit:
                raise fail_silent(f"no answer in {limit:.1f} s") from error
            raise fail_lost(error) from error
        try:
            return Upstream(
                answer=answer,
                place=place,
                attempt_id=attempt_id,
                silence_seconds=silence,
            )
        except AttemptFailed:
            await answer.close()
            raise

    async def _send_cancel(self, url: str) -> None:
        call = UpstreamCall(
            method="DELETE",
            url=url,
            connect_timeout=CANCEL_SECONDS,
            head_timeout=CANCEL_SECONDS,
        )
        try:
            answer = await self._http.open(call)
            async for _ in answer.chunks():
                pass
            await answer.close()
        except (ConnectFailed, AnswerLost):
            pass
