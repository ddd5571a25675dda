"""Serve requests of callers and of other entries, from read to response."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Exchange
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import cause_of_refusal
from burdockdrum.passthrough.protocol import HeaderNames
from burdockdrum.passthrough.protocol import HOP_CUT_OFF
from burdockdrum.passthrough.protocol import HOP_QUARANTINED
from burdockdrum.passthrough.protocol import HOP_REACHED
from burdockdrum.passthrough.protocol import HOP_USED_ATTEMPTS
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import RequestReader
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.protocol import send_refusal
from burdockdrum.passthrough.protocol import status_of
from burdockdrum.passthrough.relaying.attempt_report import AttemptReporter
from burdockdrum.passthrough.relaying.request_log import log_cut
from burdockdrum.passthrough.relaying.request_log import log_disconnect
from burdockdrum.passthrough.relaying.request_log import log_refusal
from burdockdrum.passthrough.relaying.request_runner import RequestRunner
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.stream_resumption import StreamResumption
from burdockdrum.ports import Clock
from burdockdrum.quotas import QuotaMeter
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.vms import Drain

RETRY_AFTER_SECONDS = 0.5


class Relay:
    """Forwards requests of callers and of entries in other regions."""

    def __init__(
        self,
        *,
        clock: Clock,
        names: HeaderNames,
        reader: RequestReader,
        runner: RequestRunner,
        reporter: AttemptReporter,
        retries: RetryCharges,
        drain: Drain,
        configuration: ConfigurationService,
        metrics: Metrics,
        meter: QuotaMeter,
        resumption: StreamResumption,
        mechanisms: MechanismSettings | None = None,
    ) -> None:
        """Create the service.

        :param mechanisms: the enabled parts of the policy; all by default
        """
        self._mechanisms = mechanisms or MechanismSettings()
        # One for each request that runs.
        self._scopes: set[asyncio.Timeout] = set()
        self._configuration = configuration
        self._meter = meter
        self._resumption = resumption
        self._drain = drain
        self._clock = clock
        self._names = names
        self._reader = reader
        self._runner = runner
        self._reporter = reporter
        self._retries = retries
        self._requests_total = metrics.counter(
            "burdockdrum_passed_requests_total",
            "Proxied requests, by outcome.",
        )
        self._cut_total = metrics.counter(
            "burdockdrum_cut_responses_total",
            "Responses that had begun and did not come to their end.",
        )
        self._duration_seconds = metrics.histogram(
            "burdockdrum_passed_seconds",
            "Time from first byte of a request to the end of its response.",
        )

    def stop(self) -> None:
        """Refuse the requests that run, as this entry stops.

        Those whose response has begun are cut.
        """
        for scope in self._scopes:
            # A time in the past expires in the next iteration of the loop.
            scope.reschedule(0.0)

    async def serve_caller(self, exchange: Exchange) -> None:
        """Serve a request of a caller."""
        await self._serve(exchange, is_hop=False)

    async def serve_vm(self, exchange: Exchange) -> None:
        """Serve a request that another entry forwarded."""
        await self._serve(exchange, is_hop=True)

    async def _serve(self, exchange: Exchange, *, is_hop: bool) -> None:
        outcome = "left"
        try:
            with self._drain.count_request():
                outcome = await self._handle(exchange, is_hop=is_hop)
        finally:
            now = self._clock.monotonic()
            self._requests_total.increment(outcome=outcome)
            self._duration_seconds.record(
                now - exchange.request.received_at, outcome=outcome
            )

    async def _handle(self, exchange: Exchange, *, is_hop: bool) -> str:
        try:
            self._drain.check()
            await self._wait_for_configuration(exchange)
            request = self._reader.read(exchange.request, is_hop=is_hop)
        except Refusal as refusal:
            self._refuse(
                exchange, refusal, None, RequestProgress(), is_hop=is_hop
            )
            return "refused"
        progress = RequestProgress.begin(request)
        try:
            async with self._until_stopped(progress, exchange):
                request = await self._resumption.take_up(request, progress)
                await self._runner.run(request, progress, exchange)
        except Refusal as refusal:
            if request.quota_charge is not None and not progress.runs:
                self._meter.refund(request.quota_charge)
            self._refuse(exchange, refusal, request, progress, is_hop=is_hop)
            return "refused"
        except ResponseTruncated as error:
            self._cut_total.increment(cause=error.cause.value)
            current = self._configuration.current.route_table
            log_cut(
                request,
                progress,
                error,
                generation_in_force=current.generation if current else None,
                now=self._clock.monotonic(),
            )
            return "cut"
        except asyncio.CancelledError:
            log_disconnect(request, progress, self._clock.monotonic())
            raise
        finally:
            self._retries.release(progress)
            self._resumption.end(request)
        return "answered"

    @contextlib.asynccontextmanager
    async def _until_stopped(
        self, progress: RequestProgress, exchange: Exchange
    ) -> AsyncIterator[None]:
        """Return a context that ends when this entry stops.

        :raises Refusal: then, if the request has no response
        :raises ResponseTruncated: the same, if its response has begun
        """
        scope = asyncio.timeout(None)
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError:
            if not scope.expired():
                raise
            refusal = make_stop_refusal(progress)
            if exchange.started:
                raise ResponseTruncated(
                    refusal.message, cause_of_refusal(refusal)
                ) from None
            raise refusal from None
        finally:
            self._scopes.discard(scope)

    async def _wait_for_configuration(self, exchange: Exchange) -> None:
        """Delay a request until this VM has loaded its configuration.

        A VM loads it within seconds of its start, which is sooner than a
        refused caller would retry.
        """
        if not self._mechanisms.routes_awaited:
            return
        seconds = self._reader.max_hold_seconds(exchange.request)
        await self._configuration.wait_until_synced(seconds)

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        request: ProxiedRequest | None,
        progress: RequestProgress,
        *,
        is_hop: bool,
    ) -> None:
        name = self._names.request_id
        given = exchange.request.find(name)
        identity = [(name, given)] if given is not None else []
        self._reporter.count_refusal(refusal.code)
        log_refusal(
            refusal,
            request,
            progress,
            request_id=(given or b"").decode("latin-1"),
            status=status_of(refusal),
            is_hop=is_hop,
        )
        if is_hop:
            identity.append((HOP_USED_ATTEMPTS, b"%d" % progress.runs))
            if progress.has_arrived:
                identity.append((HOP_REACHED, b"1"))
            if refusal.code is RefusalCode.NO_ENDPOINT:
                identity.append((HOP_CUT_OFF, b"1"))
            if refusal.code is RefusalCode.QUARANTINED:
                identity.append((HOP_QUARANTINED, b"1"))
        send_refusal(exchange, refusal, identity, to_vm=is_hop)


def make_stop_refusal(progress: RequestProgress) -> Refusal:
    """Return the refusal of a request when this entry stops."""
    return Refusal(
        code=RefusalCode.DRAINING,
        message="this entry VM is stopping; use another one",
        verdict=progress.verdict,
        retry_after=RETRY_AFTER_SECONDS,
    )
