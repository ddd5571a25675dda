"""Where a request may run, by the configuration in force."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.requests.model import InboundRequest
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict


def find_allowed_regions(
    configuration: ConfigurationService, request: InboundRequest
) -> frozenset[str]:
    """Return the regions that residency and the service allow now.

    It is asked again before every attempt, so that a change which tightens
    residency binds the retries and resumes of requests already running.

    :raises Refusal: if there is none, or client or service is unknown
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
