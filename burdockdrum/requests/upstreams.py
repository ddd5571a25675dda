"""The HTTP calls to endpoints and to other entry VMs."""

import asyncio
from dataclasses import dataclass
import math

from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import DataCentreTarget
from burdockdrum.requests.attempts import EndpointTarget
from burdockdrum.requests.attempts import fail_connection_lost
from burdockdrum.requests.attempts import fail_timed_out
from burdockdrum.requests.attempts import fail_unreachable
from burdockdrum.requests.attempts import REQUEST_ID_HEADER
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.forwarding import FORWARD_HEADER
from burdockdrum.requests.forwarding import ForwardHeader
from burdockdrum.requests.forwarding import sign_header
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.requests.read_timer import ReadTimer

CONNECT_SECONDS = 1.0
CANCEL_SECONDS = 2.0
# Forwards get longer timeouts, so that the other entry VM detects a silent
# endpoint first and tries another one locally.
FORWARD_TIMEOUT_FACTOR = 2.0
# Answers that are not streamed send nothing before their end. An attempt is
# silent after this fraction of the remaining time.
WHOLE_ANSWER_TIMEOUT_FRACTION = 0.5


@dataclass(frozen=True, kw_only=True)
class IdleTimeouts:
    """After which an answer counts as silent, in seconds.

    Another attempt may then start beside it.
    """

    first_token: float = 15.0
    between_tokens: float = 10.0


class UpstreamOpener:
    """Opens upstream answers and cancels abandoned attempts."""

    def __init__(
        self,
        *,
        http: HttpClient,
        clock: Clock,
        authenticator: PayloadAuthenticator,
        data_centre: str,
        timeouts: IdleTimeouts,
    ) -> None:
        """Create an opener for a VM of the given data centre."""
        self._http = http
        self._clock = clock
        self._authenticator = authenticator
        self._data_centre = data_centre
        self._timeouts = timeouts
        self._cancellations: set[asyncio.Task[None]] = set()

    async def open_endpoint(
        self,
        request: InboundRequest,
        target: EndpointTarget,
        timer: ReadTimer,
        *,
        attempt_id: str,
        offset: int,
    ) -> Upstream:
        """Send a request to an endpoint and wait for the answer's head.

        :param offset: number of tokens already sent to the caller
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
        call = UpstreamCall(
            method=request.method,
            url=target.endpoint.url + request.path,
            headers=headers,
            body=request.body,
            connect_timeout=min(CONNECT_SECONDS, remaining),
            head_timeout=remaining,
        )
        return await self._open(
            call,
            target,
            timer,
            attempt_id,
            self._find_timeouts(request, remaining),
        )

    async def open_forward(
        self,
        request: InboundRequest,
        target: DataCentreTarget,
        entry: VmIdentity,
        timer: ReadTimer,
        *,
        attempt_id: str,
        offset: int,
        displaced: bool,
        software_version: str | None = None,
    ) -> Upstream:
        """Forward a request to an entry VM of another data centre.

        :param software_version: that of the endpoint which began the stream
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
            software_version=software_version,
        )
        call = UpstreamCall(
            method="POST",
            url=entry.http_address + "/v1/forward",
            headers={
                "content-type": request.content_type,
                FORWARD_HEADER: sign_header(
                    self._authenticator, header, request.body
                ),
            },
            body=request.body,
            connect_timeout=min(CONNECT_SECONDS, remaining),
            head_timeout=remaining,
        )
        timeouts = self._find_timeouts(request, remaining)
        return await self._open(
            call,
            target,
            timer,
            attempt_id,
            IdleTimeouts(
                first_token=timeouts.first_token * FORWARD_TIMEOUT_FACTOR,
                between_tokens=timeouts.between_tokens
                * FORWARD_TIMEOUT_FACTOR,
            ),
        )

    def cancel(self, request: InboundRequest, upstream: Upstream) -> None:
        """Request an engine to cancel an abandoned attempt.

        Closing the connection is not enough: an engine may not detect it
        while the request is queued.
        """
        if request.kind is RequestKind.PLAIN:
            return
        match upstream.target:
            case EndpointTarget(endpoint=endpoint):
                name = upstream.attempt_id.decode()
                url = f"{endpoint.url}/v1/requests/{name}"
                task = asyncio.create_task(self._send_cancel(url))
                self._cancellations.add(task)
                task.add_done_callback(self._cancellations.discard)
            case DataCentreTarget():
                # The other entry VM detects the closed connection.
                pass

    async def close(self) -> None:
        """Stop the pending cancellation requests."""
        for task in self._cancellations:
            task.cancel()
        await asyncio.gather(*self._cancellations, return_exceptions=True)

    def _find_timeouts(
        self, request: InboundRequest, remaining: float
    ) -> IdleTimeouts:
        if not request.may_run_again:
            return IdleTimeouts(first_token=math.inf, between_tokens=math.inf)
        if request.stream:
            return self._timeouts
        return IdleTimeouts(
            first_token=max(
                self._timeouts.first_token,
                remaining * WHOLE_ANSWER_TIMEOUT_FRACTION,
            ),
            between_tokens=self._timeouts.between_tokens,
        )

    async def _open(
        self,
        call: UpstreamCall,
        target: Target,
        timer: ReadTimer,
        attempt_id: str,
        timeouts: IdleTimeouts,
    ) -> Upstream:
        started_at = self._clock.monotonic()
        # The HTTP port keeps the deadline of the head.
        timer.begin(math.inf, timeouts.first_token)
        try:
            answer = await self._http.open(call)
        except asyncio.CancelledError:
            if not timer.absorb():
                raise
            raise fail_timed_out("silent before the answer") from None
        except ConnectFailed as error:
            raise fail_unreachable(error) from error
        except AnswerLost as error:
            # The HTTP port does not distinguish a timeout from a broken
            # connection, but only the latter occurs before the limit.
            if self._clock.monotonic() - started_at >= call.head_timeout:
                raise fail_timed_out(
                    f"no answer within {call.head_timeout:.1f} s"
                ) from error
            raise fail_connection_lost(error) from error
        finally:
            timer.end()
        try:
            return Upstream(
                answer=answer,
                target=target,
                attempt_id=attempt_id,
                timer=timer,
                idle_timeout=timeouts.between_tokens,
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
