"""The endpoints that a request may be sent to now."""

from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.registrations import RegisteredEndpoint


@dataclass(frozen=True, kw_only=True)
class Candidates:
    """Eligible endpoints, by whether they want requests now.

    ``at_limit`` are those that have no room below their rate limits.
    ``in_backoff`` are those that want no requests from this entry, or no
    others until they have responded to those in flight.
    """

    available: list[RegisteredEndpoint]
    at_limit: list[RegisteredEndpoint]
    in_backoff: list[RegisteredEndpoint]


def split_candidates(
    eligible: Iterable[RegisteredEndpoint],
    limits: EndpointLimits,
    closed_ids: Container[str],
) -> Candidates:
    """Split eligible endpoints by what they announced.

    :param closed_ids: the endpoints that should get no requests because of
        their backoffs
    """
    candidates = Candidates(available=[], at_limit=[], in_backoff=[])
    for endpoint in eligible:
        endpoint_id = endpoint.endpoint_id
        if endpoint_id in closed_ids:
            candidates.in_backoff.append(endpoint)
        elif limits.has_capacity(endpoint_id):
            candidates.available.append(endpoint)
        else:
            candidates.at_limit.append(endpoint)
    return candidates
