"""Finds what began the streams that callers take up, and records it."""

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import RequestReader
from burdockdrum.ports import Clock
from burdockdrum.streams import FoundOrigin
from burdockdrum.streams import make_key
from burdockdrum.streams import StreamOrigin
from burdockdrum.streams import StreamOrigins
from burdockdrum.streams import UnknownOrigin
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict


class StreamResumption:
    """Binds a stream that is taken up to the version that began it."""

    def __init__(
        self,
        *,
        clock: Clock,
        origins: StreamOrigins,
        reader: RequestReader,
        metrics: Metrics,
    ) -> None:
        """Create it for an entry."""
        self._clock = clock
        self._origins = origins
        self._reader = reader
        self._taken_up_total = metrics.counter(
            "burdockdrum_streams_taken_up_total",
            "Streams that callers took up, by who knew what began them.",
        )

    async def take_up(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> ProxiedRequest:
        """Return a request that goes to the service that began its stream.

        Sets the origin of the stream in its progress.

        :raises Refusal: for good, if nobody knows what began the stream, or
            its route doesn't use that service any more; for a moment, if
            this entry has just started and doesn't know yet whom to ask
        """
        if progress.origin is not None:
            return self._bind(request, progress.origin)
        if not _is_taken_up(request):
            return request
        found = await self._origins.find(
            _key_of(request) if request.began_as is not None else None,
            _list_services(request),
            request.deadline - self._clock.monotonic(),
        )
        match found:
            case UnknownOrigin(reason=reason, retry_after=None):
                self._taken_up_total.increment(result="unknown")
                raise Refusal(
                    code=RefusalCode.VERSION_UNKNOWN,
                    message=f"{request.backend.name}: {reason}; send the "
                    "request without its last event to begin anew",
                    verdict=Verdict.NOT_RUN,
                )
            case UnknownOrigin(reason=reason, retry_after=seconds):
                self._taken_up_total.increment(result="not yet known")
                raise Refusal(
                    code=RefusalCode.VERSION_NOT_YET_KNOWN,
                    message=f"{request.backend.name}: {reason} yet",
                    verdict=Verdict.NOT_RUN,
                    retry_after=seconds,
                )
            case FoundOrigin(origin=origin):
                progress.origin = origin
                self._report(request, found)
                return self._bind(request, origin)

    def begin(self, request: ProxiedRequest, origin: StreamOrigin) -> None:
        """Record that a stream's next events are about to be sent.

        Only the entry that serves the caller does: events that another entry
        forwards may be lost on their way, and the stream begin elsewhere.
        """
        if request.forwarded_from is None:
            self._origins.begin(
                _key_of(request), origin, _list_services(request)
            )

    def end(self, request: ProxiedRequest) -> None:
        """Record the end of a request."""
        if request.is_resumable:
            self._origins.end(_key_of(request))

    def _bind(
        self, request: ProxiedRequest, origin: StreamOrigin
    ) -> ProxiedRequest:
        """Return a request that goes to the service of an origin.

        :raises Refusal: for good, if its route doesn't use that service
        """
        bound = self._reader.with_service(request, origin.service)
        if bound.backend.name != origin.service:
            raise Refusal(
                code=RefusalCode.VERSION_GONE,
                message=f"{origin.service}: the route of the stream that it "
                f"began uses {bound.backend.name} now",
                verdict=Verdict.NOT_RUN,
            )
        return bound

    def _report(self, request: ProxiedRequest, found: FoundOrigin) -> None:
        self._taken_up_total.increment(result=found.knowledge.value)
        log_decision(
            "stream.taken_up",
            request_id=request.request_id,
            began_as=request.began_as,
            last_event=request.last_event,
            service=found.origin.service,
            software_version=found.origin.software_version,
            source=found.knowledge.value,
            about_vm=found.vm_id,
            age=round(found.age, 3),
        )


def _is_taken_up(request: ProxiedRequest) -> bool:
    """Return whether a caller has events of a stream already."""
    return request.is_resumable and request.last_event is not None


def _list_services(request: ProxiedRequest) -> list[str]:
    """Return the services that a request's route uses."""
    return [s.service for s in request.route.services if s.weight]


def _key_of(request: ProxiedRequest) -> bytes:
    """Return the key of a stream, the same over all tries of its caller."""
    began_as = request.began_as if _is_taken_up(request) else None
    return make_key(request.team, began_as or request.request_id)
