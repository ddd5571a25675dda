"""Log lines about values in endpoints' responses."""

from collections.abc import Sequence

from burdockdrum.logs import log_failure

# An unreadable value is logged up to this length.
MAX_LOGGED_BYTES = 40


def log_ignored(
    event: str,
    endpoint_id: str,
    values: Sequence[bytes],
    request_id: str | None = None,
) -> None:
    """Log that the values of a header were ignored as unreadable.

    :param request_id: the request that the response belongs to
    """
    text = b", ".join(values)[:MAX_LOGGED_BYTES]
    log_failure(
        event,
        request_id=request_id,
        endpoint_id=endpoint_id,
        count=len(values),
        value=text.decode("latin-1"),
    )
