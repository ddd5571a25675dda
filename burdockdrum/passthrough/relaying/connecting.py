"""Open connections, whatever pauses of this process their timeouts saw."""

from collections.abc import Awaitable
from collections.abc import Callable

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import NotConnected
from burdockdrum.logs import log_decision
from burdockdrum.pauses import PauseDetector

# A process that has run for less of a timeout may not have read the reply. One
# that is only slow must not wait for an endpoint that hangs twice.
MIN_AWAKE_FRACTION = 0.5


async def connect_awake(
    connect: Callable[[float], Awaitable[ClientConnection]],
    timeout: float,
    pauses: PauseDetector | None,
) -> ClientConnection:
    """Open a connection, again if this process paused until the timeout.

    :param connect: opens it within some seconds; raises ``NotConnected``
    :param timeout: in seconds
    :raises NotConnected: if the connection could not be opened
    """
    if pauses is None:
        return await connect(timeout)
    began = pauses.monotonic()
    try:
        return await connect(timeout)
    except NotConnected as error:
        awake = pauses.awake_seconds_since(began)
        is_timeout = isinstance(error.__cause__, TimeoutError)
        if not is_timeout or awake >= timeout * MIN_AWAKE_FRACTION:
            raise
        log_decision("connection.tried_again", reason=str(error))
    return await connect(timeout)
