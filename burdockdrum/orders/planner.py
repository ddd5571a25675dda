"""Which orders bring a service's endpoints nearer to its desired state."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence

from burdockdrum.endpoints import Endpoint
from burdockdrum.orders.model import is_warm
from burdockdrum.orders.model import Kind
from burdockdrum.orders.model import Planned
from burdockdrum.resources import ServiceSpec


def plan_service(
    spec: ServiceSpec,
    endpoints: Sequence[Endpoint],
    pending_ids: Collection[str],
) -> list[Planned]:
    """Return the orders that may be given now, in the order to give them.

    At most one at a time for each endpoint. Endpoints are taken in the
    order of their ids, those with nothing loaded first: the holder of the
    lease after this one plans the same, so that the endpoints that load for
    either are the same ones.

    :param endpoints: those of the service that get work
    :param pending_ids: endpoints that act on an order already
    """
    if spec.type != "model" or not (spec.version or spec.adapters):
        return []
    warm = [e for e in endpoints if is_warm(e)]
    disturbed = sum(1 for e in warm if e.endpoint_id in pending_ids)
    may_disturb = _count_disturbable(spec, len(warm)) - disturbed
    planned = []
    for endpoint in sorted(endpoints, key=_sort_key):
        if endpoint.endpoint_id in pending_ids:
            continue
        step = next(_steps(spec, endpoint), None)
        if step is None:
            continue
        kind, value = step
        order = Planned(
            endpoint=endpoint,
            kind=kind,
            value=value,
            checks_fencing=(
                spec.engines_check_fencing and endpoint.checks_fencing
            ),
        )
        if order.disturbs:
            if may_disturb <= 0:
                continue
            may_disturb -= 1
        planned.append(order)
    return planned


def _count_disturbable(spec: ServiceSpec, warm: int) -> int:
    # The last warm endpoint is never taken: until another one has loaded
    # something, the service would be gone from this data centre.
    floor = max(1, min(spec.min_replicas, warm - 1))
    return max(0, min(spec.max_unavailable, warm - floor))


def _steps(
    spec: ServiceSpec, endpoint: Endpoint
) -> Iterator[tuple[Kind, str]]:
    if spec.version and spec.version not in endpoint.versions:
        yield "load_version", spec.version
    for adapter in spec.adapters:
        if adapter not in endpoint.adapters:
            yield "load_adapter", adapter
    for adapter in sorted(endpoint.adapters - set(spec.adapters)):
        yield "unload_adapter", adapter


def _sort_key(endpoint: Endpoint) -> tuple[bool, str]:
    return is_warm(endpoint), endpoint.endpoint_id
