"""What a request is worth and who goes first."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.requests.model import InboundRequest
from burdockdrum.resources import PriorityClassSpec

# A request of no class comes after those of every class that ranks lower
# than this: who names no class has no claim to be first.
UNCLASSED = PriorityClassSpec(rank=1000)


def find_priority(
    configuration: ConfigurationService, request: InboundRequest
) -> PriorityClassSpec:
    """Return the class that a request names, or else its client's."""
    current = configuration.current
    name = request.priority_class
    client = current.clients_by_id.get(request.client_id)
    if name is None and client is not None:
        name = client.priority_class
    return current.priority_classes_by_name.get(name or "", UNCLASSED)
