"""Where a client's data may be processed, by what this VM can know."""

from burdockdrum.configuration.knowledge import Knowledge
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

RETRY_SECONDS = 2.0


def allowed_regions(
    knowledge: Knowledge,
    *,
    client_id: str,
    service: str,
    lease_seconds: float,
) -> frozenset[str]:
    """Return the regions in which a request may be processed.

    A VM that has heard from no control VM for ``lease_seconds`` may have
    missed a change that tightened the client's residency. From then on it
    allows only the client's home region, whose own callers are served even
    when cut off.

    :raises Refusal: "not run", if the client or the service is unknown or
        this VM does not know what to serve by
    """
    check_known(knowledge)
    configuration = knowledge.current
    client = configuration.clients_by_id.get(client_id)
    if client is None:
        raise Refusal(
            code=RefusalCode.UNKNOWN_CLIENT,
            message=f"there is no client {client_id!r}",
            verdict=Verdict.NOT_RUN,
        )
    spec = configuration.services_by_name.get(service)
    if spec is None:
        raise Refusal(
            code=RefusalCode.UNKNOWN_SERVICE,
            message=f"there is no service {service!r}",
            verdict=Verdict.NOT_RUN,
        )
    regions = frozenset(client.residency) & frozenset(spec.regions)
    age = knowledge.age
    if age is None or age > lease_seconds:
        return regions & {client.home_region}
    return regions


def check_known(knowledge: Knowledge) -> None:
    """Check that this VM has learned what to serve by since its start.

    :raises Refusal: "not run", if it has not
    """
    if not knowledge.known:
        raise Refusal(
            code=RefusalCode.CONFIGURATION_STALE,
            message="this VM has restarted and has not yet learned the "
            "configuration from a control VM or its data centre",
            verdict=Verdict.NOT_RUN,
            retry_after=RETRY_SECONDS,
        )
