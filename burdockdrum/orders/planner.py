"""Plans the orders that bring endpoints to the state their service desires."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence

from burdockdrum.endpoints import Endpoint
from burdockdrum.orders.model import has_loaded_version
from burdockdrum.orders.model import OrderKind
from burdockdrum.orders.model import PlannedOrder
from burdockdrum.resources import ServiceSpec


def plan_service(
    spec: ServiceSpec,
    endpoints: Sequence[Endpoint],
    pending_ids: Collection[str],
    disrupted_ids: Collection[str] = (),
) -> list[PlannedOrder]:
    """Return the orders that may be sent now, in sending order.

    Each endpoint has at most one order at a time. Endpoints without a loaded
    version come first, then they are sorted by id, so that the next lease
    holder continues with the same endpoints.

    :param endpoints: live endpoints of the service that are not draining
    :param pending_ids: ids of the endpoints with an unfinished order
    :param disrupted_ids: ids of the service's endpoints that had a version
        loaded when they got an order, and have not been seen to serve since
    """
    if spec.type != "model" or not (spec.version or spec.adapters):
        return []
    loaded = [e for e in endpoints if has_loaded_version(e)]
    loaded_ids = {endpoint.endpoint_id for endpoint in loaded}
    disrupted = loaded_ids.intersection(pending_ids).union(disrupted_ids)
    allowed_disruptions = _count_allowed_disruptions(
        spec, len(loaded_ids | disrupted)
    ) - len(disrupted)
    planned = []
    for endpoint in sorted(endpoints, key=_sort_key):
        if endpoint.endpoint_id in pending_ids:
            continue
        step = next(_needed_steps(spec, endpoint), None)
        if step is None:
            continue
        kind, value = step
        order = PlannedOrder(
            endpoint=endpoint,
            kind=kind,
            value=value,
            checks_fencing=(
                spec.engines_check_fencing and endpoint.checks_fencing
            ),
        )
        if order.is_disruptive:
            if allowed_disruptions <= 0:
                continue
            allowed_disruptions -= 1
        planned.append(order)
    return planned


def _count_allowed_disruptions(spec: ServiceSpec, loaded: int) -> int:
    # At least one loaded endpoint keeps serving; otherwise the service would
    # be unavailable in this data centre until a load completes.
    floor = max(1, min(spec.min_replicas, loaded - 1))
    return max(0, min(spec.max_unavailable, loaded - floor))


def _needed_steps(
    spec: ServiceSpec, endpoint: Endpoint
) -> Iterator[tuple[OrderKind, str]]:
    if spec.version and spec.version not in endpoint.versions:
        yield "load_version", spec.version
    for adapter in spec.adapters:
        if adapter not in endpoint.adapters:
            yield "load_adapter", adapter
    for adapter in sorted(endpoint.adapters - set(spec.adapters)):
        yield "unload_adapter", adapter


def _sort_key(endpoint: Endpoint) -> tuple[bool, str]:
    return has_loaded_version(endpoint), endpoint.endpoint_id
