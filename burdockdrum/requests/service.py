"""The request service, which claims, admits and attempts each request."""

import asyncio
from collections.abc import AsyncIterator

from burdockdrum.admission import Permit
from burdockdrum.claims import Claim
from burdockdrum.claims import ClaimService
from burdockdrum.claims import StoredAnswer
from burdockdrum.requests.bodies import ClosingBody
from burdockdrum.requests.buffered import fetch_whole
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.exchange import MAX_FORWARDS
from burdockdrum.requests.exchange_services import ExchangeServices
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.requests.request_metrics import AnswerTimer
from burdockdrum.requests.request_metrics import NO_PRIORITY_CLASS
from burdockdrum.requests.streamed import open_stream
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain

# Marks the stored answer of an earlier run.
REPLAY_HEADER = "idempotent-replay"
CONFIGURATION_WAIT_SECONDS = 3.0


class RequestService:
    """Returns one complete answer or a refusal for each request."""

    def __init__(
        self, *, services: ExchangeServices, claims: ClaimService, drain: Drain
    ) -> None:
        """Create the service."""
        self._services = services
        self._claims = claims
        self._drain = drain
        self._unrepeatable: set[asyncio.Task[Answer]] = set()

    async def handle(self, request: InboundRequest) -> Answer:
        """Handle a request.

        :raises Refusal: with the verdict, if there is no answer
        """
        self._services.timeline.record(
            "request.received",
            request_id=request.request_id,
            service=request.service,
        )
        try:
            return await self._handle(request)
        except Refusal as refusal:
            self._services.metrics.record_refusal(refusal)
            raise

    async def _handle(self, request: InboundRequest) -> Answer:
        self._check_may_start(request)
        await self._wait_for_configuration(request)
        self._services.budget.deposit()
        if not request.unrepeatable:
            return await self._serve(request)
        # An unrepeatable request runs to its end even if its caller
        # disconnects, because it could not be retried. A caller that sends
        # the same key again gets the stored answer.
        task = asyncio.create_task(self._serve_once(request))
        self._unrepeatable.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Cancel the requests that run without a caller."""
        for task in self._unrepeatable:
            task.cancel()
        await asyncio.gather(*self._unrepeatable, return_exceptions=True)
        await self._services.opener.close()

    def _discard_task(self, task: asyncio.Task[Answer]) -> None:
        self._unrepeatable.discard(task)
        if not task.cancelled():
            # Retrieve the error, which the caller may no longer await.
            task.exception()

    async def _serve_once(self, request: InboundRequest) -> Answer:
        # A drain waits for it even if its caller has disconnected.
        with self._drain.count_request():
            return await self._serve_claimed(request)

    async def _serve_claimed(self, request: InboundRequest) -> Answer:
        if request.hops:
            # The forwarding entry VM holds the claim and stores the answer.
            return await self._serve(request)
        claim = await self._claims.acquire(
            client_id=request.client_id,
            key=request.idempotency_key or "",
            fingerprint=request.fingerprint,
            owner=request.request_id,
            seconds=request.deadline - self._services.clock.monotonic(),
        )
        if isinstance(claim, StoredAnswer):
            return _replay(claim)
        exchange = Exchange(services=self._services, request=request)
        try:
            answer = await self._run(exchange)
        except Refusal as refusal:
            await _settle(claim, refusal.verdict)
            raise
        except BaseException:
            await _settle(claim, exchange.verdict)
            raise
        if isinstance(answer.body, bytes):
            stored = StoredAnswer(
                status=answer.status,
                content_type=answer.content_type,
                headers=answer.headers,
                body=answer.body,
            )
            await claim.mark_ran(stored)
            return answer
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            body=_settle_after(claim, exchange, answer.body),
        )

    async def _serve(self, request: InboundRequest) -> Answer:
        return await self._run(
            Exchange(services=self._services, request=request)
        )

    async def _run(self, exchange: Exchange) -> Answer:
        request = exchange.request
        self._services.quarantine.check(request.fingerprint, request.parts)
        permit = await self._services.admission.admit(
            request.client_id, exchange.make_routing_request()
        )
        try:
            if request.stream and request.kind is not RequestKind.PLAIN:
                answer = await open_stream(exchange)
            else:
                answer = await fetch_whole(exchange)
        except BaseException:
            permit.release(completed=False)
            raise
        timer = self._start_timer(request)
        if isinstance(answer.body, bytes):
            permit.release(completed=True)
            timer.end(complete=True)
            return answer
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            body=_release_after(permit, exchange, timer, answer.body),
        )

    def _start_timer(self, request: InboundRequest) -> AnswerTimer:
        client = self._services.configuration.current.clients_by_id.get(
            request.client_id
        )
        own = client.priority_class if client else None
        return AnswerTimer(
            metrics=self._services.metrics,
            clock=self._services.clock,
            received_at=request.received_at,
            priority_class=request.priority_class or own or NO_PRIORITY_CLASS,
            forwarded=bool(request.hops),
        )

    def _check_may_start(self, request: InboundRequest) -> None:
        try:
            self._drain.check()
            self._check_hops(request)
        except Refusal as refusal:
            if not request.unrepeatable or request.hops:
                raise
            # The claims were not queried: an earlier copy may have run.
            raise refusal.with_verdict(Verdict.MAY_HAVE_RUN) from None

    async def _wait_for_configuration(self, request: InboundRequest) -> None:
        """Wait until this VM knows that its configuration is current.

        Callers may discover a VM that has just started before it has a
        current configuration. Refusing their requests would make requests
        fail whenever an entry VM is replaced.
        """
        remaining = request.deadline - self._services.clock.monotonic()
        seconds = min(CONFIGURATION_WAIT_SECONDS, remaining)
        await self._services.configuration.wait_until_synced(seconds)

    def _check_hops(self, request: InboundRequest) -> None:
        hops = request.hops
        own = self._services.identity.data_centre
        if len(hops) > MAX_FORWARDS or own in hops:
            raise Refusal(
                code=RefusalCode.LOOP,
                message=f"forwarding loop at {own!r}, or too many hops: "
                + ", ".join(hops),
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )


def _release_after(
    permit: Permit,
    exchange: Exchange,
    timer: AnswerTimer,
    body: AsyncIterator[bytes],
) -> ClosingBody:
    async def release() -> None:
        complete = exchange.verdict is Verdict.RAN
        permit.release(completed=complete, tokens=exchange.delivered_tokens)
        timer.end(complete=complete)

    return ClosingBody(body, at_end=release)


def _settle_after(
    claim: Claim, exchange: Exchange, body: AsyncIterator[bytes]
) -> ClosingBody:
    return ClosingBody(body, at_end=lambda: _settle(claim, exchange.verdict))


async def _settle(claim: Claim, verdict: Verdict) -> None:
    match verdict:
        case Verdict.NOT_RUN:
            await claim.release()
        case Verdict.MAY_HAVE_RUN:
            await claim.mark_lost()
        case Verdict.RAN:
            await claim.mark_ran(None)


def _replay(stored: StoredAnswer) -> Answer:
    return Answer(
        status=stored.status,
        content_type=stored.content_type,
        headers={**stored.headers, REPLAY_HEADER: "true"},
        body=stored.body,
    )
