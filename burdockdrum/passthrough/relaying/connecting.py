"""Open connections, whatever pauses of this process their timeouts saw."""

from collections.abc import Awaitable
from collections.abc import Callable

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import NotConnected
from burdockdrum.logs import log_decision
from burdockdrum.pauses import PauseDetector

# Limits the time that a process takes that hardly runs at all.
MAX_CONNECTS = 3


async def connect_awake(
    connect: Callable[[], Awaitable[ClientConnection]],
    pauses: PauseDetector | None,
) -> ClientConnection:
    """Open a connection, again if this process paused before a timeout.

    :param connect: opens it; raises ``NotConnected``
    :raises NotConnected: if the connection could not be opened
    """
    for number in range(1, MAX_CONNECTS + 1):
        began = pauses.monotonic() if pauses is not None else 0.0
        try:
            return await connect()
        except NotConnected as error:
            if (
                pauses is None
                or number == MAX_CONNECTS
                or not isinstance(error.__cause__, TimeoutError)
                or not pauses.has_paused_since(began)
            ):
                raise
            log_decision("connection.tried_again", reason=str(error))
    raise AssertionError("unreachable")
