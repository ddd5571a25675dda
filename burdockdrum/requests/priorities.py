"""The priority class that a request belongs to."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.requests.model import InboundRequest
from burdockdrum.resources.specs import PriorityClassSpec

# Of a request without a class: after every class that an operator ranks
# from 0 on by hand, and worth as much as one that names no worth.
DEFAULT_RANK = 100
DEFAULT_WORTH = 1.0


def find_priority_class(
    configuration: ConfigurationService, request: InboundRequest
) -> PriorityClassSpec | None:
    """Return the class that a request names, or its client's own."""
    current = configuration.current
    name = request.priority_class
    if name is None:
        client = current.clients_by_id.get(request.client_id)
        name = client.priority_class if client else None
    if name is None:
        return None
    return current.priority_classes_by_name.get(name)
