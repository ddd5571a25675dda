"""The priority class of a request."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.requests.model import InboundRequest
from burdockdrum.resources import PriorityClassSpec

# Requests without a priority class come after all classes of lower rank, so
# that omitting the class gives no advantage.
DEFAULT_PRIORITY_CLASS = PriorityClassSpec(rank=1000)


def find_priority(
    configuration: ConfigurationService, request: InboundRequest
) -> PriorityClassSpec:
    """Return the priority class of a request, by default its client's."""
    current = configuration.current
    name = request.priority_class
    client = current.clients_by_id.get(request.client_id)
    if name is None and client is not None:
        name = client.priority_class
    return current.priority_classes_by_name.get(
        name or "", DEFAULT_PRIORITY_CLASS
    )
