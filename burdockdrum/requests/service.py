"""Serve a request: claim, admit, attempt, relay the answer."""

import asyncio
from collections.abc import AsyncIterator

from burdockdrum.admission import Permit
from burdockdrum.claims import Claim
from burdockdrum.claims import Claims
from burdockdrum.claims import StoredAnswer
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.exchange import ExchangeParts
from burdockdrum.requests.exchange import MAX_FORWARDS
from burdockdrum.requests.meters import AnswerMeter
from burdockdrum.requests.meters import UNCLASSED
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.requests.streamed import open_stream
from burdockdrum.requests.whole import fetch_whole
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain

# Tells a caller that this is the answer of an earlier run.
REPLAY_HEADER = "idempotent-replay"
KNOWN_WAIT_SECONDS = 3.0


class RequestService:
    """Give each accepted request one complete answer or a refusal."""

    def __init__(
        self, *, parts: ExchangeParts, claims: Claims, drain: Drain
    ) -> None:
        """Create the service."""
        self._parts = parts
        self._claims = claims
        self._drain = drain
        self._unrepeatable: set[asyncio.Task[Answer]] = set()

    async def handle(self, request: InboundRequest) -> Answer:
        """Serve a request.

        :raises Refusal: with the verdict, if there is no answer
        """
        self._parts.timeline.record(
            "request.received",
            request_id=request.request_id,
            service=request.service,
        )
        try:
            return await self._handle(request)
        except Refusal as refusal:
            self._parts.meters.note_refusal(refusal)
            raise

    async def _handle(self, request: InboundRequest) -> Answer:
        self._check_may_start(request)
        await self._wait_until_known(request)
        self._parts.budget.earn()
        if not request.unrepeatable:
            return await self._serve(request)
        # The run of an unrepeatable request outlives its caller: cut off in
        # the middle it could never be repeated, while a caller that comes
        # back with the same key gets the answer.
        task = asyncio.create_task(self._serve_once(request))
        self._unrepeatable.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Stop what runs for callers that have gone."""
        for task in self._unrepeatable:
            task.cancel()
        await asyncio.gather(*self._unrepeatable, return_exceptions=True)
        await self._parts.opener.close()

    def _forget(self, task: asyncio.Task[Answer]) -> None:
        self._unrepeatable.discard(task)
        if not task.cancelled():
            # Its caller may have gone, and then nobody asks for the error.
            task.exception()

    async def _serve_once(self, request: InboundRequest) -> Answer:
        # A drain waits for it also when its caller has gone.
        with self._drain.count_request():
            return await self._serve_claimed(request)

    async def _serve_claimed(self, request: InboundRequest) -> Answer:
        if request.hops:
            # Whoever passed it on holds the claim and keeps the answer.
            return await self._serve(request)
        claim = await self._claims.take(
            client_id=request.client_id,
            key=request.idempotency_key or "",
            fingerprint=request.fingerprint,
            owner=request.request_id,
            seconds=request.deadline - self._parts.clock.monotonic(),
        )
        if isinstance(claim, StoredAnswer):
            return _replay(claim)
        exchange = Exchange(parts=self._parts, request=request)
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
            await claim.keep(stored)
            return answer
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            body=_settle_after(claim, exchange, answer.body),
        )

    async def _serve(self, request: InboundRequest) -> Answer:
        return await self._run(Exchange(parts=self._parts, request=request))

    async def _run(self, exchange: Exchange) -> Answer:
        request = exchange.request
        self._parts.quarantine.check(request.fingerprint)
        permit = await self._parts.admission.admit(
            request.client_id, exchange.make_demand()
        )
        try:
            if request.stream and request.kind is not RequestKind.PLAIN:
                answer = await open_stream(exchange)
            else:
                answer = await fetch_whole(exchange)
        except BaseException:
            permit.release(completed=False)
            raise
        meter = self._begin_meter(request)
        if isinstance(answer.body, bytes):
            permit.release(completed=True)
            meter.end(whole=True)
            return answer
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            headers=answer.headers,
            body=_release_after(permit, exchange, meter, answer.body),
        )

    def _begin_meter(self, request: InboundRequest) -> AnswerMeter:
        client = self._parts.configuration.current.clients_by_id.get(
            request.client_id
        )
        own = client.priority_class if client else None
        return AnswerMeter(
            meters=self._parts.meters,
            clock=self._parts.clock,
            received_at=request.received_at,
            priority_class=request.priority_class or own or UNCLASSED,
            forwarded=bool(request.hops),
        )

    def _check_may_start(self, request: InboundRequest) -> None:
        try:
            self._drain.check()
            self._check_hops(request)
        except Refusal as refusal:
            if not request.unrepeatable or request.hops:
                raise
            # The keepers were not asked: an earlier copy may have run.
            raise refusal.with_verdict(Verdict.MAY_HAVE_RUN) from None

    async def _wait_until_known(self, request: InboundRequest) -> None:
        """Hold a request while this VM learns what to serve by.

        A VM that has just started is on callers' lists a moment before it
        knows that its configuration is the newest. Refused at once, their
        requests would fail at each replacement of an entry VM.
        """
        left = request.deadline - self._parts.clock.monotonic()
        seconds = min(KNOWN_WAIT_SECONDS, left)
        await self._parts.configuration.wait_until_known(seconds)

    def _check_hops(self, request: InboundRequest) -> None:
        hops = request.hops
        own = self._parts.identity.data_centre
        if len(hops) > MAX_FORWARDS or own in hops:
            raise Refusal(
                code=RefusalCode.LOOP,
                message=f"came back to {own!r}, or was passed on too often: "
                + ", ".join(hops),
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )


async def _release_after(
    permit: Permit,
    exchange: Exchange,
    meter: AnswerMeter,
    body: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    try:
        async for part in body:
            yield part
    finally:
        await _close(body)
        whole = exchange.verdict is Verdict.RAN
        permit.release(completed=whole, tokens=exchange.delivered)
        meter.end(whole=whole)


async def _settle_after(
    claim: Claim, exchange: Exchange, body: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    try:
        async for part in body:
            yield part
    finally:
        await _close(body)
        await _settle(claim, exchange.verdict)


async def _settle(claim: Claim, verdict: Verdict) -> None:
    match verdict:
        case Verdict.NOT_RUN:
            await claim.release()
        case Verdict.MAY_HAVE_RUN:
            await claim.lose()
        case Verdict.RAN:
            await claim.keep(None)


async def _close(body: AsyncIterator[bytes]) -> None:
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()


def _replay(stored: StoredAnswer) -> Answer:
    return Answer(
        status=stored.status,
        content_type=stored.content_type,
        headers={**stored.headers, REPLAY_HEADER: "true"},
        body=stored.body,
    )
