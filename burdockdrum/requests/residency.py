"""The regions in which a request may run, by the current configuration."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.requests.model import InboundRequest
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict


def find_allowed_regions(
    configuration: ConfigurationService, request: InboundRequest
) -> frozenset[str]:
    """Return the regions that residency and the service allow now.

    This is checked before every attempt, so that a stricter residency also
    applies to retries and resumes of running requests.

    :raises Refusal: if no region is allowed, or client or service is unknown
    """
    allowed = configuration.allowed_regions(request.client_id, request.service)
    if not allowed:
        raise Refusal(
            code=RefusalCode.RESIDENCY,
            message=f"no region that hosts {request.service!r} is in the "
            f"residency of {request.client_id!r}",
            verdict=Verdict.NOT_RUN,
        )
    return allowed
