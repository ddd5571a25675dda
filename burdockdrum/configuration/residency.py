"""Enforces data residency with the configuration known to this VM."""

from burdockdrum.configuration.local import LocalConfiguration
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

RETRY_DELAY_SECONDS = 2.0


def allowed_regions(
    local: LocalConfiguration,
    *,
    client_id: str,
    service: str,
    lease_seconds: float,
) -> frozenset[str]:
    """Return the regions in which a request may be processed.

    Without a confirmation by a control VM for ``lease_seconds``, this VM may
    have missed a change that tightened the client's residency. It then allows
    only the client's home region, so that a partitioned region keeps serving
    its own clients.

    :raises Refusal: "not run", if the client or the service is unknown or
        this VM is not synchronized
    """
    check_known(local)
    configuration = local.current
    client = configuration.clients_by_id.get(client_id)
    if client is None:
        raise Refusal(
            code=RefusalCode.UNKNOWN_CLIENT,
            message=f"client {client_id!r} does not exist",
            verdict=Verdict.NOT_RUN,
        )
    spec = configuration.services_by_name.get(service)
    if spec is None:
        raise Refusal(
            code=RefusalCode.UNKNOWN_SERVICE,
            message=f"service {service!r} does not exist",
            verdict=Verdict.NOT_RUN,
        )
    regions = frozenset(client.residency) & frozenset(spec.regions)
    age = local.age
    if age is None or age > lease_seconds:
        return regions & {client.home_region}
    return regions


def check_known(local: LocalConfiguration) -> None:
    """Check that this VM is synchronized since its start.

    :raises Refusal: "not run", if it has not
    """
    if not local.is_synced:
        raise Refusal(
            code=RefusalCode.CONFIGURATION_STALE,
            message="this VM has restarted and has not yet synchronized its "
            "configuration with a control VM or its data centre",
            verdict=Verdict.NOT_RUN,
            retry_after=RETRY_DELAY_SECONDS,
        )
