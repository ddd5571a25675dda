"""How entries and control VMs tell each other the limits of endpoints.

An entry reports a limit to a control VM whose registration of the endpoint
has another one. So a control VM learns limits that are announced, and those
that it lost by a restart or missed in a partition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace

from burdockdrum.logs import log_decision
from burdockdrum.registrations.messages import LimitNotice
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.model import RegisteredEndpoint
from burdockdrum.registrations.rate_limits import AnnouncedLimit
from burdockdrum.registrations.rate_limits import bounds_of
from burdockdrum.registrations.rate_limits import newest_limit
from burdockdrum.registrations.rate_limits import rate_of


def read_limit(
    registration: Registration, now: float
) -> AnnouncedLimit | None:
    """Return the limit in a registration that has just been received."""
    if registration.rate_limit_age is None:
        return None
    return AnnouncedLimit(
        requests_per_second=registration.rate_limit,
        observed_at=now - registration.rate_limit_age,
        max_rejections=registration.max_rejections,
    )


def list_unknown_limits(
    copies_by_id: Mapping[str, RegisteredEndpoint],
    limits_by_id: Mapping[str, AnnouncedLimit],
    own_limits_by_id: Mapping[str, AnnouncedLimit],
    now: float,
) -> list[LimitNotice]:
    """Return the limits that differ from those of a control VM.

    :param copies_by_id: the registrations of the control VM
    :param limits_by_id: what the control VMs know, merged
    :param own_limits_by_id: what endpoints announced to this entry
    """
    notices = []
    # Not all endpoints: this is called for each message to a control VM.
    for endpoint_id in limits_by_id.keys() | own_limits_by_id.keys():
        copy = copies_by_id.get(endpoint_id)
        limit = newest_limit(
            [own_limits_by_id.get(endpoint_id), limits_by_id.get(endpoint_id)]
        )
        if copy is None or limit is None:
            continue
        if bounds_of(limit) == bounds_of(copy.rate_limit):
            continue
        age = now - limit.observed_at
        notices.append(
            LimitNotice(
                endpoint_id,
                limit.requests_per_second,
                age,
                limit.max_rejections,
            )
        )
    return notices


def keep_newest_limit(
    before: RegisteredEndpoint | None,
    after: RegisteredEndpoint,
    copies: Iterable[RegisteredEndpoint],
) -> RegisteredEndpoint:
    """Return an endpoint with the limit that it announced last.

    A control VM that it has just checked in at may not know the limit.

    :param before: the endpoint as known until now
    :param copies: its registrations at the control VMs
    """
    known = before.rate_limit if before is not None else None
    limit = newest_limit([known, *(copy.rate_limit for copy in copies)])
    if bounds_of(limit) != bounds_of(known):
        log_decision(
            "endpoint.limit_learned",
            endpoint_id=after.endpoint_id,
            requests_per_second=rate_of(limit),
            previous=rate_of(known),
            max_rejections=bounds_of(limit)[1],
        )
    if limit == after.rate_limit:
        return after
    return replace(after, rate_limit=limit)
