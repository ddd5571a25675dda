"""Log lines about what an entry believes of the endpoints of its region."""

from burdockdrum.logs import log_decision
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.model import RegisteredEndpoint

# A slow start that ends later by less is the same one.
MIN_EXTENSION_SECONDS = 0.05


def log_believed(
    before: RegisteredEndpoint | None, after: RegisteredEndpoint | None
) -> None:
    """Log a change of the state that an entry believes."""
    known = after or before
    if known is None or _state_of(before) is _state_of(after):
        return
    log_decision(
        "endpoint.believed",
        endpoint_id=known.endpoint_id,
        service=known.service,
        data_centre=known.data_centre,
        address=known.address,
        sequence=known.sequence,
        state=after.state.value if after else "dropped",
        software_version=known.software_version,
    )


def log_slow_start(
    before: RegisteredEndpoint | None,
    after: RegisteredEndpoint | None,
    now: float,
) -> None:
    """Log a slow start that begins, or begins anew, as an entry learns it."""
    if after is None or after.slow_start_until <= now:
        return
    if before is not None and (
        after.slow_start_until
        < before.slow_start_until + MIN_EXTENSION_SECONDS
    ):
        return
    log_decision(
        "endpoint.slow_start",
        endpoint_id=after.endpoint_id,
        service=after.service,
        sequence=after.sequence,
        seconds=round(after.slow_start_until - now, 3),
    )


def _state_of(
    endpoint: RegisteredEndpoint | None,
) -> RegistrationState | None:
    return endpoint.state if endpoint is not None else None
